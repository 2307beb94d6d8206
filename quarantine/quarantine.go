// Package quarantine stops sending requests that make backend servers crash (poison requests),
// also when clients repeat them and at every router.
//
// A Guard, one per router, examines lost attempts. If a backend server crashed while it ran a
// request ("a crash under the request"), the Guard reports the crash to the other routers. A
// Tracker decides, by the same rules at each router, which request caused the crashes. A
// quarantined request is refused at once, with ErrQuarantined.
package quarantine

import (
	"context"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// State is the result of probing a backend server.
type State uint8

// Results of a Prober.
const (
	Unreachable State = iota // no answer: can't be distinguished from a broken network
	Working                  // the same incarnation still answers
	Exited                   // nothing listens at the address of the backend server, or another incarnation does
)

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case Working:
		return "working"
	case Exited:
		return "ended"
	}
	return "unreachable"
}

// Prober finds out whether the known incarnation of a backend server still runs.
type Prober interface {
	Probe(ctx context.Context, b fleet.Backend) State
}
