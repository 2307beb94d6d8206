// Package rollout moves a service to replicas of another version, and takes the service
// back if that version answers worse than the one before.
//
// Failure stories. A bad version that gets its share as soon as its replicas register
// fails half of all requests: so it gets nothing before a trial, and a small share in it.
// A version that is bad on one route, late, or only slow hides in the sum of all answers:
// so new and old answers of the same moment are compared by route and by kind, over all
// routers. One replica or failure domain that fails is no fault of the version: the worst
// domain doesn't count. A router that decides alone sees too few answers, and one that
// decides for all may be cut off: so routers tell each other what the new version
// answered, each of them may stop sending, and only the progress from stage to stage is
// written to one place under a condition. When a roll-out completes, the old replicas stop
// at once: so their runs are moved before that is written.
//
// The package does no input or output. Times are on a clock that the caller reads.
package rollout

import (
	_ "embed" // the state chart
	"slices"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/chart"
)

// Error is the class of this package's errors.
var Error = errs.Class("rollout")

// Order is an operator's order to move a service to a version.
type Order struct {
	Service  string
	Target   string        // version that the service is to run
	Duration time.Duration // within which the roll-out is to end
	Revision int64         // of the order; a later one replaces it
}

// Stage is how far a roll-out has come.
type Stage string

// The stages, as the state chart names them.
const (
	// None is the stage where nothing was ordered.
	None Stage = ""
	// Waiting gives the new version nothing.
	Waiting Stage = "waiting"
	// Trial gives it a small share of the requests.
	Trial Stage = "trial"
	// Moving gives it all new work, and what runs at the old version moves to it.
	Moving Stage = "moving"
	// Completed tells that the old replicas have stopped.
	Completed Stage = "completed"
	// RolledBack gives the new version nothing any more.
	RolledBack Stage = "rolled-back"
)

// Open tells whether the stage is one that another follows.
func (s Stage) Open() bool { return s == Trial || s == Moving }

//go:embed rollout.json
var chartJSON []byte

// LoadChart reads the state chart of a roll-out.
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

// Record is what all routers go by. It lies in one place, and each change of it is made
// under the condition that it is still as its writer knew it.
type Record struct {
	Order     int64  `json:"order"` // revision of the order
	Target    string `json:"target"`
	Stage     Stage  `json:"stage"`
	ElapsedMS int64  `json:"elapsed_ms"` // since the order, when this was written
	// Barred versions get nothing: those of earlier orders that did not complete.
	Barred []string `json:"barred,omitempty"`
	Reason string   `json:"reason,omitempty"` // of a roll-back
}

// succeed returns the record with which a later order begins.
func (r Record) succeed(o Order) Record {
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
