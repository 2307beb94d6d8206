package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// pipe is one end of a stream in memory.
type pipe struct {
	in, out chan []byte
	closed  chan struct{} // shared by both ends
	once    *sync.Once
}

func newPipe() (a, b *pipe) {
	x, y := make(chan []byte, 64), make(chan []byte, 64)
	closed, once := make(chan struct{}), &sync.Once{}
	return &pipe{x, y, closed, once}, &pipe{y, x, closed, once}
}

func (p *pipe) Send(ctx context.Context, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return p.SendBytes(ctx, b)
}

func (p *pipe) SendBytes(ctx context.Context, b []byte) error {
	select {
	case <-p.closed:
		return errClosed()
	default:
	}
	select {
	case <-p.closed:
		return errClosed()
	case <-ctx.Done():
		return ctx.Err()
	case p.out <- b:
		return nil
	}
}

func (p *pipe) Receive(ctx context.Context, timeout time.Duration, v any) error {
	b, err := p.ReceiveBytes(ctx, timeout)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}

func (p *pipe) ReceiveBytes(ctx context.Context, timeout time.Duration) ([]byte, error) {
	if timeout == 0 {
		timeout = time.Hour
	}
	select {
	case b := <-p.in:
		return b, nil
	default:
	}
	select {
	case b := <-p.in:
		return b, nil
	case <-p.closed:
		return nil, errClosed()
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(timeout):
		return nil, context.DeadlineExceeded
	}
}

func (p *pipe) Close() { p.once.Do(func() { close(p.closed) }) }

// errClosed is the error of a connection that has closed.
func errClosed() error { return fmt.Errorf("stream closed: %w", io.EOF) }

type runnerFunc func(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result

func (f runnerFunc) Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result {
	return f(ctx, req, sink)
}

// routers are a cut-off router and others, which run requests with runners of their own.
type routers struct {
	*Forwarder
	opened []string
}

func newRouters(runners map[string]runnerFunc) *routers {
	r := &routers{}
	r.Forwarder = New(Config{
		Routers: func(string) ([]Router, int) {
			var out []Router
			for id := range runners {
				out = append(out, Router{ID: id})
			}
			return out, 1
		},
		Open: func(ctx context.Context, to Router) (Conn, error) {
			r.opened = append(r.opened, to.ID)
			run := runners[to.ID]
			if run == nil {
				return nil, errors.New("no such router")
			}
			a, b := newPipe()
			go New(Config{}).Serve(context.WithoutCancel(ctx), "cut", b, run)
			return a, nil
		},
	})
	return r
}

func request(once bool) generation.Handover {
	return generation.Handover{Request: generation.Request{
		ID: "q", Account: "acc", NonIdempotent: once, Forwarded: true,
		Opaque: &generation.Opaque{Opaque: &backend.Opaque{Method: "POST", Target: "/x?y", Host: "h", Body: []byte("body")}, Service: "app", FirstChunk: 3, MaxAttempts: 2},
	}}
}

// answers runs a request and checks that it arrived whole.
func answers(chunks int) runnerFunc {
	return func(_ context.Context, req generation.Request, sink generation.Sink) generation.Result {
		o := req.Opaque
		if !req.Forwarded || string(o.Body) != "body" || o.Target != "/x?y" || o.FirstChunk != 3 || req.Account != "acc" {
			return generation.Result{Outcome: fleet.Failed, Code: "changed"}
		}
		sink.Begin(generation.Position{Backend: "b1"}, &backend.Head{Status: 200, Header: http.Header{"X-Response-Seal": {"s"}}})
		for i := range chunks {
			sink.Token(3+i, fmt.Append(nil, "t", 3+i), "")
		}
		return generation.Result{Outcome: fleet.Complete}
	}
}

func refuses(code string) runnerFunc {
	return func(context.Context, generation.Request, generation.Sink) generation.Result {
		return generation.Result{Outcome: fleet.NotRun, Code: code, RetryAfter: 3 * time.Second}
	}
}

// Guards against an answer that reaches the caller changed or not whole through a second router.
func TestAnswerPassesWhole(t *testing.T) {
	r := newRouters(map[string]runnerFunc{"n2": answers(50)})
	s, err := r.Forward(t.Context(), request(true))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if s.Head().Header.Get("X-Response-Seal") != "s" || s.Origin().Backend != "b1" {
		t.Errorf("head %v, origin %v", s.Head(), s.Origin())
	}
	for i := range 50 {
		tok, err := s.Next()
		if err != nil || tok.Index != 3+i || string(tok.Text) != fmt.Sprint("t", 3+i) {
			t.Fatalf("chunk %d: %v %v", i, tok, err)
		}
	}
	if _, err := s.Next(); err != io.EOF {
		t.Errorf("got %v at the end", err)
	}
}

// Guards against a refusal while another router takes the request, and against a third router.
func TestNextRouterIsAsked(t *testing.T) {
	r := newRouters(map[string]runnerFunc{"n2": refuses(generation.CodeCutOff), "n3": nil, "n4": answers(1)})
	for i := range 3 {
		s, err := r.Forward(t.Context(), request(true))
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		s.Close()
	}
	if len(r.opened) > 5 {
		t.Errorf("asked %v: routers that don't take requests are asked again", r.opened)
	}
}

// Guards against a refusal that sends the caller back at once although the other router is full, and
// against one more router that is overloaded by the same request.
func TestRefusalOfTheOtherRouterCounts(t *testing.T) {
	r := newRouters(map[string]runnerFunc{"n2": refuses("overloaded"), "n3": refuses("overloaded")})
	_, err := r.Forward(t.Context(), request(true))
	end, ok := errors.AsType[*generation.RemoteEnd](err)
	if !ok || end.Outcome != fleet.NotRun || end.RetryAfter != 3*time.Second || len(r.opened) != 1 {
		t.Errorf("got %v after asking %v", err, r.opened)
	}
}

// Guards against a second run of a request whose first run may have begun when the stream to the
// other router was lost.
func TestLostStreamIsNotARefusal(t *testing.T) {
	for name, lose := range map[string]runnerFunc{
		"before the answer": func(context.Context, generation.Request, generation.Sink) generation.Result { panic("ends") },
		"in the answer": func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
			sink.Begin(generation.Position{}, &backend.Head{Status: 200})
			panic("ends")
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Config{
				Routers: func(string) ([]Router, int) { return []Router{{ID: "n2"}, {ID: "n3"}}, 1 },
				Open: func(ctx context.Context, _ Router) (Conn, error) {
					a, b := newPipe()
					go func() {
						defer func() { recover(); b.Close() }()
						New(Config{}).Serve(context.WithoutCancel(ctx), "cut", b, lose)
					}()
					return a, nil
				},
			})
			s, err := f.Forward(t.Context(), request(true))
			if err == nil {
				_, err = s.Next()
				s.Close()
			}
			if !errors.Is(err, backend.ErrBroken) || errors.Is(err, backend.ErrNotSent) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// Guards against an answer that is cut where the other router ends, and counts as whole.
func TestClosedStreamIsNoEndOfTheAnswer(t *testing.T) {
	ends := make(chan struct{})
	f := New(Config{
		Routers: func(string) ([]Router, int) { return []Router{{ID: "n2"}}, 1 },
		Open: func(ctx context.Context, _ Router) (Conn, error) {
			a, b := newPipe()
			go New(Config{}).Serve(context.WithoutCancel(ctx), "cut", b, runnerFunc(func(_ context.Context, _ generation.Request, sink generation.Sink) generation.Result {
				sink.Begin(generation.Position{}, &backend.Head{Status: 200})
				sink.Token(3, []byte("t3"), "")
				<-ends
				b.Close()
				return generation.Result{Outcome: fleet.Failed}
			}))
			return a, nil
		},
	})
	s, err := f.Forward(t.Context(), request(false))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	close(ends)
	if _, err := s.Next(); errors.Is(err, io.EOF) || !errors.Is(err, backend.ErrBroken) {
		t.Errorf("got %v", err)
	}
}

// Guards against a run that goes on at the other router after the caller has left.
func TestRunEndsWithTheCaller(t *testing.T) {
	ended := make(chan struct{})
	r := newRouters(map[string]runnerFunc{"n2": func(ctx context.Context, _ generation.Request, sink generation.Sink) generation.Result {
		sink.Begin(generation.Position{}, &backend.Head{Status: 200})
		<-ctx.Done()
		close(ended)
		return generation.Result{Outcome: fleet.Failed}
	}})
	s, err := r.Forward(t.Context(), request(false))
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	<-ended
	if open := r.Open(); len(open) != 0 {
		t.Errorf("still counted: %v", open)
	}
}

// Guards against a zone whose routers are nearly all cut off overloading the few others, and against
// load that is spread unevenly over those that help.
func TestLoadIsSpread(t *testing.T) {
	for _, c := range []struct{ near, far, cutOffNear, most int }{
		{near: 3, far: 6, cutOffNear: 1, most: 40},  // the near ones take it
		{near: 1, far: 6, cutOffNear: 3, most: 30},  // all take it
		{near: 0, far: 1, cutOffNear: 6, most: 100}, // one router takes requests
		{near: 0, far: 150, cutOffNear: 150, most: 3},
	} {
		ch := newChooser("d0")
		var all []Router
		for i := range c.near + c.far {
			r := Router{ID: fmt.Sprint("n", i), FailureDomain: "d1"}
			if i < c.near {
				r.FailureDomain = "d0"
			}
			all = append(all, r)
		}
		for range 100 {
			if _, _, ok := ch.choose("s", all, c.cutOffNear, nil, time.Now()); !ok {
				t.Fatal("no router")
			}
		}
		for id, n := range ch.counts() {
			if n > c.most {
				t.Errorf("%+v: %d of 100 requests at %s", c, n, id)
			}
		}
	}
}

// Guards against bodies of other routers' requests that fill the memory.
func TestBodiesAreBounded(t *testing.T) {
	f := New(Config{})
	f.takenBytes.take(maxTakenBytes)
	a, b := newPipe()
	go f.Serve(t.Context(), "cut", b, answers(1))
	start, _ := encode(request(true), 0, true)
	a.Send(t.Context(), start)
	var m answerMessage
	if err := a.Receive(t.Context(), 0, &m); err != nil || m.Kind != answerEnd || m.Outcome != fleet.NotRun || m.Code != codeBusy {
		t.Errorf("got %+v, %v", m, err)
	}
}
