package quarantine

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
)

// Config configures a Guard.
type Config struct {
	Prober Prober
	// Incarnation returns the id of the current incarnation of a backend server. If it is nil,
	// the backend server's id stands for its incarnation.
	Incarnation func(b fleet.Backend) string
	// Leaving reports whether a backend server is known to be leaving the fleet.
	Leaving func(id string) bool
	// Neighbours returns up to n other backend servers of the same service and failure domain.
	// The backend servers that seem to work come first in the result.
	Neighbours func(b fleet.Backend, n int) []fleet.Backend
	// Isolated reports whether other routers are known and none of them can be reached. If it
	// is nil, this router never counts as isolated.
	Isolated func() bool
	// Broadcast sends an update to all other routers; it must not block. With nil nothing is sent.
	Broadcast func(Update)
	// OnHold is called for each request that is newly quarantined at this router; found is true
	// if this router itself saw the last of the crashes, and false if this router only received
	// a report of the crash or of the hold. OnLift is called for each hold that this router
	// ended because the hold was wrong or because an operator lifted it. Neither function may
	// block.
	OnHold func(h HoldUpdate, found bool)
	OnLift func(d Digest)
	// OnPartHold and OnPartLift are the same for parts of prompts.
	OnPartHold func(h PartHold, found bool)
	OnPartLift func(d Digest)
	// OnPartSettled is called at the router that saw the crash after which no more trials of a part are sent.
	OnPartSettled func(h PartHold)
	// OnCase is called when the case against a request or part has changed: CaseOf states it. found is true if this router
	// itself saw the crash or the answer. It must not block.
	OnCase func(k Suspect, found bool)
	// StartWait is how long after its start the guard has requests wait for the reply of a router that knows what is
	// quarantined. With 0 they don't wait.
	StartWait time.Duration
	// Now reads a clock that also advances while the machine is suspended. If it is nil, the
	// system's clock of that kind is used.
	Now func() time.Duration
	Log *event.Log
	Set *metrics.Set
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = clock.SinceBoot
	}
	if c.Set == nil {
		c.Set = metrics.NewSet()
	}
	if c.Incarnation == nil {
		c.Incarnation = func(b fleet.Backend) string { return b.ID }
	}
	if c.Isolated == nil {
		c.Isolated = func() bool { return false }
	}
	if c.Broadcast == nil {
		c.Broadcast = func(Update) {}
	}
	if c.OnHold == nil {
		c.OnHold = func(HoldUpdate, bool) {}
	}
	if c.OnLift == nil {
		c.OnLift = func(Digest) {}
	}
	if c.OnPartHold == nil {
		c.OnPartHold = func(PartHold, bool) {}
	}
	if c.OnPartSettled == nil {
		c.OnPartSettled = func(PartHold) {}
	}
	if c.OnCase == nil {
		c.OnCase = func(Suspect, bool) {}
	}
	if c.OnPartLift == nil {
		c.OnPartLift = func(Digest) {}
	}
	return c
}
