package admission

import (
	"context"
	"time"
)

// wait blocks until the ticket is admitted or refused, and returns nil if it is admitted. A
// waiting ticket is refused in four cases: the time left until its deadline no longer
// suffices, its pool has been without capacity for too long, the full queue drops the ticket,
// or ctx ends.
func (c *Controller) wait(ctx context.Context, w *waiter) *Refused {
	var deadline <-chan time.Time
	if d := w.ticket.Deadline; !d.IsZero() {
		timer := time.NewTimer(time.Until(d) - c.requiredTime(w))
		defer timer.Stop()
		deadline = timer.C
	}
	tick := time.NewTicker(recheckInterval)
	defer tick.Stop()
	for {
		select {
		case r := <-w.ready:
			return r
		case <-tick.C:
			if c.recheck(w.pool) {
				return c.giveUp(w, ReasonNoReplica)
			}
		case <-deadline:
			return c.giveUp(w, ReasonDeadline)
		case <-ctx.Done():
			return c.giveUp(w, ReasonCancelled)
		}
	}
}

func (c *Controller) requiredTime(w *waiter) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return w.requiredTime(time.Now(), c.cfg.MinService)
}

// giveUp takes a waiter out of its queue and returns a refusal with the given reason. If the
// waiter was admitted at the same moment, giveUp returns nil and the caller must release the
// waiter's slot.
func (c *Controller) giveUp(w *waiter, reason Reason) *Refused {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.item == nil {
		return <-w.ready
	}
	c.drop(w, c.cfg.refuse(reason, c.drainTime(w)))
	return <-w.ready
}

// drainTime estimates how long it takes until all tickets of w's priority that wait now have
// been served; 0 means that the time is unknown.
func (c *Controller) drainTime(w *waiter) time.Duration {
	of := w.ticket.Priority
	return w.pool.waitFor(w.pool.queued(of), of, &c.cfg, time.Now())
}

// drop takes a waiter out of its queue and refunds its charge.
func (c *Controller) drop(w *waiter, r *Refused) {
	w.queue.remove(w, time.Now())
	c.refund(w)
	w.ready <- r
}

// recheck admits a pool's tickets in case the pool's capacity has grown. It does so at most
// once per recheckInterval, however many tickets wait. It reports whether the pool has been
// without capacity for too long.
func (c *Controller) recheck(p *pool) (dead bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(p.checkedAt) >= recheckInterval {
		p.checkedAt = now
		p.noteCapacity(&c.cfg, now)
		c.dispatch(p, now)
	}
	return p.unavailable(&c.cfg, now)
}

// dispatch admits a pool's waiting tickets, in their order, while there is capacity. A ticket
// that can no longer finish by its deadline is refused instead.
func (c *Controller) dispatch(p *pool, now time.Time) {
	for q := p.next(&c.cfg, now); q != nil; q = p.next(&c.cfg, now) {
		w := q.pop(now)
		if w.expired(now, c.cfg.MinService) {
			w.charge.Settle(0)
			c.refund(w)
			w.ready <- c.cfg.refuse(ReasonDeadline, c.drainTime(w))
			continue
		}
		c.grant(w, now)
		w.ready <- nil
	}
}

func (c *Controller) refund(w *waiter) {
	w.acct.waiting--
	if !w.ticket.Resume {
		w.acct.settle(w.ticket.Cost, 0)
	}
}

func (c *Controller) grant(w *waiter, now time.Time) {
	w.acct.waiting--
	w.acct.running++
	w.pool.running++
	w.pool.load[w.ticket.Priority].running++
	w.granted = now
	w.pool.addRunning(w)
}

func (c *Controller) release(w *waiter, actual float64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.pool.running--
	w.pool.removeRunning(w)
	load := &w.pool.load[w.ticket.Priority]
	load.running--
	load.observe(now.Sub(w.granted), w.ticket.Cost, now)
	w.acct.running--
	w.charge.Settle(actual)
	if !w.ticket.Resume {
		w.acct.settle(w.ticket.Cost, actual)
	}
	c.dispatch(w.pool, now)
}
