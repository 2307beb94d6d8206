// Package quarantine holds back requests under which backend servers crash (poison
// requests), over all tries of their clients and all routers.
//
// A Guard, one a router, examines lost attempts and tells the other routers of backend servers
// that crashed under a request. A Book decides, by the same rules at each router, which request
// caused the crashes. A request that is held back gets its final answer at once.
package quarantine

import (
	"context"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("quarantine")

// State is what a look at a backend server showed.
type State uint8

// What a Prober finds.
const (
	Unreachable State = iota // no answer: it can't be told from a broken network
	Working                  // the same lifetime still answers
	Exited                   // nothing listens at its address, or another lifetime does
)

// String names the state in logs.
func (s State) String() string {
	switch s {
	case Working:
		return "working"
	case Exited:
		return "ended"
	}
	return "unreachable"
}

// Prober looks at backend servers.
type Prober interface {
	Probe(ctx context.Context, b fleet.Backend) State
}
