package admission

import (
	"sync"
	"time"

	"wigeondale/schedule"
)

// WaitQueue is a queue of the requests that wait at this router for a free slot at an engine, in
// the order of package schedule.
//
// It is needed in overload: for some seconds more prompts arrive than engines read, or engines
// crash and all their runs need another engine at once. Without an order each request tries on
// its own at random: the request that has waited longest has no better chance than the latest
// one, waiting requests are not counted, and all of them are sent to the first engine that is
// available again. With a queue, the number of requests ahead yields the expected wait, so
// that requests that can't be served in time are refused at once.
//
// A WaitQueue only makes decisions: callers pass the time in and poll the positions of their
// requests at short intervals. A request that is no longer polled is dropped from the queue.
type WaitQueue struct {
	mu      sync.Mutex
	waiters map[string]*queueEntry
	sweepAt time.Time // no request is to be dropped before
	turns   schedule.Turns
	shares  *schedule.Shares // nil: client accounts are not distinguished
	pace    waitPace
	// overShareSeen is when a request of a client account over its share last waited, by priority.
	overShareSeen levelTimes

	// order is the sorted queue. It is valid until a request joins, leaves or changes, or
	// another set of priorities is due.
	order  []*queueEntry
	sorted bool
	due    [schedule.Priorities]bool
}

type queueEntry struct {
	item        schedule.Item
	late        bool // past its deadline for being in time; never reset
	lastPoll    time.Time
	polls       int
	index       int // in order
	reservation schedule.Reservation
	overShare   bool // its client account has used more than its share
}

// level is the least urgent priority whose requests e goes before or among.
func (e *queueEntry) level() int {
	if e.item.Stage == schedule.Started {
		return 0
	}
	return e.item.Priority
}

// holds reports whether a reservation for e, which goes before o, holds o now.
func (e *queueEntry) holds(o *queueEntry, now time.Time) bool {
	switch {
	case e.item.Stage == schedule.Late || e.item.Unservable || o.item.Stage == schedule.Started:
		return false
	case e.level() > o.level():
		return e.reservation.HoldsMoreUrgent(now)
	}
	return e.reservation.Holds(e.item.Cost <= o.item.Cost, now)
}

// dropAfter is the time after its last poll at which a request is dropped. It is several
// times the longest interval between two polls. If the process pauses for longer, only the
// order of the queue is lost.
const dropAfter = 400 * time.Millisecond

// NewWaitQueue returns an empty queue that doesn't distinguish client accounts.
func NewWaitQueue() *WaitQueue { return NewSharedWaitQueue(ShareByArrival) }

// NewSharedWaitQueue returns an empty queue.
func NewSharedWaitQueue(s Sharing) *WaitQueue {
	l := &WaitQueue{waiters: map[string]*queueEntry{}}
	if s == ShareByAccount {
		l.shares = schedule.NewShares()
	}
	return l
}

// Poll adds a request to the queue, or records that a request in the queue still waits, and
// returns its position. The first try of its client counts from the first poll: a client that was advised to come
// back goes before requests that arrived since its first try. QueuedAt is set by the queue.
func (l *WaitQueue) Poll(r schedule.Item, now time.Time) Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waiters[r.ID]
	if w == nil {
		w = l.join(r, now)
	}
	stage := r.Stage
	if w.late && stage == schedule.New {
		stage = schedule.Late
	}
	if w.item.Stage != stage {
		w.item.Stage, l.sorted = stage, false
	}
	w.lastPoll = now
	w.polls++
	if w.polls == 2 && stage != schedule.Started {
		l.pace.arrived(w.item.Priority, now)
	}
	l.turns.Observe(w.item.Priority, now)
	return l.position(w, now)
}

func (l *WaitQueue) join(r schedule.Item, now time.Time) *queueEntry {
	w := &queueEntry{item: r}
	w.item.Priority, w.item.QueuedAt = schedule.Priority(r.Priority), now
	l.waiters[r.ID] = w
	l.sorted = false
	if l.shares != nil {
		l.shares.Join(&w.item, now)
	}
	return w
}

// sweep drops the requests that are no longer polled. It visits them only when one may be due.
func (l *WaitQueue) sweep(now time.Time) {
	if !now.After(l.sweepAt) {
		return
	}
	oldest := now
	for id, o := range l.waiters {
		switch {
		case now.Sub(o.lastPoll) > dropAfter:
			l.remove(id, now)
		case o.lastPoll.Before(oldest):
			oldest = o.lastPoll
		}
	}
	l.sweepAt = oldest.Add(dropAfter)
}

// sort brings order up to date.
func (l *WaitQueue) sort(now time.Time) {
	due := l.due
	for p := range due {
		due[p] = l.turns.Due(p, now)
	}
	if l.sorted && due == l.due {
		return
	}
	l.sorted, l.due = true, due
	items := make([]*schedule.Item, 0, len(l.waiters))
	for _, w := range l.waiters {
		items = append(items, &w.item)
	}
	schedule.Sort(items, &l.turns, l.shares, now)
	l.order = l.order[:0]
	for i, it := range items {
		w := l.waiters[it.ID]
		w.index = i
		w.overShare = l.shares != nil && l.shares.OverShare(it, now)
		l.order = append(l.order, w)
	}
}

// Waiting reports whether a request waits in the queue.
func (l *WaitQueue) Waiting(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.waiters {
		if now.Sub(w.lastPoll) <= dropAfter {
			return true
		}
	}
	return false
}

// Items returns the waiting requests in their order. It changes nothing.
func (l *WaitQueue) Items(now time.Time) []schedule.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sort(now)
	out := make([]schedule.Item, 0, len(l.order))
	for _, w := range l.order {
		if now.Sub(w.lastPoll) <= dropAfter {
			out = append(out, w.item)
		}
	}
	return out
}

// Len returns the number of requests in the queue.
func (l *WaitQueue) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}

// MarkLate moves a waiting request behind all requests that can still be in time, permanently,
// and returns its new position.
func (l *WaitQueue) MarkLate(id string, now time.Time) Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waiters[id]
	if w == nil {
		return Position{}
	}
	w.late, w.lastPoll, l.sorted = true, now, false
	w.item.Stage = max(w.item.Stage, schedule.Late)
	return l.position(w, now)
}

// RecordGrant records that a request was granted a slot, and takes it out of the queue. It returns the
// charge of the request's client account, which is nil if client accounts are not distinguished.
func (l *WaitQueue) RecordGrant(id string, now time.Time) *Charge {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waiters[id]
	if w == nil {
		return nil
	}
	if w.polls >= 2 {
		l.pace.granted(w.level(), l.firstWaiting(now), now)
	}
	l.sort(now)
	for _, o := range l.order[:w.index] {
		if o.item.Priority != w.item.Priority || o.overShare != w.overShare {
			o.reservation.Passed()
		}
	}
	l.turns.Granted(w.item.Priority, now)
	delete(l.waiters, id)
	l.sorted = false
	return l.charge(&w.item, now)
}

// Remove takes a request out of the queue because it is refused or its client has disconnected.
// It reports whether the client account has used more than its share.
func (l *WaitQueue) Remove(id string, now time.Time) (overShare bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.waiters[id]; w != nil && l.shares != nil {
		overShare = l.shares.OverShare(&w.item, now)
	}
	l.remove(id, now)
	return overShare
}

func (l *WaitQueue) remove(id string, now time.Time) {
	w := l.waiters[id]
	if w == nil {
		return
	}
	delete(l.waiters, id)
	l.sorted = false
	if l.shares != nil {
		l.shares.Leave(&w.item, now)
	}
}

// ExpectedWait returns the expected time until a request of the given priority has been granted a slot, if
// n requests, with itself, are to be served first, peers of which have its priority. The bool is
// false while the wait can't be estimated. While no slot is granted, the expected wait grows
// with the time since the last grant.
func (l *WaitQueue) ExpectedWait(priority, n, peers int, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, known := l.pace.expected(priority, n, l.firstWaiting(now), now)
	if !known || l.pace.urgentRate(priority, now) == 0 {
		return wait, known
	}
	byAgeing := l.turns.Until(priority, now) + time.Duration(peers)*schedule.DueAfter + l.pace.byLevel[priority].interval
	return min(wait, byAgeing), true
}

// firstWaiting returns for each level when the request that has waited longest at this level or a more
// urgent one entered the queue, or now if there is none.
func (l *WaitQueue) firstWaiting(now time.Time) (first levelTimes) {
	for p := range first {
		first[p] = now
	}
	for _, w := range l.waiters {
		if p := w.level(); w.item.QueuedAt.Before(first[p]) {
			first[p] = w.item.QueuedAt
		}
	}
	for p := 1; p < len(first); p++ {
		if first[p-1].Before(first[p]) {
			first[p] = first[p-1]
		}
	}
	return first
}
