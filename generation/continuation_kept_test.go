package generation

import (
	"context"
	"io"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// openedFleet is a silentFleet whose attempts are changed once their answer has begun.
type openedFleet struct {
	*silentFleet
	begun func(ctx context.Context, attempt int, s Stream) Stream
}

func (f openedFleet) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error) {
	s, err := f.silentFleet.Open(ctx, b, r)
	if err != nil {
		return nil, err
	}
	return f.begun(ctx, len(f.opened), s), nil
}

// lateStream is silent before its first chunk, and ends with err then if that is set.
type lateStream struct {
	Stream
	ctx   context.Context
	delay time.Duration
	err   error
}

func (s *lateStream) Next() (backend.Token, error) {
	select {
	case <-s.ctx.Done():
		return backend.Token{}, context.Cause(s.ctx)
	case <-time.After(s.delay):
	}
	s.delay = 0
	if s.err != nil {
		return backend.Token{}, s.err
	}
	return s.Stream.Next()
}

// Guards against a request that never ends because its caller leaves as the answer of a further attempt begins beside a silent one.
func TestCallerThatLeavesAsATakeoverBeginsEndsTheRun(t *testing.T) {
	for range 20 {
		bubble.Test(t, func(t *testing.T) {
			w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 5, silence: time.Minute}}}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			w.wire = func(d *Deps) {
				d.Engines = openedFleet{w, func(_ context.Context, attempt int, s Stream) Stream {
					if attempt == 2 {
						leave()
					}
					return s
				}}
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				w.playFor(t, ctx, func(r *Request) { r.Opaque.MaxAttempts = 2 })
			}()
			select {
			case <-ended:
			case <-time.After(time.Minute):
				t.Fatal("the run goes on")
			}
		})
	}
}

// Guards against chunks without the head of their answer if an accepted attempt falls silent after the first silent one is lost.
func TestAcceptedAttemptThatIsKeptBringsItsHead(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9},
		servers:   []silentServer{{silentAt: 1, silence: 1500 * time.Millisecond, crash: errBroken}, {}, {silentAt: 1, silence: time.Minute}},
	}
	w.wire = func(d *Deps) {
		d.Engines = openedFleet{w, func(ctx context.Context, attempt int, s Stream) Stream {
			if attempt == 2 {
				return &lateStream{Stream: s, ctx: ctx, delay: 2 * time.Second}
			}
			return s
		}}
	}
	res, out := w.play(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) || out.status != 200 || len(w.opened) != 3 {
		t.Errorf("%s with status %d, %q in %d attempts", res.Outcome, out.status, out.text, len(w.opened))
	}
}

// Guards against an attempt that has the rest of a stream being given up because a silent one ends without a chunk.
func TestEmptyEndOfTheSilentAttemptReplacesNoOther(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, headDelay: 300 * time.Millisecond,
		servers: []silentServer{{silentAt: 5, silence: time.Millisecond, crash: errBroken}},
	}
	w.wire = func(d *Deps) {
		d.Engines = openedFleet{w, func(ctx context.Context, attempt int, s Stream) Stream {
			if attempt == 2 {
				return &lateStream{Stream: s, ctx: ctx, delay: 800 * time.Millisecond, err: io.EOF}
			}
			return s
		}}
	}
	w.expectComplete(t)
	if len(w.opened) != 3 {
		t.Errorf("%d attempts", len(w.opened))
	}
}

// stoppingRouter is a Forwarder of a router that is cut off after its first attempt. The first router to which it passes a request on begins
// the answer and then stops, after the silent attempt is lost.
type stoppingRouter struct {
	w         *silentFleet
	forwarded int
}

func (f *stoppingRouter) CutOff(string) bool                       { return len(f.w.opened) > 0 }
func (f *stoppingRouter) CheckCutOff(context.Context, string) bool { return f.CutOff("") }
func (f *stoppingRouter) Forward(ctx context.Context, h Handover) (ForwardedStream, error) {
	f.forwarded++
	s := &joinedStream{head: &okHead}
	if f.forwarded == 1 {
		return lateRouter{s, &lateStream{Stream: s, ctx: ctx, delay: 2 * time.Second, err: &RemoteEnd{Outcome: fleet.Failed, Code: CodeStopping}}}, nil
	}
	for n := h.Request.Opaque.FirstChunk; n <= f.w.chunks; n++ {
		s.parts = append(s.parts, joinedPart{&okHead, backend.Token{Index: n, Text: []byte(chunkText(n)[len(chunkText(n-1)):])}})
	}
	return s, nil
}

type lateRouter struct {
	*joinedStream
	late *lateStream
}

func (s lateRouter) Next() (backend.Token, error) { return s.late.Next() }

// Guards against a stream that is broken off because the router that goes on with it beside a silent attempt stops before its first chunk.
func TestStreamGoesOnAfterARouterThatStopsBeforeItsFirstChunk(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9},
		servers:   []silentServer{{silentAt: 5, silence: time.Second, crash: errBroken}},
	}
	other := &stoppingRouter{w: w}
	w.wire = func(d *Deps) { d.Forwarder = other }
	w.expectComplete(t)
	if other.forwarded != 2 {
		t.Errorf("passed on %d times", other.forwarded)
	}
}

// Guards against a sound stream that can't be taken up or go on because a parameter of its type is malformed.
func TestParametersOfATypeAreIgnored(t *testing.T) {
	for _, stated := range []string{"text/event-stream; charset", "text/event-stream;charset=a;charset=b", "Text/Event-Stream ; x=\""} {
		if got := headOf(200, stated).Form().MediaType; got != backend.EventStream {
			t.Errorf("%q is %q", stated, got)
		}
	}
}
