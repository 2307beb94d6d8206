package admission

import (
	"time"

	"wigeondale/schedule"
)

// Charge charges a client account for a request that was served without waiting in the queue.
func (l *WaitQueue) Charge(r schedule.Item, now time.Time) *Charge {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares == nil {
		return nil
	}
	r.Priority = schedule.Priority(r.Priority)
	l.shares.Join(&r, now)
	l.sorted = false
	return l.charge(&r, now)
}

func (l *WaitQueue) charge(it *schedule.Item, now time.Time) *Charge {
	if l.shares == nil {
		return nil
	}
	return &Charge{queue: l, charge: l.shares.Grant(it, now)}
}

// Charge is what a client account was charged for one grant.
type Charge struct {
	queue  *WaitQueue
	charge *schedule.Charge
}

// Settle replaces the expected cost by the real one. Further calls do nothing.
func (c *Charge) Settle(actual float64) {
	if c == nil {
		return
	}
	c.queue.mu.Lock()
	defer c.queue.mu.Unlock()
	c.charge.Settle(actual)
	c.queue.sorted = false
}

// OverShare reports whether the client account of a request has used more than its share.
func (l *WaitQueue) OverShare(r schedule.Item, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Priority = schedule.Priority(r.Priority)
	return l.shares != nil && l.shares.OverShare(&r, now)
}

// Used returns what a client account has used at a priority beyond the account that was served last, by cost and weight.
func (l *WaitQueue) Used(priority int, account string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares == nil {
		return 0
	}
	return l.shares.Lead(priority, account, now)
}
