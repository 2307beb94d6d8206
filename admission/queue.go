package admission

import (
	"container/heap"
	"time"

	"wigeondale/fleet"
)

// waiter is one ticket that waits, or that was admitted.
type waiter struct {
	ticket      Ticket
	acct        *account
	pool        *pool
	startTag    float64 // in virtual time
	seq         uint64  // order of arrival; unique, breaks ties
	index       int     // in its queue, -1 after removal
	queue       *queue
	ready       chan *Refused // receives nil if admitted; buffered
	granted     time.Time
	expectedEnd time.Time // of batch work that runs
}

// queue orders the waiters of one class by start-time fair queueing (Goyal, Vin, Cheng 1996).
// The tickets of each account follow each other in virtual time, spaced by their cost divided
// by the account's weight, and the lowest start tag is served first. However many tickets a
// large account has waiting, at most one ticket of each other account is served before the
// next ticket of a small account.
type queue struct {
	items       waiters
	virtualTime float64 // start tag of the most recently served ticket
	finishTags  map[*account]float64
}

func newQueue() *queue { return &queue{finishTags: map[*account]float64{}} }

// tags returns the start tag and the finish tag of a ticket: the virtual times at which its
// service starts and ends.
func (q *queue) tags(a *account, cost float64) (start, finish float64) {
	start = max(q.virtualTime, q.finishTags[a])
	return start, start + max(cost, 1)/a.weight()
}

func (q *queue) push(w *waiter) {
	start, finish := q.tags(w.acct, w.ticket.Cost)
	w.startTag = start
	w.queue = q
	q.finishTags[w.acct] = finish
	heap.Push(&q.items, w)
}

// pop takes out the next waiter and advances virtual time to it.
func (q *queue) pop() *waiter {
	w := heap.Pop(&q.items).(*waiter)
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.resetIfEmpty()
	return w
}

// remove takes a waiter out of the queue, wherever it is. The later tickets of its account
// keep their tags, which delays only that account.
func (q *queue) remove(w *waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(&q.items, w.index)
	q.resetIfEmpty()
}

// resetIfEmpty drops all tags when no ticket waits, so that the state of accounts without
// requests doesn't accumulate.
func (q *queue) resetIfEmpty() {
	if len(q.items) > 0 {
		return
	}
	clear(q.finishTags)
	q.virtualTime = 0
}

// ahead counts the waiters that would be served before a new ticket of the account.
func (q *queue) ahead(a *account, cost float64) int {
	start, _ := q.tags(a, cost)
	n := 0
	for _, w := range q.items {
		if w.startTag <= start {
			n++
		}
	}
	return n
}

// last returns the waiter with the highest start tag.
func (q *queue) last() *waiter {
	var worst *waiter
	for _, w := range q.items {
		if worst == nil || worst.before(w) {
			worst = w
		}
	}
	return worst
}

func (w *waiter) before(o *waiter) bool {
	if w.startTag != o.startTag {
		return w.startTag < o.startTag
	}
	return w.seq < o.seq
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

// waiters implements heap.Interface.
type waiters []*waiter

func (h waiters) Len() int           { return len(h) }
func (h waiters) Less(i, j int) bool { return h[i].before(h[j]) }

func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	old := *h
	end := len(old) - 1
	w := old[end]
	old[end] = nil
	w.index = -1
	*h = old[:end]
	return w
}
