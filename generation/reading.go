package generation

import (
	"context"
	"sync"

	"wigeondale/backend"
)

// reading opens the stream of an attempt and reads it in a goroutine of its own, so that a run can wait for an
// attempt and for something else at the same time.
type reading struct {
	results chan readResult // holds one
	wanted  chan struct{}   // holds one: the run wants the next token

	mu   sync.Mutex // held while a result is delivered, so that wake is called for results after interrupt only
	wake context.CancelCauseFunc
}

// readResult is the stream of an answer that has begun, its next token, or the error with which it ends.
type readResult struct {
	stream Stream
	token  backend.Token
	err    error
}

// errDelivers is the cause with which a search is interrupted when the kept attempt delivers or ends.
var errDelivers = Error.New("the silent attempt delivers or has ended")

// begin opens the stream of the attempt in the background. The first result is the stream.
func (a *attempt) begin(open func() (Stream, error)) {
	r := &reading{results: make(chan readResult, 1), wanted: make(chan struct{}, 1)}
	a.reading, a.awaitsResult = r, true
	go r.run(a.ctx, open)
}

// run ends with ctx, and then closes the stream.
func (r *reading) run(ctx context.Context, open func() (Stream, error)) {
	s, err := open()
	if err != nil {
		r.deliver(readResult{err: err})
		return
	}
	defer s.Close()
	r.deliver(readResult{stream: s})
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wanted:
		}
		t, err := s.Next()
		r.deliver(readResult{token: t, err: err})
	}
}

func (r *reading) deliver(res readResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results <- res
	if r.wake != nil {
		r.wake(errDelivers)
	}
}

// interrupt has wake called when the next result is there, or never again if wake is nil.
func (r *reading) interrupt(wake context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake = wake
	if wake != nil && len(r.results) > 0 {
		wake(errDelivers)
	}
}

// next returns the next token of the stream, or the cause with which the failure detector reports that the
// attempt is silent.
func (a *attempt) next() (t backend.Token, err error, silence error) {
	if r := a.early; r != nil {
		a.early = nil
		return r.token, r.err, nil
	}
	if !a.awaitsResult {
		if a.stream.Buffered() {
			t, err = a.stream.Next()
			return t, err, nil
		}
		a.reading.wanted <- struct{}{}
		a.awaitsResult = true
	}
	r, silence := a.awaitResult()
	return r.token, r.err, silence
}

// awaitResult waits for a result of the attempt, for a report of its silence, or for its end. The result goes first.
func (a *attempt) awaitResult() (readResult, error) {
	select {
	case r := <-a.reading.results:
		a.awaitsResult = false
		return r, nil
	default:
	}
	select {
	case r := <-a.reading.results:
		a.awaitsResult = false
		return r, nil
	case silence := <-a.silent:
		return readResult{}, silence
	case <-a.ctx.Done():
		return readResult{err: Error.New("%w: %w", backend.ErrBroken, context.Cause(a.ctx))}, nil
	}
}
