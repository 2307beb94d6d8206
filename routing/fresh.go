package routing

import "time"

// Names of the filters by the age of an engine's load report.
const (
	// FilterFresh keeps engines with a recent load report. If no engine has a recent report,
	// it keeps all of them.
	FilterFresh = "fresh"
	// FilterFreshOnly keeps engines with a recent load report, even if that leaves no engine.
	FilterFreshOnly = "fresh-only"
	// FilterStale keeps engines whose report is missing or so old that the engine should be
	// queried again.
	FilterStale = "stale"
)

const (
	// maxReportAge is how long an engine's load report is used. In that time an engine
	// reads half a prompt of typical size; what other routers send to that engine during
	// that time isn't known.
	maxReportAge = 600 * time.Millisecond
	// queryAgainAfter is the age of a report from which its engine should be queried again: an
	// engine's report changes a few times a second.
	queryAgainAfter = 300 * time.Millisecond
)

// freshFilter keeps engines with a recent load report, if there are any.
//
// Where routers can't send each other their loads, an engine without a report looks idle.
// Without this filter such an engine would be preferred to engines that have a report.
type freshFilter struct{}

func (freshFilter) Name() string { return FilterFresh }

func (freshFilter) Keep(all []Candidate, left []int32, req *PickRequest, _ *scratch) []int32 {
	next := 0
	for k, i := range left {
		if !hasRecentReport(&all[i], req) {
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

func hasRecentReport(c *Candidate, req *PickRequest) bool {
	return req.Now.Sub(c.engineLoad().ReportedAt()) <= maxReportAge
}

func hasStaleReport(c *Candidate, req *PickRequest) bool {
	return req.Now.Sub(c.engineLoad().ReportedAt()) > queryAgainAfter
}
