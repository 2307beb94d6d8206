package generation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/health"
)

const answerTokens = 8

var ref = fleet.ModelRef{Model: "m", Version: "v1"}

func tokenText(i int) string { return fmt.Sprintf(" %d", i) }

func answerText(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

// behavior is what an engine does with one request: it sends a number of tokens, then fails as
// described by fault. If fault is empty, the engine sends all tokens of the answer.
type behavior struct {
	tokens int
	fault  string
}

type post struct {
	Priority int `json:"priority"`
	Ext      struct {
		RequestID    string `json:"request_id"`
		Attempt      int    `json:"attempt"`
		ResumeText   string `json:"resume_text"`
		ResumeTokens int    `json:"resume_tokens"`
	} `json:"ext"`
}

// fakeEngine applies one of its behaviors to each request, in order, and repeats the last
// behavior.
type fakeEngine struct {
	srv       *httptest.Server
	mu        sync.Mutex
	behaviors []behavior
	unfit     func(http.ResponseWriter, post) // the answer of the behavior "unfit"
	posts     []post
	gets      int
}

func newFakeEngine(t *testing.T, behaviors ...behavior) *fakeEngine {
	e := &fakeEngine{behaviors: behaviors}
	e.srv = httptest.NewServer(e)
	t.Cleanup(e.srv.Close)
	return e
}

func (e *fakeEngine) got() []post {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.posts)
}

func (e *fakeEngine) next() behavior {
	a := e.behaviors[0]
	if len(e.behaviors) > 1 {
		e.behaviors = e.behaviors[1:]
	}
	return a
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var p post
	e.mu.Lock()
	if r.Method == http.MethodPost {
		json.NewDecoder(r.Body).Decode(&p)
		e.posts = append(e.posts, p)
	} else {
		e.gets++
		part := strings.Split(r.URL.Path, "/")
		p.Ext.RequestID = part[3]
		fmt.Sscan(part[4], &p.Ext.Attempt)
		fmt.Sscan(r.URL.Query().Get("from"), &p.Ext.ResumeTokens)
	}
	a := e.next()
	e.mu.Unlock()
	e.play(w, r, p, a)
}

func (e *fakeEngine) play(w http.ResponseWriter, r *http.Request, p post, a behavior) {
	w.Header().Set("X-Engine-Incarnation", "i1")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch a.fault {
	case "unfit":
		e.unfit(w, p)
		return
	case "refuse":
		w.Header().Set("Retry-After", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"overloaded"}}`)
		return
	case "exists":
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"error":{"code":"attempt_exists"}}`)
		return
	case "none":
		w.WriteHeader(http.StatusNotFound)
		return
	case "close":
		panic(http.ErrAbortHandler)
	}
	from := p.Ext.ResumeTokens
	end := min(from+a.tokens, answerTokens)
	if a.fault == "" {
		end = answerTokens
	}
	for i := from; i < end; i++ {
		emit(w, p.Ext.RequestID, p.Ext.Attempt, i)
	}
	w.(http.Flusher).Flush()
	switch a.fault {
	case "reset":
		panic(http.ErrAbortHandler)
	case "hang":
		<-r.Context().Done()
	case "gap":
		emit(w, p.Ext.RequestID, p.Ext.Attempt, end+1)
	case "cross":
		emit(w, "other", p.Ext.Attempt, end)
	case "repeat":
		for i := end - 1; i < answerTokens; i++ {
			emit(w, p.Ext.RequestID, p.Ext.Attempt, i)
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func emit(w http.ResponseWriter, id string, attempt, i int) {
	finish := "null"
	if i == answerTokens-1 {
		finish = `"stop"`
	}
	fmt.Fprintf(w, `data: {"id":%q,"attempt":%d,"model":"m","version":"v1","adapter":"","index":%d,"choices":[{"index":0,"text":%q,"finish_reason":%s}]}`+"\n\n", id, attempt, i, tokenText(i), finish)
}

// harness implements all dependencies of the Runner.
type harness struct {
	blocked       bool // last value passed to SetBlocked
	engines       []*fakeEngine
	deadAddr      string // address that refuses connections, used in place of the engines' addresses
	silentAfter   int    // tokens after which the first stream is reported silent
	expectReplica bool   // a missing replica is reported as expected back
	claimErr      error
	claimWaits    bool            // Claim waits until its context ends
	ctx           context.Context // of the run; nil: the test's
	duplicate     bool
	pause         time.Duration // of the process, between claim and dispatch
	noBudget      bool
	forwarder     Forwarder

	watched   int
	abandoned []backend.AbandonedAttempt
	voided    []string
	released  int
	inFlight  int
}

func (h *harness) Admit(context.Context, Ticket) (func(), error) {
	return func() { h.released++ }, nil
}

func (h *harness) Claim(ctx context.Context, _, _ string, _ [16]byte, _ string) (bool, error) {
	if h.claimWaits {
		<-ctx.Done()
		return false, ctx.Err()
	}
	time.Sleep(h.pause)
	return !h.duplicate && h.claimErr == nil, h.claimErr
}

func (h *harness) Void(_ context.Context, _, _, attempt string) error {
	h.voided = append(h.voided, attempt)
	return nil
}

func (h *harness) Pick(_ context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	if a.RequestID == "" {
		return fleet.Backend{}, nil, errors.New("Pick was called without the request's id")
	}
	for i := range h.engines {
		b, _ := h.Lookup(fmt.Sprint("e", i))
		if !a.Exclude[b.ID] {
			h.inFlight++
			return b, &fakeShare{end: func() { h.inFlight-- }}, nil
		}
	}
	return fleet.Backend{}, nil, &Unavailable{Retryable: h.expectReplica, RetryAfter: 7 * time.Second, Err: errors.New("no replica")}
}

func (h *harness) Lookup(id string) (fleet.Backend, bool) {
	for i, e := range h.engines {
		if id == fmt.Sprint("e", i) {
			if h.deadAddr != "" {
				return fleet.Backend{ID: id, Addr: h.deadAddr}, true
			}
			return fleet.Backend{ID: id, Addr: e.srv.Listener.Addr().String()}, true
		}
	}
	return fleet.Backend{}, false
}

func (h *harness) Take(string) bool { return !h.noBudget }

func (h *harness) KeepsCopy(string) bool { return false }

func (h *harness) Await(context.Context, string, bool, time.Duration) bool { return false }

func (h *harness) Continue(string) bool { return true }

func (h *harness) Standby(PickRequest, fleet.Backend) (fleet.Backend, LoadShare, bool) {
	return fleet.Backend{}, nil, false
}

func (h *harness) Add(a backend.AbandonedAttempt) { h.abandoned = append(h.abandoned, a) }

func (h *harness) Result(string, error) {}

func (h *harness) Watch(_ string, _ health.Work, cancel context.CancelCauseFunc) Watch {
	h.watched++
	return &fakeWatch{h: h, left: h.silentAfter, first: h.watched == 1, cancel: cancel}
}

type fakeWatch struct {
	h      *harness
	left   int
	first  bool
	cancel context.CancelCauseFunc
}

type silenceCause struct{}

func (silenceCause) Error() string { return "silent" }
func (silenceCause) Resume() bool  { return true }

func (w *fakeWatch) Token(time.Time) {
	w.left--
	if w.first && w.left == 0 {
		w.cancel(silenceCause{})
	}
}

func (w *fakeWatch) SetCopied(bool) {}

func (w *fakeWatch) SetBlocked(blocked bool, _ time.Time) {
	w.h.blocked = blocked
}

func (w *fakeWatch) Close() {}

type fakeSink struct {
	text   strings.Builder
	seen   []Position
	failAt int // index whose Token fails; 0 for never
	flush  func()
}

func (s *fakeSink) Begin(p Position, _ *backend.Head) error { s.seen = append(s.seen, p); return nil }

func (s *fakeSink) Token(i int, text []byte, _ string) error {
	if s.failAt > 0 && i == s.failAt {
		return errors.New("connection reset")
	}
	s.text.Write(text)
	return nil
}

func (s *fakeSink) Flush() error {
	if s.flush != nil {
		s.flush()
	}
	return nil
}

func (h *harness) run(t *testing.T, req Request, sink *fakeSink, o Options) Result {
	t.Helper()
	h.released = 0
	client := backend.NewClient()
	defer client.CloseIdle()
	r, err := New(Deps{Admitter: h, Claims: h, Picker: h, Watcher: h, Engines: Native{client}, Abandon: h, Budget: h, Forwarder: h.forwarder}, o)
	if err != nil {
		t.Fatal(err)
	}
	req.ID, req.Ref, req.Prompt = "r", ref, "prompt"
	if req.MaxTokens == 0 {
		req.MaxTokens = 100
	}
	ctx := h.ctx
	if ctx == nil {
		ctx = t.Context()
	}
	res := r.Run(ctx, req, sink)
	r.Wait()
	if h.inFlight != 0 || h.released > 1 {
		t.Errorf("in flight %d, released %d", h.inFlight, h.released)
	}
	return res
}

// refusingAddr returns an address that refuses connections until the test ends: it is bound, so
// that no other process gets the port, but not listening.
func refusingAddr(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", sa.(*syscall.SockaddrInet4).Port)
}

// fakeShare is a LoadShare that is part of no load record.
type fakeShare struct{ end func() }

func (*fakeShare) PrefillDone() {}

func (s *fakeShare) End() {
	if s.end != nil {
		s.end()
	}
	s.end = nil
}
