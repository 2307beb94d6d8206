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
	fastModel        = "fast"  // tokens as fast as they are read
	pacedModel       = "paced" // one token per stream each 30 ms, as a real engine
	pacedStepMS      = 30
	enginesEach      = 4 // engines of each model
	runningPerEngine = 256
)

// job is a piece of load; First asks for first tokens instead of streams.
type job struct {
	URL     string
	Model   string
	Streams int
	Tokens  int // of each stream
	First   int // requests by each of the two ways
}

// report answers a job: first with Open, when all streams have a token, then
// with the rest.
type report struct {
	Open    bool
	Tokens  int
	Seconds float64
	Via     []time.Duration // first token through the daemon
	Direct  []time.Duration // first token from the engine
	Err     string
}

// serveJobs is the main function of the process of stand-ins and callers.
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
	w := &worker{
		direct: "http://" + set.Ports()[fastModel+"0"],
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}},
	}
	for {
		var j job
		if err := recv.Decode(&j); err != nil {
			return nil // the benchmark has ended
		}
		r := w.run(j, func() { _ = send.Encode(report{Open: true}) }) // as below
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

type worker struct {
	direct string // an engine's own address
	client *http.Client
	made   int
}

func (w *worker) run(j job, open func()) report {
	var r report
	var err error
	if j.First > 0 {
		r, err = w.firsts(j)
	} else {
		r, err = w.streams(j, open)
	}
	if err != nil {
		r.Err = err.Error()
	}
	return r
}

// streams reads all streams to their ends.
func (w *worker) streams(j job, open func()) (report, error) {
	var all, begun sync.WaitGroup
	errs := make([]error, j.Streams)
	var once sync.Once
	begun.Add(j.Streams)
	began := time.Now()
	for i := range j.Streams {
		all.Go(func() {
			done := sync.OnceFunc(begun.Done)
			defer done()
			errs[i] = w.one(j, done)
		})
	}
	all.Go(func() {
		begun.Wait()
		once.Do(open)
	})
	all.Wait()
	return report{Tokens: j.Streams * j.Tokens, Seconds: time.Since(began).Seconds()}, errors.Join(errs...)
}

func (w *worker) one(j job, first func()) error {
	resp, err := w.post(j.URL, viaBody(j.Model, j.Tokens))
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

// read counts the tokens of a stream, which must end with its mark.
func read(body io.Reader, first func()) (int, error) {
	br := bufio.NewReaderSize(body, 16<<10)
	n, whole := 0, false
	for {
		line, err := br.ReadSlice('\n')
		switch {
		case err == io.EOF && whole:
			return n, nil
		case err != nil:
			return n, fmt.Errorf("after %d tokens: %w", n, err)
		case bytes.HasPrefix(line, []byte("data: {")):
			n++
			first()
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			whole = true
		}
	}
}

// firsts times first tokens one after the other, by both ways in turn.
func (w *worker) firsts(j job) (report, error) {
	var r report
	for range j.First {
		via, err := w.first(j.URL, viaBody(j.Model, 1))
		if err != nil {
			return r, err
		}
		direct, err := w.first(w.direct, w.nextDirect(j.Model))
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

func (w *worker) first(url, body string) (time.Duration, error) {
	began := time.Now()
	resp, err := w.post(url, body)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var took time.Duration
	_, err = read(resp.Body, func() { took = time.Since(began) })
	return took, err
}

func (w *worker) post(url, body string) (*http.Response, error) {
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
	text, _ := io.ReadAll(resp.Body) // only for the message
	return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
}

var prompt = strings.Repeat("digest of a diff ", 60) // about 1 KB

func viaBody(model string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
}

func (w *worker) nextDirect(model string) string {
	w.made++
	return directBody(model, fmt.Sprint("direct-", w.made), 1)
}

// directBody asks an engine as the daemon does.
func directBody(model, request string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true,"priority":1,`+
		`"ext":{"request_id":%q,"attempt":1,"version":"v1","linger_ms":1000}}`, model, prompt, tokens, request)
}
