package bench

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeondale/fakes/control"
	"wigeondale/fakes/engine"
	"wigeondale/fleet"
)

const (
	fastModel        = "fast"  // generates tokens as fast as they are read
	pacedModel       = "paced" // generates one token per stream every 30 ms, as a real engine does
	pacedStepMS      = 30
	enginesEach      = 4 // engines of each model
	runningPerEngine = 256
)

// job is a load that the load process generates. If First is set, it measures the time to
// the first token of single requests; otherwise it opens Streams streams.
type job struct {
	URL     string
	Model   string
	Streams int
	Tokens  int // of each stream
	First   int // number of requests through the daemon, and of requests directly to an engine
}

// report is an answer to a job. A job with streams gets two reports: the first has only
// Open set and is sent once every stream has a token; the second has the results and is
// sent at the end.
type report struct {
	Open    bool
	Tokens  int
	Seconds float64
	Via     []time.Duration // time to first token through the daemon, sorted
	Direct  []time.Duration // time to first token directly from the engine, sorted
	Err     string
}

// serveJobs is the main function of the load process, which runs the stand-ins and callers.
func serveJobs(in io.Reader, out io.Writer) error {
	set, err := control.New(control.Config{
		KV: &control.AddrConfig{}, VMs: &control.VMsConfig{}, Weights: &control.WeightsConfig{BytesPerSecond: 1e9},
		Engines: append(engines(fastModel, 0.1), engines(pacedModel, pacedStepMS)...),
	})
	if err != nil {
		return err
	}
	if err := set.Start(); err != nil {
		return err
	}
	defer set.Close()
	send, recv := json.NewEncoder(out), json.NewDecoder(in)
	if err := send.Encode(set.Ports()); err != nil {
		return err
	}
	w := &loadWorker{
		direct: "http://" + set.Ports()[fastModel+"0"],
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
	}
	for {
		var j job
		if err := recv.Decode(&j); err != nil {
			return nil // the benchmark process has exited or closed the pipe
		}
		r := w.run(j, func() { _ = send.Encode(report{Open: true}) }) // an error recurs at the next Encode
		if err := send.Encode(r); err != nil {
			return err
		}
	}
}

func engines(model string, stepMS float64) []engine.Config {
	var out []engine.Config
	for i := range enginesEach {
		out = append(out, engine.Config{
			ID: fmt.Sprint(model, i), FailureDomain: "d1", StepMS: stepMS, MaxRunning: runningPerEngine,
			Serves: []fleet.ModelRef{{Model: model, Version: "v1"}},
		})
	}
	return out
}

type loadWorker struct {
	direct         string // URL of an engine
	client         *http.Client
	directRequests int
}

func (w *loadWorker) run(j job, open func()) report {
	var r report
	var err error
	if j.First > 0 {
		r, err = w.firstTokens(j)
	} else {
		r, err = w.streams(j, open)
	}
	if err != nil {
		r.Err = err.Error()
	}
	return r
}

// streams opens all streams of a job, calls open once each has a token, and reads all to
// their ends.
func (w *loadWorker) streams(j job, open func()) (report, error) {
	var all, started sync.WaitGroup
	errs := make([]error, j.Streams)
	var once sync.Once
	started.Add(j.Streams)
	start := time.Now()
	for i := range j.Streams {
		all.Go(func() {
			done := sync.OnceFunc(started.Done)
			defer done()
			errs[i] = w.stream(j, done)
		})
	}
	all.Go(func() {
		started.Wait()
		once.Do(open)
	})
	all.Wait()
	return report{Tokens: j.Streams * j.Tokens, Seconds: time.Since(start).Seconds()}, errors.Join(errs...)
}

func (w *loadWorker) stream(j job, first func()) error {
	resp, err := w.post(j.URL, daemonBody(j.Model, j.Tokens))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := read(resp.Body, first)
	if err == nil && got != j.Tokens {
		err = fmt.Errorf("%d tokens instead of %d", got, j.Tokens)
	}
	return err
}

// read returns the number of tokens of a stream and calls first at each token. It fails if
// the stream ends without [DONE].
func read(body io.Reader, first func()) (int, error) {
	br := bufio.NewReaderSize(body, 16<<10)
	n, done := 0, false
	for {
		line, err := br.ReadSlice('\n')
		switch {
		case err == io.EOF && done:
			return n, nil
		case err != nil:
			return n, fmt.Errorf("after %d tokens: %w", n, err)
		case bytes.HasPrefix(line, []byte("data: {")):
			n++
			first()
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			done = true
		}
	}
}

// firstTokens measures times to the first token, one request after the other, alternating between
// the daemon and an engine.
func (w *loadWorker) firstTokens(j job) (report, error) {
	var r report
	for range j.First {
		via, err := w.firstToken(j.URL, daemonBody(j.Model, 1))
		if err != nil {
			return r, err
		}
		direct, err := w.firstToken(w.direct, w.nextDirect(j.Model))
		if err != nil {
			return r, err
		}
		r.Via = append(r.Via, via)
		r.Direct = append(r.Direct, direct)
	}
	slices.Sort(r.Via)
	slices.Sort(r.Direct)
	return r, nil
}

func (w *loadWorker) firstToken(url, body string) (time.Duration, error) {
	start := time.Now()
	resp, err := w.post(url, body)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var took time.Duration
	_, err = read(resp.Body, func() { took = time.Since(start) })
	return took, err
}

func (w *loadWorker) post(url, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // used only in the error message
	return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
}

var prompt = strings.Repeat("digest of a diff ", 60) // about 1 KB

func daemonBody(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
}

func (w *loadWorker) nextDirect(model string) string {
	w.directRequests++
	return directBody(model, fmt.Sprint("direct-", w.directRequests), 1)
}

// directBody is the body of a request to an engine, in the form that the daemon sends.
func directBody(model, request string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true,"priority":1,`+
		`"ext":{"request_id":%q,"attempt":1,"version":"v1","linger_ms":1000}}`, model, prompt, tokens, request)
}
