package kvtest

import (
	"context"
	"sync"

	"wigeondale/infra"
)

// Fault is what becomes of a held call.
type Fault int

// The faults that Release plays.
const (
	OK         Fault = iota // applied and answered
	Refused                 // not applied, ErrUnavailable
	AnswerLost              // applied, ErrUnknownOutcome
	Delayed                 // ErrUnknownOutcome now; Land applies it later
	Paused                  // applied now, answered by a later Release
	FaultCount
)

// Controller holds the calls of its clients until they are released.
type Controller struct {
	Store *Store

	mu      sync.Mutex
	held    []*heldCall
	delayed []func()
}

type heldCall struct {
	write   bool
	apply   func()
	applied bool
	answer  chan error
}

// NewController returns a bench over an empty store.
func NewController() *Controller { return &Controller{Store: New()} }

// Blocked returns how many calls wait.
func (b *Controller) Blocked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held)
}

// DelayedWrites returns how many delayed writes may still land.
func (b *Controller) DelayedWrites() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.delayed)
}

// ApplyDelayed applies the i-th delayed write, counted around; none is no effect.
func (b *Controller) ApplyDelayed(i int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.delayed) == 0 {
		return
	}
	i %= len(b.delayed)
	b.delayed[i]()
	b.delayed = append(b.delayed[:i], b.delayed[i+1:]...)
}

// Release lets the i-th held call go, counted around; none is no effect.
func (b *Controller) Release(i int, f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.held) == 0 {
		return
	}
	i %= len(b.held)
	c := b.held[i]
	if f == Paused && !c.applied {
		c.apply()
		c.applied = true
		return
	}
	b.held = append(b.held[:i], b.held[i+1:]...)
	c.answer <- b.play(c, f)
}

func (b *Controller) play(c *heldCall, f Fault) error {
	if f == Refused && c.applied {
		f = AnswerLost
	}
	if !c.applied && f != Refused && f != Delayed {
		c.apply()
	}
	switch {
	case f == OK || f == Paused:
		return nil
	case f == Refused || !c.write:
		return infra.ErrUnavailable
	case f == Delayed && !c.applied:
		b.delayed = append(b.delayed, c.apply)
	}
	return infra.ErrUnknownOutcome
}

// Client is one process's access to the benchmark's store.
type Client struct {
	*Store
	controller *Controller
}

// Client returns a client whose calls are held, watches apart.
func (b *Controller) Client() *Client { return &Client{Store: b.Store, controller: b} }

// hold waits for a release. A call whose ctx ends is abandoned: if it was a
// write, it may still land.
func (c *Client) hold(ctx context.Context, write bool, apply func()) error {
	call := &heldCall{write: write, apply: apply, answer: make(chan error, 1)}
	b := c.controller
	b.mu.Lock()
	b.held = append(b.held, call)
	b.mu.Unlock()
	select {
	case err := <-call.answer:
		return err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, h := range b.held {
		if h == call {
			b.held = append(b.held[:i], b.held[i+1:]...)
			return b.play(call, Delayed)
		}
	}
	return <-call.answer
}

// Get is held, then reads.
func (c *Client) Get(ctx context.Context, key string) (v infra.Value, ok bool, err error) {
	var got infra.Value
	var found bool
	err = c.hold(ctx, false, func() { got, found, _ = c.Store.Get(ctx, key) })
	if err != nil {
		return v, false, err
	}
	return got, found, nil
}

// Range is held, then reads.
func (c *Client) Range(ctx context.Context, from, end string, limit int) ([]infra.Value, error) {
	var got []infra.Value
	err := c.hold(ctx, false, func() { got, _ = c.Store.Range(ctx, from, end, limit) })
	if err != nil {
		return nil, err
	}
	return got, nil
}

// Create is held, then writes.
func (c *Client) Create(ctx context.Context, key string, data []byte) (bool, infra.Value, error) {
	return c.CompareAndSwap(ctx, key, 0, data)
}

// CompareAndSwap is held, then writes.
func (c *Client) CompareAndSwap(ctx context.Context, key string, rev int64, data []byte) (bool, infra.Value, error) {
	type result struct {
		ok bool
		v  infra.Value
	}
	got := new(result)
	err := c.hold(ctx, true, func() { got.ok, got.v, _ = c.Store.CompareAndSwap(ctx, key, rev, data) })
	if err != nil {
		return false, infra.Value{}, err
	}
	return got.ok, got.v, nil
}

// Put is held, then writes.
func (c *Client) Put(ctx context.Context, key string, data []byte, _ infra.LeaseID) error {
	return c.hold(ctx, true, func() { _ = c.Store.Put(ctx, key, data, 0) })
}

// Delete is held, then writes.
func (c *Client) Delete(ctx context.Context, key string) error {
	return c.hold(ctx, true, func() { _ = c.Store.Delete(ctx, key) })
}

// DeleteRange is held, then writes.
func (c *Client) DeleteRange(ctx context.Context, from, end string) error {
	return c.hold(ctx, true, func() { _ = c.Store.DeleteRange(ctx, from, end) })
}
