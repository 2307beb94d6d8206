package generation

import (
	"cmp"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/health"
)

const (
	silenceDetectedAfter = 300 * time.Millisecond
	firstDetectedAfter   = time.Second // before the first chunk
	chunkInterval        = 20 * time.Millisecond
)

// silentServer is how the backend server of one attempt behaves.
type silentServer struct {
	silentAt int           // chunk before which it is silent, 1 for before the head of its answer; 0 for never
	again    int           // later chunk before which it is silent once more; 0 for never
	silence  time.Duration // how long
	crash    error         // with which its connection ends after the silence
	refusal  error
	head     *backend.Head // of its answer; nil for status 200
}

// silentFleet is a fleet in fake time whose servers fall silent. Attempt n reaches servers[n].
type silentFleet struct {
	fakeFleet
	log             *event.Log
	servers         []silentServer
	pickErr         error      // of all choices after the first
	mu              sync.Mutex // guards opened, backends and streams
	atWork          atomic.Int32
	headDelay       time.Duration // of each answer
	streams         []*silentStream
	readDelay       time.Duration // time that the client takes to read each chunk
	buffered        int           // chunks of each attempt that are received together
	wire            func(*Deps)   // changes the parts of the runner; nil for none
	failureReported atomic.Bool   // to the failure detector
	offersSilent    bool          // a choice allowed the server of the kept attempt
}

// overlap returns the longest time for which an attempt was at work beside a later one that had delivered, or that was accepted longer ago
// than acceptedWait.
func (w *silentFleet) overlap() (longest time.Duration) {
	for i, later := range w.streams {
		for _, s := range w.streams[:i] {
			if later.acceptedAt.IsZero() {
				continue
			}
			replacedAt := later.acceptedAt.Add(acceptedWait)
			if !later.deliveredAt.IsZero() && later.deliveredAt.Before(replacedAt) {
				replacedAt = later.deliveredAt
			}
			longest = max(longest, min(s.closedAt.Sub(replacedAt), later.closedAt.Sub(replacedAt)))
		}
	}
	return longest
}

func (w *silentFleet) Pick(ctx context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.offersSilent = w.offersSilent || len(w.opened) == 1 && !a.Exclude["b1"]
	if w.pickErr != nil && len(w.opened) > 0 {
		return fleet.Backend{}, nil, w.pickErr
	}
	return w.fakeFleet.Pick(ctx, a)
}

func (w *silentFleet) Result(_ string, err error) {
	if err != nil {
		w.failureReported.Store(true)
	}
}

func (w *silentFleet) Watch(_ string, _ health.Work, cancel context.CancelCauseFunc) Watch {
	return &silenceWatch{time.AfterFunc(firstDetectedAfter, func() { cancel(health.ErrSuspect) })}
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
	s := w.newStream(ctx, b, r)
	server := s.server
	if server.refusal != nil {
		return nil, server.refusal
	}
	w.atWork.Add(1)
	if !clock.Sleep(ctx, w.headDelay) {
		s.Close()
		return nil, context.Cause(ctx)
	}
	if server.silentAt == 1 {
		if err := s.beSilent(); err != nil {
			s.Close()
			return nil, err
		}
	}
	s.acceptedAt = time.Now()
	return s, nil
}

func (w *silentFleet) newStream(ctx context.Context, b fleet.Backend, r backend.StartRequest) *silentStream {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &silentStream{w: w, ctx: ctx, next: max(r.ResumeTokens, 1)}
	if n := len(w.opened); n < len(w.servers) {
		s.server = w.servers[n]
	}
	w.opened = append(w.opened, r)
	w.backends = append(w.backends, b.ID)
	w.streams = append(w.streams, s)
	return s
}

// silentStream is the stream of one attempt.
type silentStream struct {
	w      *silentFleet
	ctx    context.Context
	server silentServer
	next   int
	read   int
	closed atomic.Bool
	// closedEarly is set if it was closed before its context ended.
	closedEarly atomic.Bool

	acceptedAt, deliveredAt, closedAt time.Time // of its head, its first chunk and its end
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
	if s.next > 1 && (s.next == s.server.silentAt || s.next == s.server.again) {
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
	if s.read++; s.read == 1 {
		s.deliveredAt = time.Now()
	}
	return backend.Token{Index: s.next - 1, Text: []byte(chunkText(s.next - 1)[len(chunkText(s.next-2)):])}, nil
}

func (s *silentStream) Buffered() bool      { return s.read > 0 && s.read < s.w.buffered }
func (s *silentStream) Incarnation() string { return "" }
func (s *silentStream) Head() *backend.Head { return cmp.Or(s.server.head, &okHead) }
func (s *silentStream) Close() error {
	if !s.closed.Swap(true) {
		s.w.atWork.Add(-1)
		s.closedEarly.Store(s.ctx.Err() == nil)
		s.closedAt = time.Now()
	}
	return nil
}

// play runs one request in fake time.
func (w *silentFleet) play(t *testing.T, change func(*Request)) (res Result, out *callerAnswer) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) { res, out = w.playFor(t, t.Context(), change) })
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
	if w.wire != nil {
		w.wire(&d)
	}
	r, err := New(d, Options{StartedMaxWait: time.Second, Log: w.log})
	if err != nil {
		t.Fatal(err)
	}
	req := requestWith(3)
	if change != nil {
		change(&req)
	}
	out := &callerAnswer{readDelay: w.readDelay}
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
			if w.offersSilent {
				t.Error("the server of the kept attempt could have been chosen again")
			}
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

// Guards against an old run that works on after another server has accepted its answer, for longer than it takes to see that the answer
// isn't empty: until its first chunk, and acceptedWait at most.
func TestAcceptedAnswerEndsTheSilentAttempt(t *testing.T) {
	for _, firstChunkAfter := range []time.Duration{0, 700 * time.Millisecond} {
		w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 5, silence: time.Minute}, {silentAt: 5, silence: firstChunkAfter}}}
		w.expectComplete(t)
		if len(w.opened) != 2 || w.opened[1].ResumeTokens != 5 || w.overlap() > 0 {
			t.Errorf("first chunk after %v: %d attempts, the silent one was at work for another %v", firstChunkAfter, len(w.opened), w.overlap())
		}
	}
}

// Guards against an answer that waits for another server, or has two servers at work, after its own one delivers again.
func TestSilentAttemptThatDeliversFirstGoesOn(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, headDelay: 500 * time.Millisecond,
		servers: []silentServer{{silentAt: 5, silence: 600 * time.Millisecond}},
	}
	res, out := w.play(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) || len(w.opened) != 2 || res.Resumes != 0 {
		t.Errorf("got %s, %q in %d attempts, %d resumes", res.Outcome, out.text, len(w.opened), res.Resumes)
	}
	if res.LongestPause > 700*time.Millisecond {
		t.Errorf("the answer paused for %v", res.LongestPause)
	}
}

// Guards against a second silence of the same server that is not noticed.
func TestServerThatIsSilentAgainIsLeft(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, headDelay: 500 * time.Millisecond,
		servers: []silentServer{{silentAt: 3, silence: 600 * time.Millisecond, again: 6}},
	}
	w.expectComplete(t)
	if len(w.opened) != 3 {
		t.Errorf("%d attempts", len(w.opened))
	}
}

// Guards against a takeover that waits for a server whose crash ends its connection during the search.
func TestCrashDuringTheSearchDelaysNoTakeover(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, headDelay: 500 * time.Millisecond,
		servers: []silentServer{{silentAt: 5, silence: 600 * time.Millisecond, crash: errBroken}},
	}
	res, out := w.play(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) || len(w.opened) != 2 || res.LongestPause > 900*time.Millisecond {
		t.Errorf("got %s, %q in %d attempts, paused for %v", res.Outcome, out.text, len(w.opened), res.LongestPause)
	}
}

// Guards against work that goes on for a client that has left during a silence.
func TestClientThatLeavesDuringASilenceEndsAllAttempts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := &silentFleet{
			fakeFleet: fakeFleet{chunks: 9, budget: 9}, headDelay: 900 * time.Millisecond,
			servers: []silentServer{{silentAt: 5, silence: time.Minute}},
		}
		ctx, leave := context.WithTimeout(t.Context(), 1900*time.Millisecond)
		defer leave()
		res, _ := w.playFor(t, ctx, nil)
		synctest.Wait()
		if res.Outcome == fleet.Complete || len(w.opened) != 2 || w.atWork.Load() != 0 {
			t.Errorf("got %s, %d attempts, %d at work", res.Outcome, len(w.opened), w.atWork.Load())
		}
	})
}

// Guards against pieces that are lost, doubled or mixed, and against cuts, whatever is silent, crashes or refuses.
func TestSilencesLoseNoPieceAndCutNoAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &silentFleet{fakeFleet: fakeFleet{chunks: 8, budget: rapid.IntRange(0, 4).Draw(rt, "budget")}}
		w.headDelay = time.Duration(rapid.IntRange(0, 1500).Draw(rt, "head ms")) * time.Millisecond
		if rapid.Bool().Draw(rt, "no other server") {
			w.pickErr = errNoneLeft
		}
		crashes := false
		for range rapid.IntRange(1, 3).Draw(rt, "servers") {
			s := silentServer{silentAt: rapid.IntRange(0, 9).Draw(rt, "silent at"), again: rapid.IntRange(0, 9).Draw(rt, "again")}
			s.silence = time.Duration(rapid.IntRange(50, 3000).Draw(rt, "silence ms")) * time.Millisecond
			if rapid.IntRange(0, 3).Draw(rt, "crash") == 0 && s.silentAt > 0 {
				s.crash, crashes = errBroken, true
			}
			if rapid.IntRange(0, 3).Draw(rt, "refuses") == 0 {
				s.refusal = &backend.Refused{Status: 503, Code: "overloaded"}
			}
			w.servers = append(w.servers, s)
		}
		attempts := rapid.IntRange(1, 4).Draw(rt, "attempts")
		res, out := w.play(t, func(r *Request) { r.Opaque.MaxAttempts = attempts })
		complete := chunkText(w.chunks)
		if len(out.text) > len(complete) || out.text != complete[:len(out.text)] || res.Outcome == fleet.Complete && out.text != complete {
			rt.Fatalf("%s with %q", res.Outcome, out.text)
		}
		if !crashes && len(out.text) > 0 && res.Outcome != fleet.Complete {
			rt.Fatalf("cut after %q: %s, %v", out.text, res.Code, res.Err)
		}
		if !crashes && res.Outcome == fleet.Failed {
			rt.Fatalf("failed: %s, %v", res.Code, res.Err)
		}
		if w.overlap() > 0 {
			rt.Fatalf("an attempt was at work %v after another server had delivered", w.overlap())
		}
	})
}

// Guards against a new attempt that is dropped, after the silent one was ended, because its server doesn't answer one query.
func TestUnansweredQueryDropsNoNewAttempt(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9, versions: &versions{unanswered: map[string]int{"b2": 2, "b3": 2}}},
		servers:   []silentServer{{silentAt: 5, silence: time.Minute}},
	}
	w.expectComplete(t)
	if len(w.opened) != 2 {
		t.Errorf("%d attempts", len(w.opened))
	}
}

// Guards against a stream that can't be continued after a crash because its server didn't answer a query at its start.
func TestVersionIsConfirmedAfterAnUnansweredQuery(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 60, budget: 9, versions: &versions{unanswered: map[string]int{"b1": 2}}},
		servers:   []silentServer{{silentAt: 50, silence: time.Millisecond, crash: errBroken}},
	}
	w.expectComplete(t)
}
