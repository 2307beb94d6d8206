package routing

import "fmt"

// Reason says why no candidate was left.
type Reason string

// Reasons of NoCandidate.
const (
	NoneKnown          Reason = "no backend server is known"
	NoneServes         Reason = "none serves the model, version and adapter"
	AllLeaving         Reason = "all that serve it are leaving"
	AllDown            Reason = "all that serve it are down"
	AllExcluded        Reason = "all that serve it were tried"
	AllFull            Reason = "all that serve it have as much work as they can take"
	NoneAcceptsPrompts Reason = "none of those that serve it takes prompts"
)

// NoCandidate is returned when the filters leave nothing.
type NoCandidate struct {
	Reason Reason
	// Retryable is true when time may help: backend servers come back or take
	// the place of leaving ones. A model that nobody serves won't appear by
	// repeating the request.
	Retryable bool
	Trace     Trace
}

// Error implements error.
func (e *NoCandidate) Error() string {
	return fmt.Sprintf("routing: %s (considered %d)", e.Reason, e.Trace.Considered)
}

// noCandidate names the filter that took the last one away.
func noCandidate(filter string, trace *Trace, ask *PickRequest) error {
	e := &NoCandidate{Reason: NoneKnown, Retryable: true, Trace: *trace}
	if trace.Considered == 0 && !ask.FleetKnown {
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
	case FilterExclude:
		e.Reason = AllExcluded
	}
	return e
}
