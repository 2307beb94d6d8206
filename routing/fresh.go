package routing

import "time"

// Names of the filters by the age of what an engine reported of itself.
const (
	// FilterFresh keeps to engines with a fresh report of what they have under way, if any
	// has one.
	FilterFresh = "fresh"
	// FilterFreshOnly keeps to such engines, also if there is none.
	FilterFreshOnly = "fresh-only"
	// FilterStale keeps to engines that are worth asking again.
	FilterStale = "stale"
)

const (
	// freshFor is how long an engine's report of its state is gone by. Within it an engine reads half
	// a prompt of usual size; what others send there meanwhile isn't known.
	freshFor = 600 * time.Millisecond
	// askAgainAfter is how soon an engine is worth another question: its report changes
	// a few times a second.
	askAgainAfter = 300 * time.Millisecond
)

// fresh keeps to engines with a fresh report, if any has one.
//
// What goes wrong without it: where routers can't tell each other their loads, an engine
// without a report looks idle, and is preferred to those that have one.
type fresh struct{}

func (fresh) Name() string { return FilterFresh }

func (fresh) Keep(all []Candidate, left []int32, ask *PickRequest, _ *scratch) []int32 {
	next := 0
	for k, i := range left {
		if !isFresh(&all[i], ask) {
			continue
		}
		left[next], left[k] = left[k], left[next]
		next++
	}
	if next == 0 {
		return left
	}
	return left[:next]
}

func isFresh(c *Candidate, ask *PickRequest) bool {
	return ask.Now.Sub(c.engine().ReportedAt()) <= freshFor
}

func isStale(c *Candidate, ask *PickRequest) bool {
	return ask.Now.Sub(c.engine().ReportedAt()) > askAgainAfter
}
