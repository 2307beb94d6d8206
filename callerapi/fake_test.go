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

// run is what a fake runner does with one request.
type run func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result

func (f run) Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
	return f(ctx, req, sink)
}

type accounts struct{}

func (accounts) Authenticate(key string) (string, bool) {
	return strings.CutPrefix(key, "sk-")
}

func (accounts) Resolve(_, model, _ string) (fleet.ModelRef, fleet.Priority, error) {
	switch model {
	case "m":
		return fleet.ModelRef{Model: "m", Version: "v1"}, fleet.Batch, nil
	case "secret":
		return fleet.ModelRef{}, 0, callerapi.ErrForbidden
	}
	return fleet.ModelRef{}, 0, callerapi.ErrUnknownModel
}

// noAccess plays a configuration in which the account has lost its models.
type noAccess struct{ accounts }

func (noAccess) Resolve(string, string, string) (fleet.ModelRef, fleet.Priority, error) {
	return fleet.ModelRef{}, 0, callerapi.ErrForbidden
}

type gate struct{ err error }

func (g gate) Ready() error { return g.err }

type services func(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error)

func (f services) Do(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
	return f(ctx, call)
}

// pointers plays another node on which every announced key is live.
type pointers map[string][16]byte

func (p pointers) Locate(_ context.Context, account, key string) (string, [16]byte, bool) {
	hash, ok := p[account+"/"+key]
	return "node-2", hash, ok
}

func (p pointers) Announce(account, key string, hash [16]byte) { p[account+"/"+key] = hash }
func (p pointers) Drop(string, string)                         {}

var errNotReady = errors.New("no configuration")

// tokens delivers texts from an offset on, as one attempt on engine e1.
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

func newServer(t testing.TB, f run, change ...func(*callerapi.Config)) *callerapi.Server {
	t.Helper()
	sealer, err := cursor.NewSealer(bytes.Repeat([]byte("k"), 32), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	cfg := callerapi.Config{Gate: gate{}, Accounts: accounts{}, Runner: f, Sealer: sealer}
	cfg.BodyBytes = 2000
	for _, c := range change {
		c(&cfg)
	}
	return callerapi.New(cfg)
}

// post sends body with headers given as "Name: value".
func post(s http.Handler, path, body string, headers ...string) *http.Response {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer sk-acme")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Result()
}

// streamed is what a caller got from a stream.
type streamed struct {
	text, cursor string
	cursors      []string
	done         bool
	failure      failure
}

func readStream(t testing.TB, resp *http.Response) streamed {
	t.Helper()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v: %s", resp.StatusCode, err, raw)
	}
	var out streamed
	for event := range strings.SplitSeq(strings.TrimSuffix(string(raw), "\n\n"), "\n\n") {
		out.add(t, event)
	}
	return out
}

func (s *streamed) add(t testing.TB, event string) {
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

// stuck plays a connection whose caller vanished: a flush blocks until the
// write deadline is in the past.
type stuck struct {
	*httptest.ResponseRecorder
	mu   sync.Mutex
	past chan struct{}
}

func (s *stuck) SetWriteDeadline(t time.Time) error {
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

func (s *stuck) FlushError() error {
	s.mu.Lock()
	past := s.past
	s.mu.Unlock()
	<-past
	return os.ErrDeadlineExceeded
}

// never is a runner for requests that must be refused before it.
func never(t testing.TB) run {
	return func(context.Context, generation.Request, generation.Sink) generation.Result {
		t.Error("the request was run")
		return generation.Result{Outcome: fleet.Failed}
	}
}

// counted counts the runs of f.
func counted(n *atomic.Int32, f run) run {
	return func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
		n.Add(1)
		return f(ctx, req, sink)
	}
}
