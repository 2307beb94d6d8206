package schedule

import "time"

// Reservation holds the room that a waiting request needs free of requests behind it that are less urgent, or of client accounts
// over their share. The
// load for which it decides: several requests at the head of the queue try to get a server, so that a request for
// which nothing has room blocks no other request. Without a reservation, a large urgent request is passed by small less urgent ones
// for as long as these arrive, and a less urgent request takes a slot that became free between two tries of an urgent one.
//
// A reservation is bounded, since the request may be unable to use what the others could, for example because it
// excludes a server. The zero value is ready for use.
type Reservation struct {
	since  time.Time // when others began to be held; zero while they aren't
	holds  int       // times that others were held until the end of the reservation
	passed int       // requests that went past it since others were last held
	urgent time.Time // when more urgent requests began to be held; zero while they weren't
}

const (
	// reserveFor is the longest time for which a first reservation holds others. Each further one lasts twice as long, up
	// to maxReserve: where runs last long, little room becomes free in a short time.
	reserveFor = Window / 5
	// maxReserve leaves those that are held time to get a grant within Window.
	maxReserve = Window - DueAfter
	// maxPassed is how many requests may go past before others are held: about as many as try to get a server at the
	// same time.
	maxPassed = 3
	// holdUrgentFor is how long more urgent requests are held, once: some slots become free in this time where 5 or more
	// do in a second. A request that gets none of them is one that finds no room.
	holdUrgentFor = Window / 25
	// maxDoublings bounds the shift that doubles reserveFor; maxReserve is reached before.
	maxDoublings = 4
)

// Holds reports whether a request behind must not try to get a server now. fits reports that the waiting request needs
// no more room than the other, so that it could use whatever the other takes.
func (r *Reservation) Holds(fits bool, now time.Time) bool {
	if !r.since.IsZero() && now.Sub(r.since) >= min(reserveFor<<min(r.holds, maxDoublings), maxReserve) {
		*r = Reservation{holds: r.holds + 1, urgent: r.urgent}
	}
	if r.passed < maxPassed && (r.holds > 0 || !fits) {
		return false
	}
	if r.since.IsZero() {
		r.since = now
	}
	return true
}

// HoldsMoreUrgent is Holds for a more urgent request, past which ageing lifted the waiting one. It is held only after others
// went past, and for a short time, since the waiting request may find no room for as long as it waits.
func (r *Reservation) HoldsMoreUrgent(now time.Time) bool {
	if r.urgent.IsZero() && r.passed >= maxPassed {
		r.urgent = now
	}
	return !r.urgent.IsZero() && now.Sub(r.urgent) < holdUrgentFor
}

// Passed records that a request behind it, of another priority or of an account over its share, was served.
func (r *Reservation) Passed() { r.passed++ }
