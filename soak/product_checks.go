package soak

import (
	"fmt"
	"sync"
	"time"

	"wigeondale/fleet"
)

// bookings records the outcomes that clients got for requests that run at most once.
type bookings struct {
	mu       sync.Mutex
	outcomes map[string]bookingOutcome // by digest of the body
}

type bookingOutcome struct {
	request string
	outcome fleet.Outcome
}

func (c *checks) recordBooking(digest, request string, o fleet.Outcome) {
	c.bookings.mu.Lock()
	defer c.bookings.mu.Unlock()
	c.bookings.outcomes[digest] = bookingOutcome{request, o}
}

// checkBookings compares how often each request that may run at most once ran with the
// outcome that its client got. ran is keyed by the digest of the body.
func (c *checks) checkBookings(ran map[string]int) {
	c.bookings.mu.Lock()
	defer c.bookings.mu.Unlock()
	for digest, reported := range c.bookings.outcomes {
		n := ran[digest]
		switch {
		case n > 1:
			c.violated("a request that may run once runs at most once", reported.request, fmt.Sprintf("%d times", n))
		case n > 0 && reported.outcome == fleet.NotRun:
			c.violated("not-run is true", reported.request, "it ran")
		case n == 0 && reported.outcome == fleet.Complete:
			c.violated("an answer is a back end's", reported.request, "it did not run")
		}
	}
}

// finalChecks compares the backend servers' records of what ran with the outcomes that clients got.
func (r *productRun) finalChecks() {
	ran := map[string]int{}
	for _, s := range r.fakes.Record().Services {
		for digest, n := range s.ByBody {
			ran[digest] += n
		}
	}
	r.checks.checkBookings(ran)
	for deadline := time.Now().Add(workEndTime); r.unfinishedRequest() != "" && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
	}
	if request := r.unfinishedRequest(); request != "" {
		r.checks.violated("work ends when nobody waits for it", request, "an engine still generates")
	}
}

// unfinishedRequest returns a request for which an engine still generates tokens, or "".
func (r *productRun) unfinishedRequest() string {
	for _, e := range r.fakes.Record().Engines {
		for _, s := range e.Streams {
			if !s.Finished && s.Cancelled == "" {
				return s.Request
			}
		}
	}
	return ""
}
