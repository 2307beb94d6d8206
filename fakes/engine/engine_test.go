package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/check"
	"wigeondale/fleet"
)

const prompt = "release notes of the portal"

var v1 = fleet.ModelRef{Model: "m", Version: "v1"}

func start(t testing.TB, change func(*Config)) *Engine {
	t.Helper()
	cfg := Config{ID: "e1", Addr: "127.0.0.1:0", Serves: []fleet.ModelRef{v1}, StepMS: 0.2}
	if change != nil {
		change(&cfg)
	}
	e := New(cfg, nil)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

type chunk struct {
	ID      string `json:"id"`
	Index   int    `json:"index"`
	Choices []struct {
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
}

// streamClient reads one connection to a stream.
type streamClient struct {
	t       testing.TB
	body    io.ReadCloser
	scanner *bufio.Scanner
	text    strings.Builder
	chunks  int
	ids     map[string]bool
	done    bool
}

func do(t testing.TB, method, url string, body any) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	return http.DefaultClient.Do(req)
}

func open(t testing.TB, method, url string, body any) *streamClient {
	t.Helper()
	resp, err := do(t, method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s", method, url, resp.Status)
	}
	return &streamClient{t: t, body: resp.Body, scanner: bufio.NewScanner(resp.Body), ids: make(map[string]bool)}
}

func request(id string, attempt, tokens int) CompletionRequest {
	return CompletionRequest{
		Model: "m", Prompt: prompt, MaxTokens: tokens, Stream: true,
		Ext: Ext{RequestID: id, Attempt: attempt, Version: "v1", LingerMS: 60_000},
	}
}

func (e *Engine) url(path string) string { return "http://" + e.Addr() + path }

func startStream(t testing.TB, e *Engine, req CompletionRequest) *streamClient {
	t.Helper()
	return open(t, http.MethodPost, e.url("/v1/completions"), req)
}

// read reads until n chunks have been received, or to the end if n is negative. It reports
// whether it received all of them before the connection failed.
func (r *streamClient) read(n int) bool {
	r.t.Helper()
	for !r.done && (n < 0 || r.chunks < n) && r.scanner.Scan() {
		data, ok := strings.CutPrefix(r.scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.done = true
			break
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			r.t.Fatalf("%q: %v", data, err)
		}
		r.text.WriteString(c.Choices[0].Text)
		r.ids[c.ID] = true
		r.chunks++
	}
	return r.done || n >= 0 && r.chunks >= n
}

func checkAnswer(t *testing.T, text string, tokens int) {
	t.Helper()
	if r := check.Answer(prompt, text); !r.OK || r.Tokens != tokens {
		t.Fatalf("%+v, want %d correct tokens", r, tokens)
	}
}

// When an engine is killed in the middle of a stream, another engine must be able to
// continue the stream without a gap or a repeated token. Here an engine is killed after ten
// tokens; another engine gets the prompt and the received tokens and continues with the
// next token. The killed engine must start again as a new incarnation.
func TestResumeElsewhereAfterKill(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	first := startStream(t, a, request("r", 1, 1000))
	if !first.read(10) {
		t.Fatal("no tokens")
	}
	a.setStalled("r", true)
	a.Kill()
	if first.read(-1) {
		t.Fatal("the killed engine finished")
	}
	if _, err := do(t, http.MethodGet, a.url("/v1/load"), nil); err == nil {
		t.Fatal("the killed engine answers")
	}
	req := request("r", 2, first.chunks+20)
	req.Ext.ResumeText, req.Ext.ResumeTokens = first.text.String(), first.chunks
	second := startStream(t, b, req)
	if !second.read(-1) {
		t.Fatal("the second engine did not finish")
	}
	checkAnswer(t, first.text.String()+second.text.String(), first.chunks+20)

	before := a.Record().Streams[0].Incarnation
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	startStream(t, a, request("r", 3, 2)).read(-1)
	if after := a.Record().Streams[1].Incarnation; after == before {
		t.Fatal("the engine kept its incarnation")
	}
}

// A router that was paused may go on reading a stream that another router has taken over.
// When a second reader attaches at token 5, the second reader must get everything from
// token 5 on, and the connection of the first reader must be closed.
func TestSecondReaderTakesOver(t *testing.T) {
	e := start(t, nil)
	first := startStream(t, e, request("r", 1, 300))
	first.read(5)
	prefix := first.text.String()
	e.setStalled("r", true)
	second := open(t, http.MethodGet, e.url("/v1/streams/r/1?from=5"), nil)
	if first.read(-1) {
		t.Fatal("the first reader was not cut off")
	}
	e.setStalled("r", false)
	if !second.read(-1) {
		t.Fatal("the second reader did not get the end")
	}
	checkAnswer(t, prefix+second.text.String(), 300)
}

func TestCancelIsIdempotentAndEndsTheWork(t *testing.T) {
	e := start(t, nil)
	r := startStream(t, e, request("r", 1, 1_000_000))
	r.read(3)
	var answers [2]cancelResponse
	for i := range answers {
		resp, err := do(t, http.MethodDelete, e.url("/v1/streams/r/1"), nil)
		if err != nil {
			t.Fatal(err)
		}
		json.NewDecoder(resp.Body).Decode(&answers[i])
		resp.Body.Close()
	}
	if !answers[0].Cancelled || answers[0].Generated < 3 || answers[0] != answers[1] {
		t.Fatalf("%+v", answers)
	}
	if r.read(-1) || r.scanner.Err() == nil {
		t.Fatal("a cancelled stream ended as if complete")
	}
	if s := e.Record().Streams[0]; s.Cancelled != "cancelled" || s.Finished {
		t.Fatalf("%+v", s)
	}
}

// A frozen engine must act like an engine whose VM is paused: it keeps connections open but
// neither responds nor generates tokens. After Thaw the stream must continue to its end.
func TestFreezeStopsStepsAndThawContinues(t *testing.T) {
	e := start(t, nil)
	r := startStream(t, e, request("r", 1, 500))
	r.read(5)
	e.Freeze()
	before := e.Record().Generated
	if _, err := shortTimeoutClient.Get(e.url("/v1/load")); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("the frozen engine answered: %v", err)
	}
	if after := e.Record().Generated; after != before {
		t.Fatalf("%d tokens generated while frozen", after-before)
	}
	e.Thaw()
	if !r.read(-1) {
		t.Fatal("the stream did not continue after Thaw")
	}
	checkAnswer(t, r.text.String(), 500)
}

// The switch cut puts an engine behind a network partition. The engine must go on
// generating until the answer is complete, while no client can attach to the stream. After
// the switch heal the client must get every token.
func TestCutLetsStepsGoOn(t *testing.T) {
	e := start(t, nil)
	startStream(t, e, request("r", 1, 300)).read(1)
	if err := e.Fault("cut", nil); err != nil {
		t.Fatal(err)
	}
	e.mu.Lock()
	s := e.streams[key{"r", 1}]
	e.mu.Unlock()
	for rd := attachReader(s); !s.view().ended; {
		<-rd.wake
	}
	if _, err := shortTimeoutClient.Get(e.url("/v1/streams/r/1")); err == nil {
		t.Fatal("a cut engine answered")
	}
	if err := e.Fault("heal", nil); err != nil {
		t.Fatal(err)
	}
	r := open(t, http.MethodGet, e.url("/v1/streams/r/1"), nil)
	r.read(-1)
	checkAnswer(t, r.text.String(), 300)
}

// shortTimeoutClient fails soon if an engine does not respond.
var shortTimeoutClient = http.Client{Timeout: 50 * time.Millisecond}

func attachReader(s *stream) *reader {
	rd := newReader()
	s.attach(rd)
	return rd
}

// Each one-shot fault must spoil exactly one chunk of a stream: the chunk has the id of
// another request, is repeated or is missing, as if the chunk had been mixed up, repeated
// or lost on the way to the client.
func TestOneShotFaultsSpoilOneChunk(t *testing.T) {
	for name, want := range map[string]check.Report{
		faultCross:  {Tokens: 100, OK: true},
		faultRepeat: {Tokens: 101, Repeated: 1},
		faultSkip:   {Tokens: 99, Missing: 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := start(t, nil)
			e.Fault(name, json.RawMessage(`{"request":"r"}`))
			r := startStream(t, e, request("r", 1, 100))
			r.read(-1)
			if got := check.Answer(prompt, r.text.String()); got != want {
				t.Fatalf("%+v, want %+v", got, want)
			}
			if crossed := len(r.ids) > 1; crossed != (name == faultCross) {
				t.Fatalf("ids %v", r.ids)
			}
		})
	}
}

// A stall, which imitates a preemption or a long prefill, must stop a single stream. The
// other stream must run to its end while the stalled stream does not advance. After the
// stall the stalled stream must run to its end too.
func TestStallHoldsOneStream(t *testing.T) {
	e := start(t, nil)
	stalled := startStream(t, e, request("held", 1, 300))
	stalled.read(1)
	e.Fault("stall", json.RawMessage(`{"request":"held"}`))
	before := e.Record().Generated
	other := startStream(t, e, request("other", 1, 100))
	other.read(-1)
	checkAnswer(t, other.text.String(), 100)
	if moved := e.Record().Generated - before - 100; moved != 0 {
		t.Fatalf("the stalled stream moved by %d tokens", moved)
	}
	e.Fault("stall", json.RawMessage(`{"request":"held","on":false}`))
	stalled.read(-1)
	checkAnswer(t, stalled.text.String(), 300)
}

func BenchmarkTokens(b *testing.B) {
	const streams = 128
	e := start(b, func(c *Config) { c.StepMS = 0.1; c.MaxRunning = streams })
	each := b.N/streams + 1
	ends := make(chan int, streams)
	for i := range streams {
		r := startStream(b, e, request(fmt.Sprint("r", i), 1, each))
		go func() {
			n, _ := io.Copy(io.Discard, r.body)
			ends <- int(n)
		}()
	}
	for range streams {
		<-ends
	}
	b.ReportMetric(float64(e.Record().Delivered)/b.Elapsed().Seconds(), "tokens/s")
}
