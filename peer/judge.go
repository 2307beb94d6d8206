package peer

import "time"

// Policy holds the timeouts of failure judgement.
type Policy struct {
	LinkTimeout    time.Duration // silence after which a link is closed
	SuspectTimeout time.Duration // from suspect to dead, unless refuted
	ForgetAfter    time.Duration // from dead to forgotten
}

// Evidence is what one node knows about another at a moment.
type Evidence struct {
	Status         Status
	StatusSince    time.Time
	Neighbour      bool      // this node is to hold a link to the other
	NeighbourSince time.Time // since when it is a neighbour
	LastReceived   time.Time // zero: never in this node's life
	PauseEnd       time.Time // end of this node's own last pause, or its start
}

// Decision is the outcome of a judgement.
type Decision uint8

const (
	// Keep leaves the record as it is.
	Keep Decision = iota
	// MakeSuspect spreads the rumour that the node is not heard.
	MakeSuspect
	// MakeDead records that the suspicion was not refuted in time.
	MakeDead
	// Forget drops the record.
	Forget
)

// Evaluate decides what becomes of a member. It is pure.
//
// A node that was frozen itself has heard nobody for the length of its pause:
// without PauseEnd it would call the whole fleet dead the moment it returns. And a
// node that is still heard on a direct link is never moved to dead by a rumour,
// which a partition between two others may have started.
func Evaluate(now time.Time, e Evidence, p Policy) Decision {
	since := latest(e.LastReceived, e.NeighbourSince, e.PauseEnd)
	silent := now.Sub(since) > p.LinkTimeout
	switch e.Status {
	case Alive:
		if e.Neighbour && silent {
			return MakeSuspect
		}
	case Suspect:
		heard := now.Sub(e.LastReceived) <= p.LinkTimeout
		waited := now.Sub(latest(e.StatusSince, e.PauseEnd))
		if !heard && waited > p.SuspectTimeout {
			return MakeDead
		}
	case Dead:
		if now.Sub(latest(e.StatusSince, e.PauseEnd)) > p.ForgetAfter {
			return Forget
		}
	}
	return Keep
}

func latest(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}
