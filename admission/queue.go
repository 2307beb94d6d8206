package admission

import (
	"time"

	"wigeondale/fleet"
	"wigeondale/schedule"
)

// waiter is one ticket that waits, or that was admitted.
type waiter struct {
	ticket      Ticket
	acct        *account
	pool        *pool
	seq         uint64         // order of arrival; unique, breaks ties
	item        *schedule.Item // nil unless it is in its queue
	queue       *queue
	charge      *schedule.Charge // nil if it was admitted without waiting
	ready       chan *Refused    // receives nil if admitted; buffered
	granted     time.Time
	expectedEnd time.Time // of batch work that runs
}

// queue holds the waiters of one class, in the order of schedule.Lane: however many tickets a large account has
// waiting, at most one ticket of each other account is served before the next ticket of a small account.
type queue struct {
	lane    *schedule.Lane
	waiters map[*schedule.Item]*waiter
}

func newQueue() *queue {
	return &queue{lane: schedule.NewLane(), waiters: map[*schedule.Item]*waiter{}}
}

func (q *queue) len() int { return q.lane.Len() }

// itemOf returns the ticket as package schedule orders it. Tickets of one account are served in the order of their arrival.
func itemOf(w *waiter) *schedule.Item {
	return &schedule.Item{Account: w.acct.id, Weight: w.acct.weight(), Cost: w.ticket.Cost, Seq: w.seq}
}

func (q *queue) push(w *waiter, now time.Time) {
	w.item = itemOf(w)
	w.queue = q
	q.waiters[w.item] = w
	q.lane.Push(w.item, now)
}

// pop takes out the next waiter and charges its account.
func (q *queue) pop(now time.Time) *waiter {
	it, charge := q.lane.Pop(now)
	w := q.waiters[it]
	delete(q.waiters, it)
	w.item, w.charge = nil, charge
	return w
}

// remove takes a waiter out of the queue, wherever it is.
func (q *queue) remove(w *waiter, now time.Time) {
	if w.item == nil || !q.lane.Remove(w.item, now) {
		return
	}
	delete(q.waiters, w.item)
	w.item = nil
}

// lastBehind returns the waiter that is served last, if a new ticket would be served before it, else nil.
func (q *queue) lastBehind(w *waiter) *waiter {
	last, tag := q.lane.Last()
	if last == nil || tag <= q.lane.Tag(itemOf(w)) {
		return nil
	}
	return q.waiters[last]
}

// expired reports whether a ticket can no longer finish by its deadline; a ticket without a
// deadline always can. If a batch request were started anyway, it would be aborted at its
// caller's deadline, after it had used a slot for minutes. Resumes need only the minimum
// service time, since they represent work already paid for.
func (w *waiter) expired(now time.Time, minService time.Duration) bool {
	d := w.ticket.Deadline
	return !d.IsZero() && now.Add(w.requiredTime(now, minService)).After(d)
}

func (w *waiter) requiredTime(now time.Time, minService time.Duration) time.Duration {
	if w.ticket.Resume {
		return minService
	}
	return max(minService, w.pool.load[w.ticket.Priority].requiredTime(w.ticket.Cost, now))
}

// maxQueueWait returns how long a ticket may wait; bounded is false if there is no limit.
// Interactive requests need no such limit, since they are served first and their deadline is
// near. Resumes and tickets without a deadline have no limit either.
func (w *waiter) maxQueueWait(now time.Time, minService time.Duration) (d time.Duration, bounded bool) {
	t := &w.ticket
	if t.Resume || t.Priority != fleet.Batch || t.Deadline.IsZero() {
		return 0, false
	}
	slack := t.Deadline.Sub(now) - w.requiredTime(now, minService)
	return time.Duration(maxQueueShare * float64(slack)), true
}
