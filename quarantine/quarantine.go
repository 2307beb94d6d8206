// Package quarantine stops sending requests under which backend servers crash (poison
// requests), over all repeats by their clients and all routers.
//
// A Guard, one per router, examines lost attempts and reports backend servers that crashed
// under a request to the other routers. A tracker decides, by the same rules at each router,
// which request caused the crashes. A quarantined request gets its final answer at once.
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

// Prober probes backend servers.
type Prober interface {
	Probe(ctx context.Context, b fleet.Backend) State
}
