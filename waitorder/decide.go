package waitorder

import "time"

// The load for which this decision is made: a burst of less urgent streams at five times the
// usual rate fills the queues of all routers, and a few urgent requests arrive at some of them,
// unevenly. At 59 routers, an urgent request has one queue in 59 to compete for the free slots.

// Choice is what MayTake knows when a waiting request near the head of its queue asks for a slot.
type Choice struct {
	Started bool // the request continues a started answer
	// UrgentWait is how long the longest-waiting more urgent request known at any router has waited; 0 if none waits.
	UrgentWait time.Duration
	// HeldFor is how long requests of this priority have yielded at this router, or the time
	// since one of them was granted a slot anywhere although it should have yielded, if that is less.
	HeldFor time.Duration
	// TurnAfter is the time of yielding after which this router gives the priority a turn.
	TurnAfter time.Duration
}

// MayTake reports whether the request may take a slot now. If not, it yields to a more urgent
// request at another router.
func MayTake(c Choice) bool {
	return c.Started || c.UrgentWait < UrgentAfter || c.HeldFor >= c.TurnAfter
}
