package hedge

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"
)

// ErrOtherAnswered is the cause with which a try's context ends when the other try
// answered first.
var ErrOtherAnswered = errors.New("the other try answered first")

// Call is one call that may be hedged.
type Call[T any] struct {
	Pool       string
	Idempotent bool
	// Try sends the call; second tells that it must go to another backend
	// server than the first. It is called at most twice, possibly at once. Its
	// answer may still be read until release was called or ctx ends.
	Try func(ctx context.Context, second bool) (T, error)
	// HasOther tells whether there is another backend server for a second try.
	HasOther func() bool
	// Discard disposes of an answer that nobody waits for.
	Discard func(T)
}

// outcome is what one try came to.
type outcome[T any] struct {
	value  T
	err    error
	second bool
}

// race holds the tries of one call.
type race[T any] struct {
	h       *Hedger
	call    Call[T]
	ctx     context.Context
	results chan outcome[T]
	cancel  [2]context.CancelCauseFunc
	open    int
}

// Do makes the call and returns the first answer; the other try is cancelled.
// An error is that of the first try, when both failed. release ends the
// winner's context: call it once the answer was read.
func Do[T any](ctx context.Context, h *Hedger, call Call[T]) (value T, release func(), err error) {
	if call.Idempotent {
		h.budget.First()
	}
	began := time.Now()
	delay, may := h.Delay(call.Pool, call.Idempotent)
	if may {
		value, release, err = hedged(ctx, h, call, delay)
	} else {
		value, release, err = unhedged(ctx, call)
	}
	if err == nil && call.Idempotent {
		h.Observe(call.Pool, time.Since(began), time.Now())
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
	got := r.first(delay)
	winner := index(got.second)
	r.stop(1-winner, ErrOtherAnswered)
	if got.err != nil {
		r.stop(winner, nil)
		return got.value, func() {}, got.err
	}
	if got.second {
		h.won.Inc()
	}
	if r.open > 0 {
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
	r.open++
	go func() {
		v, err := r.try(ctx, second)
		r.results <- outcome[T]{v, err, second}
	}()
}

// try makes one try. It runs on a goroutine of its own, where a panic would end the router.
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

// first waits for the first answer, or for the failure of all tries. A first
// try that fails before the delay is over is not hedged: that is a retry, for
// the caller of Do to decide.
func (r *race[T]) first(delay time.Duration) outcome[T] {
	t := time.NewTimer(delay)
	defer t.Stop()
	late := t.C
	var failed *outcome[T]
	for {
		select {
		case <-late:
			late = nil
			r.hedge()
		case got := <-r.results:
			r.open--
			if got.err == nil {
				return got
			}
			late = nil
			if failed == nil || !got.second {
				failed = &got
			}
			if r.open == 0 {
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

// drain disposes of the loser's answer, which may have come all the same.
func (r *race[T]) drain() {
	for ; r.open > 0; r.open-- {
		if got := <-r.results; got.err == nil {
			r.call.Discard(got.value)
		}
	}
}
