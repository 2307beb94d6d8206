package quarantine

import (
	"time"

	"wigeondale/event"
)

// Hold quarantines a request that another router, or an earlier incarnation of this one, has
// quarantined.
func (g *Guard) Hold(h HoldUpdate, from string) {
	var added bool
	g.withTracker(func(t *Tracker, now time.Duration) {
		added = t.Hold(h.Digest, h.Account, now+time.Duration(h.RemainingMS)*time.Millisecond, now)
	})
	if added {
		g.cfg.Log.Emit(event.RequestHeld, "digest", h.Digest.String(), "account", h.Account, "from", from, "left_ms", h.RemainingMS)
		g.announce(h, false)
	}
}

// Lift ends the hold of a request or part at all routers.
func (g *Guard) Lift(d Digest, by string) (wasQuarantined bool) {
	if _, isPart := g.PartHoldOf(d); isPart {
		return g.LiftPart(d, by)
	}
	wasQuarantined = g.liftLocally(d, by)
	g.cfg.OnLift(d)
	g.broadcast(Update{Lifted: []Digest{d}})
	return wasQuarantined
}

// liftLocally ends the hold of a request at this router.
func (g *Guard) liftLocally(d Digest, by string) (wasQuarantined bool) {
	g.withTracker(func(t *Tracker, now time.Duration) { wasQuarantined = t.Lift(d, now) })
	if wasQuarantined {
		g.cfg.Log.Emit(event.RequestLifted, "digest", d.String(), "by", by)
	}
	return wasQuarantined
}

// LiftedEarlier ends the hold of a request or part at this router if it began before a lift, which was the given time
// ago, and remembers the lift.
func (g *Guard) LiftedEarlier(d Digest, ago time.Duration, by string) {
	var request, part bool
	g.withTracker(func(t *Tracker, now time.Duration) { request, part = t.LiftedEarlier(d, now-ago, now) })
	if request {
		g.cfg.Log.Emit(event.RequestLifted, "digest", d.String(), "by", by)
	}
	if part {
		g.cfg.Log.Emit(event.PartLifted, "part", d.String(), "by", by)
	}
}

// Holds lists the holds of all quarantined requests.
func (g *Guard) Holds() (out []HoldUpdate) {
	g.withTracker(func(t *Tracker, now time.Duration) { out = t.Holds(now) })
	return out
}

// HoldOf returns the hold of a request, and false if it isn't quarantined.
func (g *Guard) HoldOf(d Digest) (hold HoldUpdate, quarantined bool) {
	g.withTracker(func(t *Tracker, now time.Duration) { hold, quarantined = t.HoldOf(d, now) })
	return hold, quarantined
}

// RebroadcastHold broadcasts the hold of a request once more, if the request is still
// quarantined.
func (g *Guard) RebroadcastHold(d Digest) {
	if hold, quarantined := g.HoldOf(d); quarantined {
		g.broadcast(Update{Holds: []HoldUpdate{hold}})
	}
}

// List returns what is recorded of all suspected requests, for operators.
func (g *Guard) List() (out []Report) {
	g.withTracker(func(t *Tracker, now time.Duration) { out = t.List(now) })
	return out
}
