package forward

import (
	"context"
	"sync"
	"time"

	"wigeondale/backend"
	"wigeondale/bounded"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
)

const (
	// maxTakenBytes is the default of Config.TakenBytes.
	maxTakenBytes = 16 << 20
	// startTimeout bounds the wait for the request on an accepted stream.
	startTimeout = 2 * time.Second
	// endTimeout bounds the sending of the last message to a router that does not read.
	endTimeout = 10 * time.Second
)

// Codes of requests that this router did not take. None of them has run.
const (
	codeBusy     = "router_busy"     // requests of other routers have as much memory as they may
	codeOutdated = "router_outdated" // by its configuration the request must not run
	codeInvalid  = "invalid_request" // the message is malformed
)

// Runner runs one request, implemented by *generation.Runner.
type Runner interface {
	Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result
}

// Serve receives a request that the router from passes on, runs it, and sends its answer. The run
// ends when the stream closes.
func (f *Forwarder) Serve(ctx context.Context, from string, conn Conn, runner Runner) {
	f.serving.Add(1)
	defer f.serving.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var m startMessage
	if err := conn.Receive(ctx, startTimeout, &m); err != nil {
		return // the other router has ended the stream or doesn't send: nothing has run
	}
	res, took := f.serve(ctx, cancel, conn, from, &m, runner)
	f.cfg.Log.Emit(event.RequestTakenOver, "request", m.ID, "from", from, "outcome", string(res.Outcome), "code", res.Code,
		"pieces", res.Tokens, "took_ms", took.Milliseconds())
	end := answerMessage{Kind: answerEnd, Outcome: res.Outcome, Code: res.Code, RetryAfterMS: res.RetryAfter.Milliseconds()}
	endCtx, stop := context.WithTimeout(ctx, endTimeout)
	defer stop()
	// If the message is lost, the other router notices the end of the stream.
	_ = conn.Send(endCtx, end)
}

// drainPoll is how often Drain checks whether the requests of other routers have ended.
const drainPoll = 20 * time.Millisecond

// Drain waits until all requests of other routers have ended, or ctx has.
func (f *Forwarder) Drain(ctx context.Context) {
	for f.serving.Load() > 0 && clock.Sleep(ctx, drainPoll) {
	}
}

// serve runs one request, and returns its result and how long it took.
func (f *Forwarder) serve(ctx context.Context, cancel context.CancelCauseFunc, conn Conn, from string, m *startMessage, runner Runner) (generation.Result, time.Duration) {
	startedAt := time.Now()
	if !m.valid() {
		return f.reject(codeInvalid), 0
	}
	taken := m.memory()
	if !f.takenBytes.take(taken) {
		return f.reject(codeBusy), 0
	}
	defer f.takenBytes.give(taken)
	var body []byte
	if m.BodyBytes > 0 {
		var err error
		if body, err = conn.ReceiveBytes(ctx, startTimeout); err != nil || len(body) != m.BodyBytes {
			return f.reject(codeInvalid), 0
		}
	}
	req := m.request(body)
	f.derivePriority(&req)
	if err := f.cfg.Check(&req, m.Version); err != nil {
		return f.reject(codeOutdated), 0
	}
	f.meters.takenOver.Inc()
	go watchClose(ctx, conn, cancel)
	stopAlive := keepAlive(ctx, conn)
	defer stopAlive()
	res := runner.Run(ctx, req, &remoteSink{ctx: ctx, conn: conn, from: from, answers: f.cfg.Answers})
	return res, time.Since(startedAt)
}

func (f *Forwarder) reject(code string) generation.Result {
	f.meters.rejected.Inc()
	return generation.Result{Outcome: fleet.NotRun, Code: code}
}

// watchClose cancels the run when the other router closes the stream, which it does when the
// caller has left.
func watchClose(ctx context.Context, conn Conn, cancel context.CancelCauseFunc) {
	_, err := conn.ReceiveBytes(ctx, 0)
	if err == nil {
		err = Error.New("a message after the request")
	}
	cancel(err)
}

// keepAlive tells the other router at intervals that the request is in progress, until the returned
// function is called.
func keepAlive(ctx context.Context, conn Conn) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() {
		tick := time.NewTicker(aliveInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			if conn.Send(context.WithoutCancel(ctx), answerMessage{Kind: answerAlive}) != nil {
				return // the run notices the end of the stream by itself
			}
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// remoteSink sends an answer to the router that passed the request on. It implements
// generation.Sink.
type remoteSink struct {
	ctx     context.Context
	conn    Conn
	from    string // the other router
	answers *bounded.Pool
}

// Begin implements generation.Sink.
func (s *remoteSink) Begin(p generation.Position, head *backend.Head) error {
	m := answerMessage{Kind: answerBegin, Backend: p.Backend, Incarnation: p.Incarnation, Attempt: p.Attempt, Software: p.Software}
	if head != nil {
		m.Status, m.Header = head.Status, head.Header
	}
	return s.conn.Send(s.ctx, m)
}

// Token implements generation.Sink.
func (s *remoteSink) Token(index int, text []byte, finish string) error {
	held := s.answers.Hold(s.from) // the encoded message
	defer held.Close()
	if err := held.Grow(s.ctx, int64(len(text))); err != nil {
		return err
	}
	return s.conn.Send(s.ctx, answerMessage{Kind: answerToken, Index: index, Text: text, Finish: finish})
}

// Flush implements generation.Sink. Each message is sent at once.
func (s *remoteSink) Flush() error { return nil }

// byteBudget counts bytes that are in use. It is safe for concurrent use.
type byteBudget struct {
	most int64

	mu   sync.Mutex
	used int64
}

// take reserves n bytes, and reports false if so many are not free. If none is in use, any number is free.
func (b *byteBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && b.used+n > b.most {
		return false
	}
	b.used += n
	return true
}

func (b *byteBudget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

func (f *Forwarder) derivePriority(req *generation.Request) {
	if req.Opaque == nil || f.cfg.Priority == nil {
		return
	}
	if p, known := f.cfg.Priority(req.Opaque.Service, req.Opaque.Route, req.Account); known {
		req.Opaque.Urgency = p
	}
}
