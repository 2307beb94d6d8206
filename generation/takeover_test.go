package generation

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// Guards against a failure answer that is followed by a second answer, because the silent attempt delivers while the
// client still reads.
func TestFailedAnswerIsNotFollowedByTheSilentAttempt(t *testing.T) {
	failed := &backend.FailedAnswer{Head: backend.Head{Status: 500}, Body: []byte("failed")}
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9},
		servers:   []silentServer{{silentAt: 1, silence: 1500 * time.Millisecond}, {refusal: failed}},
	}
	synctest.Test(t, func(t *testing.T) {
		r, err := New(Deps{Admitter: w, Picker: w, Watcher: w, Engines: w, Abandon: w, Budget: w}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		out := &callerAnswer{readDelay: time.Second}
		res := r.Run(t.Context(), silentRequest(2), out)
		if res.Code == codeInternalFlow || res.Outcome != fleet.Complete {
			t.Errorf("got %s (%s, %v), %q", res.Outcome, res.Code, res.Err, out.text)
		}
	})
}

func silentRequest(attempts int) Request {
	return Request{ID: "q", Deadline: time.Now().Add(20 * time.Second), Opaque: &Opaque{
		Opaque: &backend.Opaque{Streaming: true, Resumable: true}, Service: "svc", FirstChunk: 1, MaxAttempts: attempts, MaxWait: time.Second,
	}}
}

// Guards against a request that is passed on again and again, beyond its attempts, while its own server is silent.
func TestSilenceSendsNoRequestToOtherRoutersWithoutEnd(t *testing.T) {
	for name, err := range map[string]error{
		"failed there": &RemoteEnd{Outcome: fleet.Failed, Code: CodeEngineLost},
	} {
		t.Run(name, func(t *testing.T) {
			w := &silentFleet{
				fakeFleet: fakeFleet{chunks: 9, budget: 9},
				servers:   []silentServer{{silentAt: 5, silence: 10 * time.Second}},
			}
			f := &failingRouter{w: w, err: err}
			synctest.Test(t, func(t *testing.T) {
				r, err := New(Deps{Admitter: w, Picker: w, Watcher: w, Engines: w, Abandon: w, Budget: w, Forwarder: f}, Options{})
				if err != nil {
					t.Fatal(err)
				}
				res := r.Run(t.Context(), silentRequest(3), &callerAnswer{})
				if f.passedOn > 2 || res.Outcome != fleet.Complete {
					t.Errorf("got %s (%s), passed on %d times", res.Outcome, res.Code, f.passedOn)
				}
			})
		})
	}
}

// failingRouter is a Forwarder of a router that is cut off after its first attempt, and whose peers fail.
type failingRouter struct {
	w        *silentFleet
	err      error
	passedOn int
}

func (f *failingRouter) CutOff(string) bool                       { return len(f.w.opened) > 0 }
func (f *failingRouter) CheckCutOff(context.Context, string) bool { return f.CutOff("") }
func (f *failingRouter) Forward(context.Context, Handover) (ForwardedStream, error) {
	f.passedOn++
	return nil, f.err
}

// Guards against a stream that is never watched again, because its only report of a silence came while its software
// version was not known yet.
func TestSilenceBeforeTheVersionIsKnownHidesNoLaterOne(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 40, budget: 9, versions: &versions{unanswered: map[string]int{"b1": 3}}},
		servers:   []silentServer{{silentAt: 3, silence: 600 * time.Millisecond, again: 30}},
	}
	w.servers[0].crash = nil
	res, out := w.play(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(40) || len(w.opened) != 2 {
		t.Errorf("got %s, %d attempts, paused for %v", res.Outcome, len(w.opened), res.LongestPause)
	}
}

// Guards against an answer that goes on after a silence and whose standby copy is never renewed.
func TestStandbyCopyIsRenewedAfterASilence(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 300}, pickErr: errNoneLeft,
		servers: []silentServer{{silentAt: 5, silence: 600 * time.Millisecond}},
	}
	synctest.Test(t, func(t *testing.T) {
		r, err := New(Deps{Admitter: w, Picker: w, Watcher: w, Engines: w, Abandon: w, Budget: w, Copier: w}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		req := silentRequest(3)
		req.Opaque.Copies = Copying{OnDemand: true}
		res := r.Run(t.Context(), req, &callerAnswer{})
		r.Wait()
		if res.Outcome != fleet.Complete || w.copies < 2 {
			t.Errorf("got %s, %d copies in an answer of 6 s", res.Outcome, w.copies)
		}
	})
}

// Guards against a loss that is counted against a sound server: its stream is closed while it is read, and the reader
// takes the error for a failure of the server, because the context of the attempt has not ended yet.
func TestReplacedAttemptIsCancelledBeforeItsStreamIsClosed(t *testing.T) {
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 5, silence: time.Minute}}}
	var first *closeObserver
	e := observingEngines{w, func(s *closeObserver) {
		if first == nil {
			first = s
		}
	}}
	synctest.Test(t, func(t *testing.T) {
		r, err := New(Deps{Admitter: w, Picker: w, Watcher: w, Engines: e, Abandon: w, Budget: w}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		r.Run(t.Context(), silentRequest(3), &callerAnswer{})
	})
	if first == nil || first.closedEarly.Load() {
		t.Error("the stream was closed before its context ended")
	}
}

type observingEngines struct {
	*silentFleet
	opened func(*closeObserver)
}

func (e observingEngines) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error) {
	s, err := e.silentFleet.Open(ctx, b, r)
	if err != nil {
		return nil, err
	}
	c := &closeObserver{Stream: s, ctx: ctx}
	e.opened(c)
	return c, nil
}

type closeObserver struct {
	Stream
	ctx         context.Context
	once        sync.Once
	closedEarly atomic.Bool
}

func (c *closeObserver) Close() error {
	c.once.Do(func() { c.closedEarly.Store(c.ctx.Err() == nil) })
	return c.Stream.Close()
}

// Guards against a 502 in place of the answer of the silent server itself: its failure, or its statement that the request
// has not run.
func TestAnswerOfTheSilentServerIsPassedOn(t *testing.T) {
	failed := &backend.FailedAnswer{Head: backend.Head{Status: 500}, Body: []byte("failed")}
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, pickErr: errNoneLeft, servers: []silentServer{{silentAt: 1, silence: 2 * time.Second, crash: failed}}}
	if res, out := w.play(t, nil); res.Outcome != fleet.Complete || out.status != 500 {
		t.Errorf("after a failure: got %s (%s), status %d", res.Outcome, res.Code, out.status)
	}
	for name, err := range map[string]error{
		"refused":  &backend.Refused{Status: 503, Code: "overloaded"},
		"not sent": backend.ErrNotSent,
	} {
		w = &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, pickErr: errNoneLeft, servers: []silentServer{{silentAt: 1, silence: 2 * time.Second, crash: err}}}
		if res, _ := w.play(t, nil); res.Outcome != fleet.NotRun {
			t.Errorf("%s: got %s (%s)", name, res.Outcome, res.Code)
		}
	}
}

// Guards against a server that counts as failed because it answers with a failure of its own after a silence.
func TestFailureAnswerAfterASilenceIsNoFailureOfTheServer(t *testing.T) {
	failed := &backend.FailedAnswer{Head: backend.Head{Status: 500}}
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, pickErr: errNoneLeft, servers: []silentServer{{silentAt: 1, silence: 2 * time.Second, crash: failed}}}
	synctest.Test(t, func(t *testing.T) {
		r, err := New(Deps{Admitter: w, Picker: w, Watcher: resultRecorder{w}, Engines: w, Abandon: w, Budget: w}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		r.Run(t.Context(), silentRequest(3), &callerAnswer{})
	})
	for _, err := range w.results {
		if err != nil {
			t.Errorf("reported: %v", err)
		}
	}
}

type resultRecorder struct{ *silentFleet }

func (w resultRecorder) Result(_ string, err error) { w.results = append(w.results, err) }

// Guards against a search for another server because of a silence that ended with the next chunk, or that was this
// router's own, while the client read slowly.
func TestReportThatAChunkHasOvertakenStartsNoSearch(t *testing.T) {
	w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}}
	e := wrappingEngines{w, func(s Stream) Stream { return &bufferingStream{Stream: s} }}
	synctest.Test(t, func(t *testing.T) {
		r, err := New(Deps{Admitter: w, Picker: w, Watcher: w, Engines: e, Abandon: w, Budget: w}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		res := r.Run(t.Context(), silentRequest(3), &callerAnswer{readDelay: 400 * time.Millisecond})
		if res.Outcome != fleet.Complete || len(w.opened) != 1 {
			t.Errorf("got %s in %d attempts", res.Outcome, len(w.opened))
		}
	})
}

type wrappingEngines struct {
	*silentFleet
	wrap func(Stream) Stream
}

func (e wrappingEngines) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error) {
	s, err := e.silentFleet.Open(ctx, b, r)
	if err != nil {
		return nil, err
	}
	return e.wrap(s), nil
}

// bufferingStream has received its second to fourth chunk together with the first.
type bufferingStream struct {
	Stream
	read int
}

func (s *bufferingStream) Next() (backend.Token, error) {
	s.read++
	return s.Stream.Next()
}

func (s *bufferingStream) Buffered() bool { return s.read > 0 && s.read < 4 }

// Guards against a second attempt at the server whose silent attempt is still read, if it is the only one.
func TestSilentServerGetsNoSecondAttempt(t *testing.T) {
	for name, first := range map[string]silentServer{
		"before the answer": {silentAt: 1, silence: 3 * time.Second},
		"in the answer":     {silentAt: 5, silence: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{first, {silentAt: 1, silence: 2 * time.Second}}}
			synctest.Test(t, func(t *testing.T) {
				r, err := New(Deps{Admitter: w, Picker: onlyServer{w}, Watcher: w, Engines: w, Abandon: w, Budget: w}, Options{})
				if err != nil {
					t.Fatal(err)
				}
				res := r.Run(t.Context(), silentRequest(3), &callerAnswer{})
				if res.Outcome != fleet.Complete || len(w.opened) != 1 {
					t.Errorf("got %s, attempts at %v", res.Outcome, w.backends)
				}
			})
		})
	}
}

// onlyServer is a Picker of a service with a single backend server.
type onlyServer struct{ *silentFleet }

func (onlyServer) Pick(_ context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	if a.Exclude["b1"] {
		return fleet.Backend{}, nil, &Unavailable{Err: errNoneLeft}
	}
	return fleet.Backend{ID: "b1", Addr: "b1"}, &fakeShare{}, nil
}
