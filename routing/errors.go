package routing

import "fmt"

// Reason states why the filters left no candidate for the attempt.
type Reason string

// Reasons of NoCandidate.
const (
	NoneKnown          Reason = "no backend server is known"
	NoneServes         Reason = "none serves the model, version and adapter"
	AllLeaving         Reason = "all that serve it are leaving"
	AllDown            Reason = "all that serve it are down"
	AllExcluded        Reason = "all that serve it were tried"
	AllFull            Reason = "all that serve it have as much work as they can take"
	NoneAccepts        Reason = "all that serve it ask for fewer requests"
	NoneAcceptsPrompts Reason = "none of those that serve it takes prompts"
)

// NoCandidate is returned when the filters leave no candidate.
type NoCandidate struct {
	Reason Reason
	// Retryable is true when the request may succeed later: backend servers recover, or new
	// backend servers replace those that are leaving. Repeating the request doesn't help when
	// no backend server serves the model.
	Retryable bool
	Trace     Trace
}

// Error implements error.
func (e *NoCandidate) Error() string {
	return fmt.Sprintf("routing: %s (considered %d)", e.Reason, e.Trace.Considered)
}

// noCandidate builds the error from the filter that removed the last candidate.
func noCandidate(filter string, trace *Trace, req *PickRequest) error {
	e := &NoCandidate{Reason: NoneKnown, Retryable: true, Trace: *trace}
	if trace.Considered == 0 && !req.FleetKnown {
		return e
	}
	switch filter {
	case FilterServes, "":
		e.Reason, e.Retryable = NoneServes, false
	case FilterRole:
		e.Reason = NoneAcceptsPrompts
	case FilterLeaving:
		e.Reason = AllLeaving
	case FilterUsable:
		e.Reason = AllDown
	case FilterMemory, FilterBacklog:
		e.Reason = AllFull
	case FilterAccepting:
		e.Reason = NoneAccepts
	case FilterExclude:
		e.Reason = AllExcluded
	}
	return e
}
