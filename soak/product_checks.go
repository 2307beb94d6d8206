package soak

import (
	"fmt"
	"sync"
	"time"

	"wigeondale/fleet"
)

// bookings are what callers were told of requests that run at most once.
type bookings struct {
	mu   sync.Mutex
	told map[string]toldBooking // by digest of the body
}

type toldBooking struct {
	request string
	outcome fleet.Outcome
}

func (c *checks) booked(digest, request string, o fleet.Outcome) {
	c.bookings.mu.Lock()
	defer c.bookings.mu.Unlock()
	c.bookings.told[digest] = toldBooking{request, o}
}

// judgeBookings compares what ran, by digest of the body, with what callers were told.
func (c *checks) judgeBookings(ran map[string]int) {
	c.bookings.mu.Lock()
	defer c.bookings.mu.Unlock()
	for digest, told := range c.bookings.told {
		n := ran[digest]
		switch {
		case n > 1:
			c.broken("a request that may run once runs at most once", told.request, fmt.Sprintf("%d times", n))
		case n > 0 && told.outcome == fleet.NotRun:
			c.broken("not-run is true", told.request, "it ran")
		case n == 0 && told.outcome == fleet.Complete:
			c.broken("an answer is a back end's", told.request, "it did not run")
		}
	}
}

// finalChecks compare the back ends' own record with what callers were told.
func (r *productRun) finalChecks() {
	ran := map[string]int{}
	for _, s := range r.set.Record().Services {
		for digest, n := range s.ByBody {
			ran[digest] += n
		}
	}
	r.checks.judgeBookings(ran)
	for end := time.Now().Add(workEnds); r.working() != "" && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	if request := r.working(); request != "" {
		r.checks.broken("work ends when nobody waits for it", request, "an engine still generates")
	}
}

// working is a request for which some engine still generates, or "".
func (r *productRun) working() string {
	for _, e := range r.set.Record().Engines {
		for _, s := range e.Streams {
			if !s.Finished && s.Cancelled == "" {
				return s.Request
			}
		}
	}
	return ""
}
