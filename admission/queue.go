package admission

import (
	"container/heap"
	"time"

	"wigeondale/fleet"
)

// waiter is one ticket that waits.
type waiter struct {
	ticket  Ticket
	acct    *account
	pool    *pool
	start   float64 // start tag in virtual time
	seq     uint64  // arrival, unique; breaks ties
	index   int     // in its queue, -1 when taken out
	queue   *queue
	ready   chan *Refused // carries nil when admitted; buffered
	granted time.Time
	ends    time.Time // expected, of batch work that runs
}

// queue orders the waiters of one class by start-time fair queueing (Goyal,
// Vin, Cheng 1996): each account's tickets follow each other in virtual time
// by cost over weight, and the lowest start tag is served. However many
// tickets a large account has waiting, a small one's next is at most one
// ticket of each other account away.
type queue struct {
	items   waiters
	virtual float64 // start tag of the ticket served last
	finish  map[*account]float64
}

func newQueue() *queue { return &queue{finish: map[*account]float64{}} }

// tag gives a ticket its place in virtual time.
func (q *queue) tag(a *account, cost float64) (start, finish float64) {
	start = max(q.virtual, q.finish[a])
	return start, start + max(cost, 1)/a.weight()
}

func (q *queue) push(w *waiter) {
	start, finish := q.tag(w.acct, w.ticket.Cost)
	w.start = start
	w.queue = q
	q.finish[w.acct] = finish
	heap.Push(&q.items, w)
}

// pop takes the next waiter and moves virtual time on to it.
func (q *queue) pop() *waiter {
	w := heap.Pop(&q.items).(*waiter)
	q.virtual = max(q.virtual, w.start)
	q.tidy()
	return w
}

// remove takes a waiter out of the middle. Its account's later tickets keep
// their tags, which only delays that account.
func (q *queue) remove(w *waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(&q.items, w.index)
	q.tidy()
}

// tidy forgets all tags once nobody waits, so that accounts that went away
// leave nothing behind.
func (q *queue) tidy() {
	if len(q.items) > 0 {
		return
	}
	clear(q.finish)
	q.virtual = 0
}

// ahead counts the waiters that would be served before a new ticket.
func (q *queue) ahead(a *account, cost float64) int {
	start, _ := q.tag(a, cost)
	n := 0
	for _, w := range q.items {
		if w.start <= start {
			n++
		}
	}
	return n
}

// last returns the waiter with the highest tag.
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
	if w.start != o.start {
		return w.start < o.start
	}
	return w.seq < o.seq
}

// expired tells whether a ticket can no longer finish in time. A draft that
// is started all the same would be cut at its caller's deadline, after it took
// a place for minutes. Resumes run on: what they hold is already paid for.
func (w *waiter) expired(now time.Time, least time.Duration) bool {
	d := w.ticket.Deadline
	return !d.IsZero() && now.Add(w.need(now, least)).After(d)
}

func (w *waiter) need(now time.Time, least time.Duration) time.Duration {
	if w.ticket.Resume {
		return least
	}
	return max(least, w.pool.load[w.ticket.Priority].need(w.ticket.Cost, now))
}

// spare is how long a ticket may wait; bounded is false when it may for ever.
// Lookups need no such bound: they are served first and their deadline is near.
func (w *waiter) spare(now time.Time, least time.Duration) (d time.Duration, bounded bool) {
	t := &w.ticket
	if t.Resume || t.Priority != fleet.Batch || t.Deadline.IsZero() {
		return 0, false
	}
	slack := t.Deadline.Sub(now) - w.need(now, least)
	return time.Duration(queueShare * float64(slack)), true
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
