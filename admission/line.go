package admission

import (
	"sync"
	"time"
)

// A Line orders the requests that wait at this router for an engine to have a place.
//
// The load that it answers: more prompts arrive than engines read, for some seconds,
// or engines crash and all their runs look for others at once. Without an order each
// request tries by itself, at random: the one that has waited longest has no better
// chance than the one that has just come, what waits is not counted, and all of them
// rush to the first engine that is back. In a line the number ahead says how long the wait is
// going to be, so that what can't be served in time is told so at once.
//
// It makes decisions only: callers pass the time in, ask for their turn now and then,
// and are dropped from the line when they stop asking.
type WaitQueue struct {
	mu      sync.Mutex
	waiters map[string]*lineEntry
	pace    time.Duration // between two places that were had while somebody waited; 0 while unknown
	lastHad time.Time     // when the last place was had
}

// Rank orders the line; a lower one goes first, whenever it came.
type Rank uint8

const (
	// RankStarted is for answers that have begun: they hold work already done.
	RankStarted Rank = iota
	// RankNew is for all others.
	RankNew
	// RankLate is for those that can't be in time any more.
	RankLate
)

type lineEntry struct {
	rank  Rank
	late  bool      // it stays so
	came  time.Time // of its client's first try, as far as known
	since time.Time // it stands here
	asked time.Time
	asks  int
}

// Position is where a request stands in the line.
type Position struct {
	Ahead  int           // how many go before it
	Waited time.Duration // since it came
	Late   bool          // it can't be in time any more
}

const (
	// forgotten is when a request that asks no more is dropped: after several times the
	// longest pause between two questions. A process that stands still loses its order only.
	forgotten = 400 * time.Millisecond
	// paceWeight is the weight of the latest interval in the pace.
	paceWeight = 0.2
	// paceLife is the age from which a pace says nothing: the burst is another one.
	paceLife = 5 * time.Second
)

// NewWaitQueue returns an empty line.
func NewWaitQueue() *WaitQueue { return &WaitQueue{waiters: map[string]*lineEntry{}} }

// Poll has a request stand in the line, or tells that it still does. age is how long ago
// its client tried first: one that was told to come back goes before those that came
// meanwhile.
func (l *WaitQueue) Poll(id string, rank Rank, age time.Duration, now time.Time) Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waiters[id]
	if w == nil {
		w = &lineEntry{came: now.Add(-age), since: now}
		l.waiters[id] = w
	}
	if w.late && rank == RankNew {
		rank = RankLate
	}
	w.rank, w.asked = rank, now
	w.asks++
	return Position{Ahead: l.before(id, w, now), Waited: now.Sub(w.since), Late: w.late}
}

// MarkLate puts a request that waits behind all that can still be in time, for good, and
// tells where it stands then.
func (l *WaitQueue) MarkLate(id string, now time.Time) Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.waiters[id]
	if w == nil {
		return Position{}
	}
	w.late = true
	w.rank = max(w.rank, RankLate)
	return Position{Ahead: l.before(id, w, now), Waited: now.Sub(w.since), Late: true}
}

// RecordGrant tells that a request has got its place. The pace is learnt from those that did
// not get it when they came, while somebody waited all the time since the one before.
//
// What goes wrong if other times count: at a router with little traffic the pace is that
// at which requests come, not at which engines become free. The only one that waits is
// refused although its turn is next.
func (l *WaitQueue) RecordGrant(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gap, busy := now.Sub(l.lastHad), !l.waitedSince(now).After(l.lastHad)
	w := l.waiters[id]
	delete(l.waiters, id)
	if w == nil || w.asks < 2 {
		return
	}
	switch {
	case l.lastHad.IsZero() || gap > paceLife:
		l.pace = 0
	case !busy:
	case l.pace == 0:
		l.pace = gap
	default:
		l.pace += time.Duration(paceWeight * float64(gap-l.pace))
	}
	l.lastHad = now
}

// Remove takes a request out that is refused or gone.
func (l *WaitQueue) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, id)
}

// ExpectedWait is how long a request with so many before it is going to wait; false while
// that isn't known. While nobody gets a place the expectation grows with the time that
// has passed.
func (l *WaitQueue) ExpectedWait(ahead int, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pace == 0 || now.Sub(l.lastHad) > paceLife {
		return 0, false
	}
	none := min(now.Sub(l.waitedSince(now)), now.Sub(l.lastHad))
	return time.Duration(ahead) * max(l.pace, none/2), true
}

// waitedSince is since when the one that waits longest has waited; now if nobody waits.
func (l *WaitQueue) waitedSince(now time.Time) time.Time {
	first := now
	for _, w := range l.waiters {
		if w.since.Before(first) {
			first = w.since
		}
	}
	return first
}

// goesBefore orders the line.
func (e *lineEntry) goesBefore(other *lineEntry) bool {
	if e.rank != other.rank {
		return e.rank < other.rank
	}
	return e.came.Before(other.came)
}

// before counts those that go before w, and drops those that ask no more.
func (l *WaitQueue) before(own string, w *lineEntry, now time.Time) int {
	n := 0
	for id, o := range l.waiters {
		if now.Sub(o.asked) > forgotten {
			delete(l.waiters, id)
			continue
		}
		if id != own && o.goesBefore(w) {
			n++
		}
	}
	return n
}
