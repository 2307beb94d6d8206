// Package rollout moves a service to replicas of another version, and back to the old version
// if the new version answers worse.
//
// The design guards against these failures:
//
//   - A bad version that gets its share of requests as soon as its replicas register fails half of
//     all requests. A new version therefore gets no requests before a trial, and a small share
//     during the trial.
//   - A version that is bad on one route only, turns bad after a while, or is only slow does not
//     stand out in the sum of all answers. Answers of both versions from the same period are
//     therefore compared by route and by kind of measurement, over all routers.
//   - One failing replica or failure domain is not a fault of the version. Where there are several
//     failure domains, bad answers from only one of them are not sufficient evidence.
//   - A router that decides on its own observations sees too few answers, and a single deciding
//     router may be isolated. Routers therefore broadcast how the new version answered, and each
//     router may stop sending requests to the new version; only the progress from stage to stage
//     is written to one place, the store, with a conditional write.
//   - The old replicas stop as soon as a roll-out is recorded as completed. The runs at the old
//     replicas are therefore moved to new replicas before the completion is written.
//
// The package does no input or output. Times are read by the caller, on one clock.
package rollout

import (
	_ "embed" // embeds the state chart
	"slices"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/chart"
	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("rollout")

// Order is an operator's order to move a service to a version.
type Order struct {
	Service  string
	Target   string         // version that the service is to run
	Duration time.Duration  // time within which the roll-out is to end
	Revision fleet.Revision // store revision of the order; an order with a later revision replaces it
}

// rewrittenAs reports whether next is the same order, written again after the store has come back from
// a copy.
func (o *Order) rewrittenAs(next Order) bool {
	return o.Revision.Era() < next.Revision.Era() && o.Target == next.Target && o.Duration == next.Duration
}

// Stage is the progress of a roll-out.
type Stage string

// The stages, named as in the state chart.
const (
	// None: no roll-out was ever ordered.
	None Stage = ""
	// Waiting: the new version gets no requests.
	Waiting Stage = "waiting"
	// Trial: the new version gets a small share of the requests.
	Trial Stage = "trial"
	// Moving: the new version gets all new work, and streams at the old version end there.
	Moving Stage = "moving"
	// Completed: the old replicas have stopped.
	Completed Stage = "completed"
	// RolledBack: the new version gets no requests any more.
	RolledBack Stage = "rolled-back"
)

// Open reports whether the trial has started and the roll-out has neither completed nor been
// rolled back.
func (s Stage) Open() bool { return s == Trial || s == Moving }

//go:embed rollout.json
var chartJSON []byte

// LoadChart parses the embedded state chart of a roll-out.
func LoadChart() (*chart.Chart, error) {
	c, err := chart.Load(chartJSON)
	return c, Error.Wrap(err)
}

// Events of the state chart.
const (
	eventBegin  = "begin"
	eventPassed = "passed"
	eventMoved  = "moved"
	eventFailed = "failed"
)

// Record is the state of a roll-out that all routers share. It is one item of the store; each
// change is written on condition that the item is still at the revision that the writer knows.
type Record struct {
	Order     fleet.Revision `json:"order"` // revision of the order
	Target    string         `json:"target"`
	Stage     Stage          `json:"stage"`
	ElapsedMS int64          `json:"elapsed_ms"` // time since the order, when this record was written
	// Barred versions get no requests: they are the targets of earlier orders that did not
	// complete.
	Barred []string `json:"barred,omitempty"`
	Reason string   `json:"reason,omitempty"` // why the roll-out was rolled back
}

// isFor reports whether the record is that of order o. After the store has come back from a copy the
// operator writes the order again, at a revision of the new era.
func (r Record) isFor(o Order) bool {
	return r.Order == o.Revision || r.Order != 0 && r.Order.Era() < o.Revision.Era() && r.Target == o.Target
}

// sameAs reports whether two records say the same.
func (r Record) sameAs(other Record) bool {
	return r.Order == other.Order && r.Target == other.Target && r.Stage == other.Stage && slices.Equal(r.Barred, other.Barred)
}

// forOrder returns the record with which the order o, which follows the order of r, starts.
// Unless the roll-out of r completed, the target of r stays barred along with the versions
// barred before.
func (r Record) forOrder(o Order) Record {
	next := Record{Order: o.Revision, Target: o.Target, Stage: Waiting}
	if r.Stage == Completed {
		return next
	}
	for _, v := range append(slices.Clone(r.Barred), r.Target) {
		if v != o.Target && v != "" && !slices.Contains(next.Barred, v) {
			next.Barred = append(next.Barred, v)
		}
	}
	return next
}
