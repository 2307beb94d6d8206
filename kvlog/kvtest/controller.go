package kvtest

import (
	"context"
	"sync"

	"wigeondale/fleet"
	"wigeondale/infra"
)

// Fault is the outcome that a test chooses for a blocked call: whether the call is applied,
// and whether its caller gets the answer.
type Fault int

// Outcomes of a blocked call that a test can choose.
const (
	OK         Fault = iota // applied and answered
	Refused                 // not applied, returns ErrUnavailable
	AnswerLost              // applied, returns ErrUnknownOutcome
	Delayed                 // returns ErrUnknownOutcome now; the test applies it later
	Paused                  // applied now, returns when released again
	FaultCount
)

// Controller blocks the calls of its clients until a test releases them, each with a fault.
type Controller struct {
	Store *Store

	mu      sync.Mutex
	blocked []*blockedCall
	delayed []func()
}

type blockedCall struct {
	write   bool
	apply   func()
	applied bool
	answer  chan error
}

// NewController returns a Controller with an empty store.
func NewController() *Controller { return &Controller{Store: New()} }

// Blocked returns the number of calls that wait for a Release.
func (b *Controller) Blocked() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.blocked)
}

// DelayedWrites returns the number of delayed writes that can still take effect.
func (b *Controller) DelayedWrites() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.delayed)
}

// ApplyDelayed applies the i-th delayed write, with i modulo the number of delayed writes.
// It does nothing if there is no delayed write.
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

// Release completes the i-th blocked call with fault f, with i modulo the number of blocked
// calls. It does nothing if there is no blocked call.
func (b *Controller) Release(i int, f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.blocked) == 0 {
		return
	}
	i %= len(b.blocked)
	c := b.blocked[i]
	if f == Paused && !c.applied {
		c.apply()
		c.applied = true
		return
	}
	b.blocked = append(b.blocked[:i], b.blocked[i+1:]...)
	c.answer <- b.complete(c, f)
}

func (b *Controller) complete(c *blockedCall, f Fault) error {
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

// Client is the access of one process to the store.
type Client struct {
	*Store
	controller *Controller
}

// Client returns a client whose calls block until they are released, except watches.
func (b *Controller) Client() *Client { return &Client{Store: b.Store, controller: b} }

// waitForRelease blocks until the call is released. A call whose ctx ends is abandoned;
// if it is a write, it may still take effect later.
func (c *Client) waitForRelease(ctx context.Context, write bool, apply func()) error {
	call := &blockedCall{write: write, apply: apply, answer: make(chan error, 1)}
	b := c.controller
	b.mu.Lock()
	b.blocked = append(b.blocked, call)
	b.mu.Unlock()
	select {
	case err := <-call.answer:
		return err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, h := range b.blocked {
		if h == call {
			b.blocked = append(b.blocked[:i], b.blocked[i+1:]...)
			return b.complete(call, Delayed)
		}
	}
	return <-call.answer
}

// Get blocks until the call is released, then reads.
func (c *Client) Get(ctx context.Context, key string) (v infra.Value, ok bool, err error) {
	var got infra.Value
	var found bool
	err = c.waitForRelease(ctx, false, func() { got, found, _ = c.Store.Get(ctx, key) })
	if err != nil {
		return v, false, err
	}
	return got, found, nil
}

// Range blocks until the call is released, then reads.
func (c *Client) Range(ctx context.Context, from, end string, limit int) ([]infra.Value, error) {
	var got []infra.Value
	err := c.waitForRelease(ctx, false, func() { got, _ = c.Store.Range(ctx, from, end, limit) })
	if err != nil {
		return nil, err
	}
	return got, nil
}

// Create blocks until the call is released, then writes.
func (c *Client) Create(ctx context.Context, key string, data []byte) (bool, infra.Value, error) {
	return c.CompareAndSwap(ctx, key, 0, data)
}

// CompareAndSwap blocks until the call is released, then writes.
func (c *Client) CompareAndSwap(ctx context.Context, key string, rev fleet.Revision, data []byte) (bool, infra.Value, error) {
	type result struct {
		ok bool
		v  infra.Value
	}
	got := new(result)
	err := c.waitForRelease(ctx, true, func() { got.ok, got.v, _ = c.Store.CompareAndSwap(ctx, key, rev, data) })
	if err != nil {
		return false, infra.Value{}, err
	}
	return got.ok, got.v, nil
}

// Put blocks until the call is released, then writes.
func (c *Client) Put(ctx context.Context, key string, data []byte, _ infra.LeaseID) error {
	return c.waitForRelease(ctx, true, func() { _ = c.Store.Put(ctx, key, data, 0) })
}

// Delete blocks until the call is released, then writes.
func (c *Client) Delete(ctx context.Context, key string) error {
	return c.waitForRelease(ctx, true, func() { _ = c.Store.Delete(ctx, key) })
}

// DeleteRange blocks until the call is released, then writes.
func (c *Client) DeleteRange(ctx context.Context, from, end string) error {
	return c.waitForRelease(ctx, true, func() { _ = c.Store.DeleteRange(ctx, from, end) })
}
