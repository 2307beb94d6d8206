package quarantine

import (
	"context"
	"time"
)

// Submission is one try of a request. A nil Case is of a request that nobody follows.
type Submission struct {
	guard   *Guard
	digest  Digest
	account string
	try     uint64 // names it among the tries of the request
}

// DigestString is the digest of the request, empty if nobody follows it.
func (c *Submission) DigestString() string {
	if c == nil {
		return ""
	}
	return c.digest.String()
}

// Refusal is why the request must not be sent now, nil if it may. It waits while that is
// about to be decided.
func (c *Submission) Refusal(ctx context.Context) error {
	if c == nil || !c.guard.some.Load() {
		return nil
	}
	for {
		held, ruled := c.guard.ruling(c.digest)
		switch {
		case held:
			c.guard.m.refused.Inc()
			return ErrQuarantined
		case ruled == nil:
			return nil
		}
		select {
		case <-ruled:
		case <-ctx.Done():
			return nil // its end is for the caller to tell
		}
	}
}

// Suspected tells whether one more crash may have the request held back.
func (c *Submission) Suspected() bool {
	if c == nil || !c.guard.some.Load() {
		return false
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.book.Suspected(c.digest, c.guard.cfg.Now())
}

// Lost takes in that an attempt was lost. It finds out beside the request whether the
// backend server has crashed. The channel is closed when that is known.
func (c *Submission) Lost(l Loss) (known <-chan struct{}) {
	done := make(chan struct{})
	if c == nil || c.guard.cfg.Leaving(l.Backend.ID) {
		close(done)
		return done
	}
	l.lifetime, l.at = c.guard.cfg.Incarnation(l.Backend), c.guard.cfg.Now()
	go func() {
		defer close(done)
		c.guard.examine(c, l)
	}()
	return done
}

// awaitLoss bounds the wait for what a loss was. A backend server that crashed refuses
// connections at once.
const awaitLoss = 250 * time.Millisecond

// AwaitExamination waits, before a request that may be what ended its backend servers is sent on, until
// it is known whether the last one ended too. Others don't wait.
func (c *Submission) AwaitExamination(ctx context.Context, known <-chan struct{}) {
	if known == nil || !c.Suspected() {
		return
	}
	t := time.NewTimer(awaitLoss)
	defer t.Stop()
	select {
	case <-known:
	case <-ctx.Done():
	case <-t.C:
	}
}

// PastEarlyWindow tells whether a run has lived long enough past its first piece to show that the
// request doesn't crash its backend server.
func PastEarlyWindow(sinceFirst time.Duration) bool { return sinceFirst >= opening }

// Answered takes in that the request was answered whole, or that a run has outlived its
// opening.
func (c *Submission) Answered() {
	if c != nil {
		c.guard.answered(c.digest, c.guard.cfg.Now())
	}
}
