package generation

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/health"
)

const (
	silenceDetectedAfter = 300 * time.Millisecond
	chunkInterval        = 20 * time.Millisecond
)

// silentServer is how the backend server of one attempt behaves.
type silentServer struct {
	silentAt int           // chunk before which it is silent, 1 for before the head of its answer; 0 for never
	silence  time.Duration // how long
	crash    error         // with which its connection ends after the silence
	refusal  error
}

// silentFleet is a fleet in fake time whose servers fall silent. Attempt n reaches servers[n].
type silentFleet struct {
	fakeFleet
	servers    []silentServer
	pickErr    error // of all choices after the first
	atWork     atomic.Int32
	mostAtWork int32
}

func (w *silentFleet) Pick(ctx context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	if w.pickErr != nil && len(w.opened) > 0 {
		return fleet.Backend{}, nil, w.pickErr
	}
	return w.fakeFleet.Pick(ctx, a)
}

func (w *silentFleet) Result(string, error) {}

func (w *silentFleet) Watch(_ string, _ health.Work, cancel context.CancelCauseFunc) Watch {
	return &silenceWatch{time.AfterFunc(silenceDetectedAfter, func() { cancel(health.ErrSuspect) })}
}

// silenceWatch reports one silence, as a health.Stream does.
type silenceWatch struct{ timer *time.Timer }

func (v *silenceWatch) Token(time.Time) {
	if v.timer.Stop() {
		v.timer.Reset(silenceDetectedAfter)
	}
}
func (v *silenceWatch) SetBlocked(bool, time.Time) {}
func (v *silenceWatch) SetCopied(bool)             {}
func (v *silenceWatch) Close()                     { v.timer.Stop() }

func (w *silentFleet) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error) {
	server := silentServer{}
	if n := len(w.opened); n < len(w.servers) {
		server = w.servers[n]
	}
	w.opened = append(w.opened, r)
	w.backends = append(w.backends, b.ID)
	if server.refusal != nil {
		return nil, server.refusal
	}
	s := &silentStream{w: w, ctx: ctx, server: server, next: max(r.ResumeTokens, 1)}
	w.mostAtWork = max(w.mostAtWork, w.atWork.Add(1))
	if server.silentAt == 1 {
		if err := s.beSilent(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// silentStream is the stream of one attempt.
type silentStream struct {
	w      *silentFleet
	ctx    context.Context
	server silentServer
	next   int
	closed atomic.Bool
}

func (s *silentStream) beSilent() error {
	select {
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	case <-time.After(s.server.silence):
		return s.server.crash
	}
}

func (s *silentStream) Next() (backend.Token, error) {
	if s.next == s.server.silentAt && s.next > 1 {
		if err := s.beSilent(); err != nil {
			return backend.Token{}, err
		}
	}
	select {
	case <-s.ctx.Done():
		return backend.Token{}, context.Cause(s.ctx)
	case <-time.After(chunkInterval):
	}
	if s.next > s.w.chunks {
		return backend.Token{}, io.EOF
	}
	s.next++
	return backend.Token{Index: s.next - 1, Text: []byte(chunkText(s.next - 1)[len(chunkText(s.next-2)):])}, nil
}

func (s *silentStream) Buffered() bool      { return false }
func (s *silentStream) Incarnation() string { return "" }
func (s *silentStream) Head() *backend.Head { return &backend.Head{Status: 200} }
func (s *silentStream) Close() error {
	if !s.closed.Swap(true) {
		s.w.atWork.Add(-1)
	}
	return nil
}

// play runs one request in fake time.
func (w *silentFleet) play(t *testing.T, change func(*Request)) (res Result, out *callerAnswer) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { res, out = w.playFor(t, t.Context(), change) })
	if w.atWork.Load() != 0 {
		t.Errorf("%d attempts are at work after the end", w.atWork.Load())
	}
	return res, out
}

func (w *silentFleet) playFor(t *testing.T, ctx context.Context, change func(*Request)) (Result, *callerAnswer) {
	d := Deps{Admitter: w, Picker: w, Watcher: w, Engines: w, Abandon: w, Budget: w}
	if w.versions != nil {
		d.StreamVersions = w.versions
	}
	r, err := New(d, Options{StartedMaxWait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	req := Request{ID: "q", Deadline: time.Now().Add(20 * time.Second), Opaque: &Opaque{
		Opaque: &backend.Opaque{Streaming: true, Resumable: true}, Service: "svc", FirstChunk: 1, MaxAttempts: 3, MaxWait: time.Second,
	}}
	if change != nil {
		change(&req)
	}
	out := &callerAnswer{}
	res := r.Run(ctx, req, out)
	r.Wait()
	return res, out
}

func (w *silentFleet) expectComplete(t *testing.T) {
	t.Helper()
	res, out := w.play(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(w.chunks) {
		t.Errorf("got %s (%s, %v), %q in %d attempts", res.Outcome, res.Code, res.Err, out.text, len(w.opened))
	}
}

var errNoneLeft = errors.New("no other backend server")

// Guards against a started answer that is cut because its server is silent and no retry budget is left.
func TestSilenceWithoutRetryBudgetCutsNoAnswer(t *testing.T) {
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9}, servers: []silentServer{{silentAt: 5, silence: 2 * time.Second}}}
	w.expectComplete(t)
}

// Guards against a started answer that is cut because its server is silent and no other one takes it.
func TestSilenceWithoutAnotherServerCutsNoAnswer(t *testing.T) {
	for name, err := range map[string]error{
		"busy": &Unavailable{Retryable: true, RetryAfter: 20 * time.Millisecond, Err: errNoneLeft},
		"none": errNoneLeft,
		"gone": &Unavailable{Code: CodeVersionGone, Err: errNoneLeft},
	} {
		t.Run(name, func(t *testing.T) {
			w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, pickErr: err, servers: []silentServer{{silentAt: 5, silence: 2 * time.Second}}}
			w.expectComplete(t)
		})
	}
}

// Guards against a 502 for a request whose server is silent before its answer begins, without budget or another server.
func TestSilenceBeforeTheAnswerFailsNoRequest(t *testing.T) {
	server := silentServer{silentAt: 1, silence: 2 * time.Second}
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9}, servers: []silentServer{server}}
	w.expectComplete(t)
	w = &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, pickErr: errNoneLeft, servers: []silentServer{server}}
	w.expectComplete(t)
}

// Guards against a silence that ends a stream of an unknown software version, which nothing can replace.
func TestSilenceCutsNoStreamOfUnknownVersion(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9, versions: &versions{at: map[string]Binding{"b1": {Unknown: true}}}},
		servers:   []silentServer{{silentAt: 5, silence: 2 * time.Second}},
	}
	w.expectComplete(t)
}
