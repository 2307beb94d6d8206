// Package waitorder lets the routers of a fleet serve waiting requests in one order of priority.
//
// Each router queues its requests in its own order of priority, and polls engines on its own.
// Without this package, the only waiter at one router, of low priority, takes a free engine
// while more urgent requests wait at other routers: whichever router asks first wins. With it,
// routers tell each other which priorities wait (Table, Message), and a less urgent request
// yields for a bounded time (Table.MayTake).
//
// What is known of other routers is one statement for each service and priority, whatever the
// number of routers: the latest one that a request of this priority waits, or waits no longer.
package waitorder

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("waitorder")

const (
	// UrgentAfter is how long a request must have waited before less urgent requests yield to
	// it. Most requests find an engine sooner, and need no help.
	UrgentAfter = 200 * time.Millisecond
	// stateAfter is how long a request must have waited before its router says so. The
	// difference to UrgentAfter is the time in which the statement reaches all routers.
	stateAfter = 150 * time.Millisecond
	// Lifetime is the age at which a statement ceases to count, so that a router that has died
	// holds up no other router for longer.
	Lifetime = time.Second
	// refreshAfter is the age of the newest statement at which a router states again that a
	// request waits. One router of all those with such requests does so, the first to notice.
	refreshAfter = 550 * time.Millisecond
	// refreshSpread is the random part of refreshAfter. Without it, all routers with waiting
	// requests would state it in the same moment, and none would be spared by another's message.
	refreshSpread = 150 * time.Millisecond
	// stopGrace is how long after a router has stated that nothing waits there any more less
	// urgent requests still yield. In this time, a router with another such request
	// objects. Without it, all routers would take slots until the objection arrives.
	stopGrace = 100 * time.Millisecond
	// stuckAfter is how long requests of a priority may wait at a router, with none of them
	// granted a slot, until the router no longer asks others to yield to them. Such requests
	// cannot use the capacity that others leave: they need more memory than any engine has, or
	// wait for a software version of which no engine is left.
	stuckAfter = 2 * time.Second
	// turnAfter and turnSpread bound the time until a priority that yields gets a turn: no
	// priority waits for 5 s without a grant, including about 0.5 s to find an engine. The spread
	// is drawn by each router, so that the news of the first turn reaches the others
	// before most of them take one too.
	turnAfter  = 3 * time.Second
	turnSpread = time.Second
	// holdGap is the time without a waiter that yields after which the time of yielding starts again.
	holdGap = time.Second
)

// MaxPriority is the least urgent priority; 0 is the most urgent one.
const MaxPriority = 9

// Waiting summarizes the requests of one service and priority that wait at this router.
type Waiting struct {
	Service  string
	Priority int
	Count    int
	Oldest   time.Duration // how long the first of them has waited
}
