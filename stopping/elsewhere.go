package stopping

import (
	"time"

	"wigeondale/clock"
)

// minElsewhereAfter is the least time after which a caller is advised to come back.
const minElsewhereAfter = 20 * time.Millisecond

// Router is another router, to which a load balancer may send a caller that comes back. The router that refused it isn't one: the load
// balancer is assumed to send a retry elsewhere.
type Router struct {
	// Near reports that the router is in this one's failure domain. Load balancers choose a router of the caller's failure domain, or
	// of another one if none is left there.
	Near bool
	// Unused is from when on load balancers send the router no new connections, as time since the machine's start; 0 if it stays.
	Unused time.Duration
}

// ElsewhereAfter returns after which time a refused caller should come back in order to reach a router that stays. patience is how
// long the caller can wait without its answer being late.
//
// Callers that all return at the end of this router's notice would meet the next router of a rolling restart, which refuses them
// again, and many callers give up then. So a caller returns at once if only routers that stay can get its connection, and else when
// those that leave get none any more.
func (g *Gate) ElsewhereAfter(patience time.Duration) time.Duration {
	g.mu.Lock()
	unused := g.unused
	g.mu.Unlock()
	var others []Router
	if g.Others != nil {
		others = g.Others()
	}
	return elsewhereAfter(clock.SinceBoot(), unused, patience, others)
}

func elsewhereAfter(now, unused, patience time.Duration, others []Router) time.Duration {
	least := minElsewhereAfter
	staying, leaving, last := count(now, others, true)
	if staying == 0 {
		least = max(unused-now, least)
		staying, leaving, last = count(now, others, false)
	}
	wait := max(last-now, least)
	if wait > patience && staying > leaving {
		return least
	}
	return wait
}

// count returns how many routers stay, how many leave and still get new connections, and until when the last of these gets them. If
// near is set, only routers of this failure domain count.
func count(now time.Duration, routers []Router, near bool) (staying, leaving int, last time.Duration) {
	for _, r := range routers {
		switch {
		case near && !r.Near:
		case r.Unused == 0:
			staying++
		case r.Unused > now:
			leaving++
			last = max(last, r.Unused)
		}
	}
	return staying, leaving, last
}
