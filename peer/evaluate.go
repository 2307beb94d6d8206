package peer

import "time"

// Policy holds the timeouts of failure detection.
type Policy struct {
	LinkTimeout    time.Duration // time without a message after which a link is closed
	SuspectTimeout time.Duration // time from suspect to dead, unless refuted
	ForgetAfter    time.Duration // time from dead until the record is dropped
}

// Evidence is what this node knows about a member at the time of an evaluation.
type Evidence struct {
	Status         Status
	StatusSince    time.Time
	Neighbour      bool      // this node keeps a link to the member
	NeighbourSince time.Time // time when the member became a neighbour
	LastReceived   time.Time // time of the last message from the member; zero if this incarnation received none
	PauseEnd       time.Time // end of this node's last pause, or its start time
}

// Decision is the outcome of an evaluation.
type Decision uint8

const (
	// Keep leaves the member's record as it is.
	Keep Decision = iota
	// MakeSuspect marks the member suspect and reports that to the fleet.
	MakeSuspect
	// MakeDead marks the member dead, because it did not refute the suspicion in time.
	MakeDead
	// Forget drops the member's record, because the member has been dead for longer than
	// Policy.ForgetAfter.
	Forget
)

// Evaluate decides how the record of a member changes. It is a pure function.
//
// A node that was paused received nothing during the pause. If Evaluate did not count
// timeouts from PauseEnd, the node would mark all its neighbours suspect, and suspect
// members dead, as soon as it resumes. A member from which this node still receives on
// a direct link is never marked dead because of another node's suspicion, which may be
// due to a partition between the member and that other node.
func Evaluate(now time.Time, e Evidence, p Policy) Decision {
	since := latest(e.LastReceived, e.NeighbourSince, e.PauseEnd)
	timedOut := now.Sub(since) > p.LinkTimeout
	switch e.Status {
	case Alive:
		if e.Neighbour && timedOut {
			return MakeSuspect
		}
	case Suspect:
		received := now.Sub(e.LastReceived) <= p.LinkTimeout
		waited := now.Sub(latest(e.StatusSince, e.PauseEnd))
		if !received && waited > p.SuspectTimeout {
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
