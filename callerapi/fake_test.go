package callerapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/callerapi"
	"wigeondale/cursor"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// runnerFunc implements callerapi.Runner with a function.
type runnerFunc func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result

func (f runnerFunc) Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
	return f(ctx, req, sink)
}

type fakeAccounts struct{}

func (fakeAccounts) Authenticate(key string) (string, bool) {
	return strings.CutPrefix(key, "sk-")
}

func (fakeAccounts) Resolve(_, model, _ string) (fleet.ModelRef, fleet.Priority, error) {
	switch model {
	case "m":
		return fleet.ModelRef{Model: "m", Version: "v1"}, fleet.Batch, nil
	case "secret":
		return fleet.ModelRef{}, 0, callerapi.ErrForbidden
	}
	return fleet.ModelRef{}, 0, callerapi.ErrUnknownModel
}

// noAccess is an Accounts in which no account may use any model.
type noAccess struct{ fakeAccounts }

func (noAccess) Resolve(string, string, string) (fleet.ModelRef, fleet.Priority, error) {
	return fleet.ModelRef{}, 0, callerapi.ErrForbidden
}

type fakeGate struct{ err error }

func (g fakeGate) Ready() error { return g.err }

type serviceFunc func(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error)

func (f serviceFunc) Do(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
	return f(ctx, call)
}

// fakeKeyRegistry reports that every announced key is running on another node.
type fakeKeyRegistry map[string][16]byte

func (p fakeKeyRegistry) Locate(_ context.Context, account, key string) (string, [16]byte, bool) {
	hash, ok := p[account+"/"+key]
	return "node-2", hash, ok
}

func (p fakeKeyRegistry) Announce(account, key string, hash [16]byte) { p[account+"/"+key] = hash }
func (p fakeKeyRegistry) Drop(string, string)                         {}

var errNotReady = errors.New("no configuration")

// tokens delivers texts as the tokens from index from on, as one attempt on engine
// e1. The text "end" is the last token.
func tokens(sink generation.Sink, from int, texts ...string) error {
	if err := sink.Begin(generation.Position{Backend: "e1", Incarnation: "i1", Attempt: 1}, nil); err != nil {
		return err
	}
	for i, text := range texts {
		finish := ""
		if text == "end" {
			finish = "stop"
		}
		if err := sink.Token(from+i, []byte(text), finish); err != nil {
			return err
		}
	}
	return sink.Flush()
}

var complete = generation.Result{Outcome: fleet.Complete}

func newServer(t testing.TB, f runnerFunc, change ...func(*callerapi.Config)) *callerapi.Server {
	t.Helper()
	sealer, err := cursor.NewSealer(bytes.Repeat([]byte("k"), 32), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	cfg := callerapi.Config{Gate: fakeGate{}, Accounts: fakeAccounts{}, Runner: f, Sealer: sealer}
	cfg.BodyBytes = 2000
	for _, c := range change {
		c(&cfg)
	}
	return callerapi.New(cfg)
}

// post sends body with headers in the form "Name: value". Without an Authorization among them it sends the key of an account.
func post(s http.Handler, path, body string, headers ...string) *http.Response {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Add(name, value)
	}
	if len(r.Header.Values("Authorization")) == 0 {
		r.Header.Set("Authorization", "Bearer sk-acme")
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Result()
}

// receivedStream is what a caller received on one stream.
type receivedStream struct {
	text, cursor string
	cursors      []string
	done         bool
	failure      failure
}

func readStream(t testing.TB, resp *http.Response) receivedStream {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v: %s", resp.StatusCode, err, raw)
	}
	var out receivedStream
	for event := range strings.SplitSeq(strings.TrimSuffix(string(raw), "\n\n"), "\n\n") {
		out.add(t, event)
	}
	return out
}

func (s *receivedStream) add(t testing.TB, event string) {
	t.Helper()
	id, data, hasID := strings.Cut(event, "\ndata: ")
	switch {
	case event == "data: [DONE]":
		s.done = true
	case strings.HasPrefix(id, "event: error"):
		s.failure = readFailure(t, data)
	case hasID:
		s.cursor = strings.TrimPrefix(id, "id: ")
		s.cursors = append(s.cursors, s.cursor)
		s.text += chunkText(t, data)
	default:
		t.Fatalf("event %q", event)
	}
}

func chunkText(t testing.TB, data string) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Text  string
			Delta struct{ Content string }
		}
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
		t.Fatalf("chunk %q: %v", data, err)
	}
	return chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
}

type failure struct {
	Message, Type, Code, Outcome string
	RetryAfterMS                 int64 `json:"retry_after_ms"`
}

func readFailure(t testing.TB, raw string) failure {
	t.Helper()
	var body struct{ Error failure }
	if err := json.Unmarshal([]byte(raw), &body); err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	return body.Error
}

func failureIn(t testing.TB, resp *http.Response) failure {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	f := readFailure(t, string(raw))
	if f.Code == "" || f.Message == "" || f.Outcome != resp.Header.Get("Wigeon-Outcome") {
		t.Errorf("incomplete failure %+v", f)
	}
	return f
}

// stuckConn simulates a connection whose caller is unreachable: a flush blocks until
// the write deadline has passed.
type stuckConn struct {
	*httptest.ResponseRecorder
	mu   sync.Mutex
	past chan struct{}
}

func (s *stuckConn) SetWriteDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.After(time.Now()) {
		s.past = make(chan struct{})
		return nil
	}
	select {
	case <-s.past:
	default:
		close(s.past)
	}
	return nil
}

func (s *stuckConn) FlushError() error {
	s.mu.Lock()
	past := s.past
	s.mu.Unlock()
	<-past
	return os.ErrDeadlineExceeded
}

// neverRuns returns a runner that fails the test if a request reaches it.
func neverRuns(t testing.TB) runnerFunc {
	return func(context.Context, generation.Request, generation.Sink) generation.Result {
		t.Error("the request was run")
		return generation.Result{Outcome: fleet.Failed}
	}
}

// countRuns returns a runner that calls f and counts the calls in n.
func countRuns(n *atomic.Int32, f runnerFunc) runnerFunc {
	return func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
		n.Add(1)
		return f(ctx, req, sink)
	}
}
