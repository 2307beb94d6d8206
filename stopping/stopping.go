// Package stopping decides which work a process that stops still begins.
//
// A process that gets a signal to stop has a fixed time until it is killed. Work that it begins and can't end in that time is cut:
// its caller gets no answer, and doesn't know whether a request that may not be repeated has run. Whenever work is about to begin, the
// package compares the time that is left with the time at which the work has ended for certain, and ends what is still open shortly
// before the process does, so that each caller gets a true answer. How long earlier work took is no bound: what follows may take longer.
package stopping

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeondale/clock"
)

// ErrStopping is the cause of the end of work that the process can't end before it is killed.
var ErrStopping = errors.New("the router stops before the request could end")

// Gate knows whether the process stops, and until when. A nil Gate is that of a process that lets all work end. It is safe for
// concurrent use.
type Gate struct {
	// Others returns the other routers that are known; nil if there are none. It is set before the first use.
	Others func() []Router

	mu      sync.Mutex
	end     time.Duration // 0 while the process doesn't stop
	unused  time.Duration // when no new connections arrive any more
	pending map[*waiter]struct{}
}

// waiter is work that may end, or has to begin, before the process stops.
type waiter struct {
	last   func(end time.Duration) time.Duration // when the context ends at the latest
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// New returns the Gate of a process that doesn't stop.
func New() *Gate { return &Gate{pending: map[*waiter]struct{}{}} }

// Begin states that the process stops: load balancers send it no new connections from unused on, and all work has to have ended
// at end. Both are times since the machine's start.
func (g *Gate) Begin(unused, end time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unused, g.end = unused, end
	for w := range g.pending {
		w.start(end)
	}
}

// never is later than any process ends.
const never = 100 * 365 * 24 * time.Hour

// BeginWithoutEnd states that the process stops, and that it isn't known when it is killed. No work begins any more, and what is open
// goes on: it may end before the kill.
func (g *Gate) BeginWithoutEnd(unused time.Duration) {
	g.Begin(unused, never)
}

// MayBegin reports whether work that begins now ends before the process does. endsBy returns when the work has ended in any case, as
// time since the machine's start, or 0 if there is no such time. It is called only if the process stops.
func (g *Gate) MayBegin(endsBy func() time.Duration) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	end := g.end
	g.mu.Unlock()
	return end == 0 || clock.SinceBoot() <= latestBegin(endsBy(), end)
}

// latestBegin returns until when work may begin that has ended by endsBy, if it has to have ended at end; 0 means that it may not.
func latestBegin(endsBy, end time.Duration) time.Duration {
	if endsBy > 0 && endsBy <= end && end != never {
		return end
	}
	return 0
}

// Left returns the time until all work has to have ended, and false if the process doesn't stop.
func (g *Gate) Left() (time.Duration, bool) {
	if g == nil {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.end - clock.SinceBoot(), g.end > 0
}

// UntilEnd returns a context that ends, with ErrStopping as its cause, when all work has to have ended.
func (g *Gate) UntilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	return g.limit(ctx, func(end time.Duration) time.Duration { return end })
}

// UntilLatestBegin returns a context for the wait of work that has not begun. It ends, with ErrStopping as its cause, when
// the work can't begin any more, see MayBegin. endsBy may be called by another goroutine until the context is cancelled.
func (g *Gate) UntilLatestBegin(ctx context.Context, endsBy func() time.Duration) (context.Context, context.CancelFunc) {
	return g.limit(ctx, func(end time.Duration) time.Duration { return latestBegin(endsBy(), end) })
}

func (g *Gate) limit(ctx context.Context, last func(end time.Duration) time.Duration) (context.Context, context.CancelFunc) {
	if g == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	w := &waiter{last: last, cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending[w] = struct{}{}
	if g.end > 0 {
		w.start(g.end)
	}
	return ctx, func() { g.done(w) }
}

func (w *waiter) start(end time.Duration) {
	w.timer = time.AfterFunc(w.last(end)-clock.SinceBoot(), func() { w.cancel(ErrStopping) })
}

func (g *Gate) done(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, w)
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
