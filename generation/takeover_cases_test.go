package generation

import (
	"context"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/quarantine"
)

// Guards against a request that may run once and ends without its answer, because its server is silent before the answer
// begins: nothing can replace its run, to which the router attaches again.
func TestSilenceBeforeTheAnswerOfARequestThatRunsOnce(t *testing.T) {
	for name, silence := range map[string]time.Duration{"long": 10 * time.Second, "short": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 1, silence: silence}}}
				e := &attachableFleet{silentFleet: w, readyAt: time.Now().Add(silence)}
				watches := &watchCounter{silentFleet: w}
				r, err := New(Deps{Admitter: w, Claims: &harness{}, Picker: e, Watcher: watches, Engines: e, Abandon: w, Budget: w}, Options{})
				if err != nil {
					t.Fatal(err)
				}
				out := &callerAnswer{}
				res := r.Run(t.Context(), Request{
					ID: "q", Deadline: time.Now().Add(20 * time.Second), NonIdempotent: true, MaxTokens: 9, Prompt: "prompt",
				}, nativeCaller{out})
				if res.Outcome != fleet.Complete || len(w.opened) != 1 || watches.open != 0 {
					t.Errorf("got %s (%s, %v), %d attempts, %d still watched", res.Outcome, res.Code, res.Err, len(w.opened), watches.open)
				}
			})
		})
	}
}

// nativeCaller is a caller of an answer without a head.
type nativeCaller struct{ *callerAnswer }

func (nativeCaller) Begin(Position, *backend.Head) error { return nil }

// attachableFleet lets routers attach again to the run of an attempt once its server is no longer silent.
type attachableFleet struct {
	*silentFleet
	readyAt time.Time
}

func (f *attachableFleet) Lookup(id string) (fleet.Backend, bool) {
	return fleet.Backend{ID: id, Addr: id}, true
}

func (f *attachableFleet) Attach(ctx context.Context, _ fleet.Backend, _ backend.StreamID, from int) (Stream, error) {
	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-time.After(time.Until(f.readyAt)):
	}
	return &nativeStream{next: from, last: f.chunks - 1}, nil
}

type nativeStream struct{ next, last int }

func (s *nativeStream) Next() (backend.Token, error) {
	time.Sleep(chunkInterval)
	t := backend.Token{Index: s.next, Text: []byte("x")}
	if s.next == s.last {
		t.Finish = "stop"
	}
	s.next++
	return t, nil
}
func (s *nativeStream) Buffered() bool      { return false }
func (s *nativeStream) Incarnation() string { return "" }
func (s *nativeStream) Head() *backend.Head { return nil }
func (s *nativeStream) Close() error        { return nil }

// watchCounter counts the attempts that are registered with the failure detector.
type watchCounter struct {
	*silentFleet
	open int
}

func (w *watchCounter) Watch(id string, work health.Work, cancel context.CancelCauseFunc) Watch {
	w.open++
	return &countedWatch{Watch: w.silentFleet.Watch(id, work, cancel), end: func() { w.open-- }}
}

type countedWatch struct {
	Watch
	end func()
}

func (w *countedWatch) Close() {
	w.Watch.Close()
	if w.end != nil {
		w.end()
		w.end = nil
	}
}

// Guards against a panic, and with it a connection without an answer, if the silent server answers with a failure of its
// own while the silence is still being recorded.
func TestFailureAnswerWhileTheSilenceIsRecorded(t *testing.T) {
	failed := &backend.FailedAnswer{Head: backend.Head{Status: 500}, Body: []byte("failed")}
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 1, silence: 1100 * time.Millisecond, crash: failed}}}
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		guard := quarantine.NewGuard(quarantine.Config{
			Now:        func() time.Duration { return time.Since(began) },
			Leaving:    func(string) bool { time.Sleep(200 * time.Millisecond); return true },
			Neighbours: func(fleet.Backend, int) []fleet.Backend { return nil },
			Broadcast:  func(quarantine.Update) {},
		})
		r, err := New(Deps{Admitter: w, Picker: w, Watcher: w, Engines: w, Abandon: w, Budget: w, Guard: guard}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			if p := recover(); p != nil {
				t.Errorf("panic: %v", p)
			}
		}()
		if res := r.Run(t.Context(), requestWith(3), &callerAnswer{}); res.Outcome != fleet.Complete {
			t.Errorf("got %s (%s)", res.Outcome, res.Code)
		}
	})
}

// Guards against an attempt that isn't watched any more, because the report of its silence came together with the head of
// its answer: the failure detector reports one silence of each registration.
func TestAttemptWhoseHeadOvertakesAReportIsWatched(t *testing.T) {
	for range 100 {
		w := &watchCounter{silentFleet: &silentFleet{}}
		x := &run{Runner: &Runner{Deps: Deps{Watcher: w}}, req: requestWith(3)}
		a := &attempt{watch: noWatch{}, silent: make(chan error, 1), reading: &reading{results: make(chan readResult, 1)}}
		a.silent <- health.ErrSuspect
		a.reading.results <- readResult{stream: &nativeStream{}}
		s, ev, err := x.awaitAnswer(a)
		if s == nil || ev != "" || err != nil {
			t.Fatalf("got %v, %q, %v", s, ev, err)
		}
		if w.open == 0 && len(a.silent) == 0 {
			t.Fatal("the report is dropped, and the attempt not watched again")
		}
		a.watch.Close()
	}
}

// Guards against a silence that is noticed late, since the attempt was registered once more with the failure detector and
// counts as one whose answer has not begun.
func TestSilenceAfterTheVersionIsKnownIsNoticedAsSoon(t *testing.T) {
	for at := 5; at < 30; at++ {
		w := &silentFleet{
			fakeFleet: fakeFleet{chunks: 40, budget: 9, versions: &versions{unanswered: map[string]int{"b1": 2}}},
			servers:   []silentServer{{silentAt: at, silence: 10 * time.Second}},
		}
		res, _ := w.play(t, nil)
		if len(w.opened) == 2 && res.LongestPause > silenceDetectedAfter+100*time.Millisecond {
			t.Errorf("silent at chunk %d: noticed after %v", at, res.LongestPause)
		}
	}
}

func requestWith(attempts int) Request {
	return Request{ID: "q", Deadline: time.Now().Add(20 * time.Second), Opaque: &Opaque{
		Opaque: &backend.Opaque{Streaming: true, Resumable: true}, Service: "svc", FirstChunk: 1, MaxAttempts: attempts, MaxWait: time.Second,
	}}
}
