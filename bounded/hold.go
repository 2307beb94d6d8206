package bounded

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Hold is the memory of one message. A nil Hold has no bound.
type Hold struct {
	pool   *Pool
	sender string
	number uint64
	bytes  int64
	closed bool

	input   Input
	arrival arrival
	dropped bool // it was given up
	waits   bool // for memory, so that its sender can't make progress
}

// Input configures the Hold of a message that its sender may leave incomplete.
type Input struct {
	// MaxWait is how long one wait for memory may take; 0: as long as the context allows.
	MaxWait time.Duration
	// GiveUp is called once, on a goroutine of its own, when the message is given up. It makes the reader of the message stop and close
	// the Hold.
	GiveUp func()
	// OnWait, if set, is called before each wait for memory.
	OnWait func()
}

// Grow adds n bytes. It waits until they are free or ctx ends.
func (h *Hold) Grow(ctx context.Context, n int64) error {
	if h == nil {
		return nil
	}
	p := h.pool
	p.mu.Lock()
	switch {
	case h.dropped:
		p.mu.Unlock()
		return Error.Wrap(ErrGivenUp)
	case h.closed:
		p.mu.Unlock()
		return Error.New("the message was closed")
	case p.fits(h, n) && !p.isOvertaking(h, n):
		p.add(h, n)
		p.mu.Unlock()
		return nil
	}
	g := &growth{hold: h, bytes: n, done: make(chan error, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, g, func(a, b *growth) int { return cmp.Compare(a.hold.number, b.hold.number) })
	p.waiting = slices.Insert(p.waiting, at, g)
	h.waits = true
	p.reclaim(h, n)
	p.serve()
	p.mu.Unlock()
	if h.input.OnWait != nil {
		h.input.OnWait()
	}
	if h.input.MaxWait > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, h.input.MaxWait)
		defer stop()
	}
	return p.await(ctx, g)
}

// TryGrow adds n bytes if they are free.
func (h *Hold) TryGrow(n int64) bool {
	if h == nil {
		return true
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.dropped || h.closed || !p.fits(h, n) || p.isOvertaking(h, n) {
		return false
	}
	p.add(h, n)
	return true
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if !h.closed {
		h.pool.add(h, -n)
		h.pool.serve()
	}
}

// Close gives all bytes back. Further calls do nothing.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(p.incomplete, h)
	p.add(h, -h.bytes)
	p.waiting = slices.DeleteFunc(p.waiting, func(g *growth) bool {
		if g.hold != h {
			return false
		}
		g.done <- Error.New("the message was given up")
		return true
	})
	if p.oldest == h {
		p.oldest = nil
	}
	p.serve()
}

// Endless states that the message is longer than a message may be. Others of the same sender that wait for memory are given up:
// they would each be read to that length before the ones of sound senders that came later.
func (h *Hold) Endless() {
	if h == nil {
		return
	}
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = slices.DeleteFunc(p.waiting, func(g *growth) bool {
		if h.sender == "" || g.hold.sender != h.sender || g.hold == h {
			return false
		}
		g.done <- Error.Wrap(ErrEndless)
		return true
	})
}

// SetAtLeast grows to n bytes, unless there are as many.
func (h *Hold) SetAtLeast(ctx context.Context, n int64) error {
	if h == nil {
		return nil
	}
	h.pool.mu.Lock()
	missing := n - h.bytes
	h.pool.mu.Unlock()
	if missing <= 0 {
		return nil
	}
	return h.Grow(ctx, missing)
}

// Received records that n bytes of the message have arrived.
func (h *Hold) Received(n int64) {
	if h == nil || n == 0 {
		return
	}
	now := time.Now()
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.arrival.add(n, now)
}

// Complete states that the whole message has arrived. It is not given up from now on. Complete reports false if it was given up before.
func (h *Hold) Complete() bool {
	if h == nil {
		return true
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	delete(h.pool.incomplete, h)
	return !h.dropped
}

// GivenUp reports whether the message was given up.
func (h *Hold) GivenUp() bool {
	if h == nil {
		return false
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.dropped
}

// Progress returns the recent share of the message, from 0 to 1, or 1 if it is complete or waits for memory.
func (h *Hold) Progress(now time.Time) float64 {
	if h == nil {
		return 1
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if _, ok := h.pool.incomplete[h]; !ok || h.waits {
		return 1
	}
	return h.arrival.progress(now)
}
