package admission

import (
	"slices"
	"time"

	"wigeondale/schedule"
)

// Position is the position of a request in the queue.
type Position struct {
	Ahead  int           // number of requests that go before it
	Peers  int           // the part of Ahead that has its priority
	Waited time.Duration // time since it entered the queue
	Late   bool          // it can't be in time any more
	// Precedes reports that less urgent requests waited here within schedule.Window, or requests of client accounts that
	// are over their share while its own isn't. They may have been refused since.
	Precedes bool
	// Held reports that the request must not try to get an engine now, since a request ahead of it
	// that is more urgent, or of a client account not over its share, needs the room.
	Held bool
	// Due reports that ageing lifted the request ahead of more urgent ones.
	Due bool
}

// position drops all requests that are no longer polled, and returns the position of w.
func (l *WaitQueue) position(w *queueEntry, now time.Time) Position {
	l.sweep(now)
	l.sort(now)
	p := Position{Ahead: w.index, Waited: now.Sub(w.item.QueuedAt), Late: w.late, Precedes: l.precedes(w, now), Due: l.lifted(w)}
	for _, o := range l.order[:w.index] {
		switch {
		case o.item.Priority == w.item.Priority && o.overShare == w.overShare:
			p.Peers++
		case o.holds(w, now):
			p.Held = true
		}
	}
	return p
}

// lifted reports whether w is the first request of a priority that is due.
func (l *WaitQueue) lifted(w *queueEntry) bool {
	p := w.item.Priority
	return w.item.Stage != schedule.Started && l.due[p] &&
		!slices.ContainsFunc(l.order[:w.index], func(o *queueEntry) bool { return o.item.Priority == p })
}

// precedes records that w waits, and reports whether w goes before others that waited here lately.
func (l *WaitQueue) precedes(w *queueEntry, now time.Time) bool {
	if p := w.item.Priority; w.overShare {
		l.overShareSeen[p] = now
	} else if !l.overShareSeen[p].IsZero() && now.Sub(l.overShareSeen[p]) <= schedule.Window {
		return true
	}
	return l.turns.LessUrgentWaited(w.item.Priority, now)
}
