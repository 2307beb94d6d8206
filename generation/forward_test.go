package generation

import (
	"context"
	"io"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// otherRouter is a Forwarder that runs requests at another router, whose backend servers are those
// of its harness.
type otherRouter struct {
	harness
	cutOff    func() bool
	handovers []Handover
	loseAfter int // tokens after which the stream of the first request is lost; 0 for never
}

func (o *otherRouter) CutOff(string) bool                       { return o.cutOff() }
func (o *otherRouter) CheckCutOff(context.Context, string) bool { return o.cutOff() }

func (o *otherRouter) Forward(ctx context.Context, h Handover) (ForwardedStream, error) {
	o.handovers = append(o.handovers, h)
	req := h.Request
	req.Retry = h.Retry
	s := &remoteStream{tokens: make(chan backend.Token, 2*answerTokens), lost: make(chan struct{})}
	if len(o.handovers) == 1 {
		s.loseAfter = o.loseAfter
	}
	client := backend.NewClient()
	defer client.CloseIdle()
	r, err := New(Deps{Admitter: &o.harness, Claims: &o.harness, Picker: &o.harness, Watcher: &o.harness, Engines: Native{client}, Abandon: &o.harness, Budget: &o.harness}, Options{StartedMaxWait: 50 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	s.res = r.Run(ctx, req, s)
	close(s.tokens)
	if s.res.Outcome == fleet.NotRun {
		return nil, &RemoteEnd{Outcome: s.res.Outcome, Code: s.res.Code}
	}
	return s, nil
}

// remoteStream is the whole answer of the other router.
type remoteStream struct {
	tokens    chan backend.Token
	origin    Position
	res       Result
	loseAfter int
	lost      chan struct{}
	read      int
}

func (s *remoteStream) Begin(p Position, _ *backend.Head) error { s.origin = p; return nil }
func (s *remoteStream) Flush() error                            { return nil }
func (s *remoteStream) Token(i int, text []byte, finish string) error {
	s.tokens <- backend.Token{Index: i, Text: append([]byte(nil), text...), Finish: finish}
	return nil
}

func (s *remoteStream) Next() (backend.Token, error) {
	if s.read++; s.loseAfter > 0 && s.read > s.loseAfter {
		return backend.Token{}, backend.ErrBroken
	}
	if t, ok := <-s.tokens; ok {
		return t, nil
	}
	if s.res.Outcome == fleet.Complete {
		return backend.Token{}, io.EOF
	}
	return backend.Token{}, &RemoteEnd{Outcome: s.res.Outcome, Code: s.res.Code}
}

func (s *remoteStream) Buffered() bool      { return false }
func (s *remoteStream) Incarnation() string { return s.origin.Incarnation }
func (s *remoteStream) Head() *backend.Head { return nil }
func (s *remoteStream) Close() error        { return nil }
func (s *remoteStream) Router() string      { return "n2" }
func (s *remoteStream) Origin() Position    { return s.origin }

// Guards against an answer that ends early when the links of its router are cut, and against one that
// the other router begins anew.
func TestAnswerGoesOnAtAnotherRouter(t *testing.T) {
	h := harness{engines: []*fakeEngine{newFakeEngine(t, behavior{tokens: 3, fault: "reset"})}}
	other := &otherRouter{harness: harness{engines: []*fakeEngine{newFakeEngine(t, behavior{fault: "none"}), newFakeEngine(t, behavior{})}}}
	other.cutOff = func() bool { return len(h.engines[0].got()) > 0 } // after the first attempt began
	h.forwarder = other
	sink := &fakeSink{}
	res := h.run(t, Request{}, sink, Options{})
	if res.Outcome != fleet.Complete || sink.text.String() != answerText(answerTokens) {
		t.Fatalf("%+v, %q", res, sink.text.String())
	}
	got := other.engines[1].got()
	if len(got) != 1 || got[0].Ext.ResumeTokens != 3 || got[0].Ext.ResumeText != answerText(3) {
		t.Errorf("the other router's engine got %+v", got)
	}
	if last := sink.seen[len(sink.seen)-1]; last.Backend != "e1" || last.Incarnation != "i1" || last.Attempt != got[0].Ext.Attempt {
		t.Errorf("the caller's cursor names %+v, the run is attempt %d", last, got[0].Ext.Attempt)
	}
}

// Guards against a request that may run once and runs again when the stream between two routers is
// lost: the next router attaches to its run.
func TestRequestThatRunsOnceIsAttachedThroughAnotherRouter(t *testing.T) {
	h := harness{}
	other := &otherRouter{harness: harness{engines: []*fakeEngine{newFakeEngine(t, behavior{})}}, cutOff: func() bool { return true }, loseAfter: 4}
	h.forwarder = other
	sink := &fakeSink{}
	res := h.run(t, Request{NonIdempotent: true}, sink, Options{})
	if res.Outcome != fleet.Complete || sink.text.String() != answerText(answerTokens) {
		t.Fatalf("%+v, %q", res, sink.text.String())
	}
	if e := other.engines[0]; len(e.got()) != 1 || e.gets != 1 {
		t.Errorf("%d runs, %d attachments", len(e.got()), e.gets)
	}
}

// Guards against a request that goes from router to router, and against "not-run" where the other
// router may have run it.
func TestRequestPassesTwoRoutersAtMost(t *testing.T) {
	h := harness{}
	other := &otherRouter{cutOff: func() bool { return true }}
	h.forwarder = other
	if res := h.run(t, Request{Forwarded: true}, &fakeSink{}, Options{}); res.Outcome != fleet.NotRun || res.Code != CodeCutOff {
		t.Errorf("a request that was passed on: %+v", res)
	}
	if len(other.handovers) != 0 {
		t.Error("it was passed on again")
	}
	h = harness{forwarder: other}
	other.engines = []*fakeEngine{newFakeEngine(t, behavior{tokens: 2, fault: "close"}, behavior{fault: "none"})}
	if res := h.run(t, Request{NonIdempotent: true}, &fakeSink{}, Options{StartedMaxWait: 50 * time.Millisecond}); res.Outcome != fleet.Unknown {
		t.Errorf("a request that may have run: %+v", res)
	}
}

// Guards against a request that runs on more backend servers than its route allows, since the second router
// counts anew.
func TestAttemptsCountOverTwoRouters(t *testing.T) {
	r, err := New(Deps{Forwarder: &otherRouter{cutOff: func() bool { return true }}}, Options{})
	if err != nil {
		t.Fatal(err)
	}
	req := Request{ID: "q", Opaque: &Opaque{Opaque: &backend.Opaque{}, FirstChunk: 1, MaxAttempts: 2}}
	for sent, want := range []int{2, 1} {
		x := newRun(r, t.Context(), req, &fakeSink{})
		for range sent {
			x.fates.sending(&attempt{})
		}
		if got := x.handover().Request.Opaque.MaxAttempts; got != want {
			t.Errorf("after %d attempts the other router may make %d, want %d", sent, got, want)
		}
	}
}
