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

// reading is one connection to a stream.
type reading struct {
	t    testing.TB
	body io.ReadCloser
	sc   *bufio.Scanner
	text strings.Builder
	n    int
	ids  map[string]bool
	done bool
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

func open(t testing.TB, method, url string, body any) *reading {
	t.Helper()
	resp, err := do(t, method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: %s", method, url, resp.Status)
	}
	return &reading{t: t, body: resp.Body, sc: bufio.NewScanner(resp.Body), ids: make(map[string]bool)}
}

func request(id string, attempt, tokens int) CompletionRequest {
	return CompletionRequest{
		Model: "m", Prompt: prompt, MaxTokens: tokens, Stream: true,
		Ext: Ext{RequestID: id, Attempt: attempt, Version: "v1", LingerMS: 60_000},
	}
}

func (e *Engine) url(path string) string { return "http://" + e.Addr() + path }

func begin(t testing.TB, e *Engine, req CompletionRequest) *reading {
	t.Helper()
	return open(t, http.MethodPost, e.url("/v1/completions"), req)
}

// read takes chunks until there are n, or all if n is negative. It reports
// whether the connection has not broken.
func (r *reading) read(n int) bool {
	r.t.Helper()
	for !r.done && (n < 0 || r.n < n) && r.sc.Scan() {
		data, ok := strings.CutPrefix(r.sc.Text(), "data: ")
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
		r.n++
	}
	return r.done || n >= 0 && r.n >= n
}

func wantAnswer(t *testing.T, text string, tokens int) {
	t.Helper()
	if r := check.Answer(prompt, text); !r.OK || r.Tokens != tokens {
		t.Fatalf("%+v, want %d good tokens", r, tokens)
	}
}

// Symptom: an answer stops half-way.
// Sequence: the engine is killed after ten tokens; another takes the prompt
// and the tokens received, and continues at their number.
// Cause: the engine's process died.
func TestResumeElsewhereAfterKill(t *testing.T) {
	a, b := start(t, nil), start(t, nil)
	first := begin(t, a, request("r", 1, 1000))
	if !first.read(10) {
		t.Fatal("no tokens")
	}
	a.stall("r", true)
	a.Kill()
	if first.read(-1) {
		t.Fatal("the killed engine finished")
	}
	if _, err := do(t, http.MethodGet, a.url("/v1/load"), nil); err == nil {
		t.Fatal("the killed engine answers")
	}
	req := request("r", 2, first.n+20)
	req.Ext.ResumeText, req.Ext.ResumeTokens = first.text.String(), first.n
	second := begin(t, b, req)
	if !second.read(-1) {
		t.Fatal("the second engine did not finish")
	}
	wantAnswer(t, first.text.String()+second.text.String(), first.n+20)

	before := a.Record().Streams[0].Incarnation
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	begin(t, a, request("r", 3, 2)).read(-1)
	if after := a.Record().Streams[1].Incarnation; after == before {
		t.Fatal("the engine kept its incarnation")
	}
}

// Symptom: two routers read one stream, and both believe it theirs.
// Sequence: a second reader attaches at token 5; the first loses its
// connection, the second gets everything from token 5 on.
// Cause: the first router was paused and came back.
func TestSecondReaderTakesOver(t *testing.T) {
	e := start(t, nil)
	first := begin(t, e, request("r", 1, 300))
	first.read(5)
	prefix := first.text.String()
	e.stall("r", true)
	second := open(t, http.MethodGet, e.url("/v1/streams/r/1?from=5"), nil)
	if first.read(-1) {
		t.Fatal("the first reader was not cut off")
	}
	e.stall("r", false)
	if !second.read(-1) {
		t.Fatal("the second reader did not get the end")
	}
	wantAnswer(t, prefix+second.text.String(), 300)
}

func TestCancelIsIdempotentAndEndsTheWork(t *testing.T) {
	e := start(t, nil)
	r := begin(t, e, request("r", 1, 1_000_000))
	r.read(3)
	var answers [2]cancelAnswer
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
	if r.read(-1) || r.sc.Err() == nil {
		t.Fatal("a cancelled stream ended as if whole")
	}
	if s := e.Record().Streams[0]; s.Cancelled != "cancelled" || s.Finished {
		t.Fatalf("%+v", s)
	}
}

// Symptom: an engine is silent, its connections open; later it goes on.
// Sequence: freeze, a request that gets no answer, thaw, and the stream ends
// whole. No token is generated in between.
// Cause: the engine's VM was paused.
func TestFreezeStopsStepsAndThawContinues(t *testing.T) {
	e := start(t, nil)
	r := begin(t, e, request("r", 1, 500))
	r.read(5)
	e.Freeze()
	before := e.Record().Generated
	if _, err := impatient.Get(e.url("/v1/load")); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("the frozen engine answered: %v", err)
	}
	if after := e.Record().Generated; after != before {
		t.Fatalf("%d tokens generated while frozen", after-before)
	}
	e.Thaw()
	if !r.read(-1) {
		t.Fatal("the stream did not go on")
	}
	wantAnswer(t, r.text.String(), 500)
}

// Symptom: a cut engine works for nobody.
// Sequence: cut; steps go on until the answer is whole, while a re-attach gets
// nothing; after heal it gets every token.
// Cause: a partition between router and engine.
func TestCutLetsStepsGoOn(t *testing.T) {
	e := start(t, nil)
	begin(t, e, request("r", 1, 300)).read(1)
	if err := e.Fault("cut", nil); err != nil {
		t.Fatal(err)
	}
	e.mu.Lock()
	s := e.streams[key{"r", 1}]
	e.mu.Unlock()
	for rd := attached(s); !s.view().ended; {
		<-rd.wake
	}
	if _, err := impatient.Get(e.url("/v1/streams/r/1")); err == nil {
		t.Fatal("a cut engine answered")
	}
	if err := e.Fault("heal", nil); err != nil {
		t.Fatal(err)
	}
	r := open(t, http.MethodGet, e.url("/v1/streams/r/1"), nil)
	r.read(-1)
	wantAnswer(t, r.text.String(), 300)
}

// impatient gives up on an engine that does not answer.
var impatient = http.Client{Timeout: 50 * time.Millisecond}

func attached(s *stream) *reader {
	rd := newReader()
	s.attach(rd)
	return rd
}

// Symptom: a caller reads tokens of another request, twice, or not at all.
// Sequence: one chunk of the stream is spoilt by a one-shot fault.
// Cause: an answer crossed, repeated or lost on its way.
func TestOneShotFaultsSpoilOneChunk(t *testing.T) {
	for name, want := range map[string]check.Report{
		shotCross:  {Tokens: 100, OK: true},
		shotRepeat: {Tokens: 101, Repeated: 1},
		shotSkip:   {Tokens: 99, Missing: 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := start(t, nil)
			e.Fault(name, json.RawMessage(`{"request":"r"}`))
			r := begin(t, e, request("r", 1, 100))
			r.read(-1)
			if got := check.Answer(prompt, r.text.String()); got != want {
				t.Fatalf("%+v, want %+v", got, want)
			}
			if crossed := len(r.ids) > 1; crossed != (name == shotCross) {
				t.Fatalf("ids %v", r.ids)
			}
		})
	}
}

// Symptom: one stream is silent while the engine's others go on.
// Sequence: one of two streams is stalled; the other runs to its end and the
// first has not moved; then it is let go and ends whole.
// Cause: preemption, or a long prefill, of that stream alone.
func TestStallHoldsOneStream(t *testing.T) {
	e := start(t, nil)
	held := begin(t, e, request("held", 1, 300))
	held.read(1)
	e.Fault("stall", json.RawMessage(`{"request":"held"}`))
	before := e.Record().Generated
	other := begin(t, e, request("other", 1, 100))
	other.read(-1)
	wantAnswer(t, other.text.String(), 100)
	if moved := e.Record().Generated - before - 100; moved != 0 {
		t.Fatalf("the stalled stream moved by %d tokens", moved)
	}
	e.Fault("stall", json.RawMessage(`{"request":"held","on":false}`))
	held.read(-1)
	wantAnswer(t, held.text.String(), 300)
}

func BenchmarkTokens(b *testing.B) {
	const streams = 128
	e := start(b, func(c *Config) { c.StepMS = 0.1; c.MaxRunning = streams })
	each := b.N/streams + 1
	ends := make(chan int, streams)
	for i := range streams {
		r := begin(b, e, request(fmt.Sprint("r", i), 1, each))
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
