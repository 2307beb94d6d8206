package hedge

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"
)

// ErrOtherAnswered is the cause with which the context of a try is cancelled when the other
// try answered first.
var ErrOtherAnswered = errors.New("the other try answered first")

// Call is one call that may be hedged.
type Call[T any] struct {
	Pool       string
	Idempotent bool
	// Try sends the call. second is true if the call must go to another backend server than
	// the first try. Try is called at most twice, possibly concurrently. The answer that it
	// returns may be read until release is called or ctx ends.
	Try func(ctx context.Context, second bool) (T, error)
	// HasOther reports whether there is another backend server for a second try.
	HasOther func() bool
	// Discard disposes of an answer that is not used.
	Discard func(T)
}

// outcome is the result of one try.
type outcome[T any] struct {
	value  T
	err    error
	second bool
}

// race holds the state of the tries of one call.
type race[T any] struct {
	h       *Hedger
	call    Call[T]
	ctx     context.Context
	results chan outcome[T]
	cancel  [2]context.CancelCauseFunc
	pending int
}

// Do makes the call and returns the first answer; the other try is cancelled. If both
// tries fail, err is the error of the first try. release cancels the context of the try
// that answered first: the caller must call release when it has read the answer.
func Do[T any](ctx context.Context, h *Hedger, call Call[T]) (value T, release func(), err error) {
	if call.Idempotent {
		h.budget.First()
	}
	startedAt := time.Now()
	delay, mayHedge := h.Delay(call.Pool, call.Idempotent)
	if mayHedge {
		value, release, err = hedged(ctx, h, call, delay)
	} else {
		value, release, err = unhedged(ctx, call)
	}
	if err == nil && call.Idempotent {
		h.Observe(call.Pool, time.Since(startedAt), time.Now())
	}
	return value, release, err
}

func unhedged[T any](ctx context.Context, call Call[T]) (T, func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	v, err := call.Try(ctx, false)
	if err != nil {
		cancel()
	}
	return v, cancel, err
}

func hedged[T any](ctx context.Context, h *Hedger, call Call[T], delay time.Duration) (T, func(), error) {
	r := &race[T]{h: h, call: call, ctx: ctx, results: make(chan outcome[T], 2)}
	r.start(false)
	got := r.firstResult(delay)
	winner := index(got.second)
	r.stop(1-winner, ErrOtherAnswered)
	if got.err != nil {
		r.stop(winner, nil)
		return got.value, func() {}, got.err
	}
	if got.second {
		h.won.Inc()
	}
	if r.pending > 0 {
		go r.drain()
	}
	return got.value, func() { r.stop(winner, nil) }, nil
}

func index(second bool) int {
	if second {
		return 1
	}
	return 0
}

func (r *race[T]) start(second bool) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.cancel[index(second)] = cancel
	r.pending++
	go func() {
		v, err := r.try(ctx, second)
		r.results <- outcome[T]{v, err, second}
	}()
}

// try makes one try and returns a panic as an error: a try runs in its own goroutine, where a
// panic would end the router process.
func (r *race[T]) try(ctx context.Context, second bool) (v T, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("hedge: the try panicked: %v\n%s", p, debug.Stack())
		}
	}()
	return r.call.Try(ctx, second)
}

func (r *race[T]) stop(i int, cause error) {
	if r.cancel[i] != nil {
		r.cancel[i](cause)
	}
}

// firstResult waits for the first answer, or for the failure of all tries. If the first try
// fails before the delay is over, no second try is sent: a try after a failure would be a
// retry, and the caller of Do has to decide whether to retry.
func (r *race[T]) firstResult(delay time.Duration) outcome[T] {
	t := time.NewTimer(delay)
	defer t.Stop()
	hedgeTimer := t.C
	var failed *outcome[T]
	for {
		select {
		case <-hedgeTimer:
			hedgeTimer = nil
			r.hedge()
		case got := <-r.results:
			r.pending--
			if got.err == nil {
				return got
			}
			hedgeTimer = nil
			if failed == nil || !got.second {
				failed = &got
			}
			if r.pending == 0 {
				return *failed
			}
		}
	}
}

func (r *race[T]) hedge() {
	if !r.call.HasOther() {
		return
	}
	if !r.h.budget.Take() {
		r.h.denied.Inc()
		return
	}
	r.h.sent.Inc()
	r.start(true)
}

// drain waits for the slower try and discards its answer, in case the try answered despite
// its cancellation.
func (r *race[T]) drain() {
	for ; r.pending > 0; r.pending-- {
		if got := <-r.results; got.err == nil {
			r.call.Discard(got.value)
		}
	}
}
