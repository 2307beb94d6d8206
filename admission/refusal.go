package admission

import "time"

// RefusalPolicy is a way to decide who of those that wait for an engine is refused.
//
// The load that it answers: for some seconds more prompts come than engines read. Which way
// is better depends on what a late answer is worth to its caller, which only the operator
// knows: serving late answers costs some of those that come in time.
type RefusalPolicy string

const (
	// RefuseLate refuses who would be late. Those that come in time keep their time, and
	// the others are told when to come back.
	RefuseLate RefusalPolicy = "late"
	// RefuseUnservable refuses only who could not be answered any more. Who would be late
	// goes behind all that can be in time, and only to an engine that reads nothing.
	//
	// What goes wrong with RefuseLate: who is refused comes back into the same crowd, is late
	// by then, and is refused again. It shows as callers without any answer in a burst, after
	// which the engines idle.
	RefuseUnservable RefusalPolicy = "unservable"
)

// RefusalPolicies lists the ways by their names.
func RefusalPolicies() []string {
	return []string{string(RefuseLate), string(RefuseUnservable)}
}

const (
	// waitShare is the part of the time to a late first piece for which a request may be
	// expected to wait here. What is left beside the time for reading is for waits that
	// last longer than expected: half of them do.
	waitShare = 0.3
	// uselessAfter is how many times that time a caller waits for a first piece at most.
	uselessAfter = 3
	// answerShare is the part of what is left of a caller's time that is kept for the
	// answer itself.
	answerShare = 0.4
)

// WaitState is what is known of a request that waits.
type WaitState struct {
	Position
	Expected       time.Duration // until its turn; 0 while no pace is known
	Target         time.Duration // when its first piece is late, from its begin; 0 for never
	CallerTimeLeft time.Duration // of its caller's time; 0 when that isn't known
}

// latest is how long a request may wait here and be in time.
func (w WaitState) latest() time.Duration { return time.Duration(waitShare * float64(w.Target)) }

// InTime tells whether its first piece is still expected in time.
func (w WaitState) InTime() bool { return w.Target <= 0 || w.Waited+w.Expected <= w.latest() }

// servable tells whether it can still be answered.
func (w WaitState) servable() bool {
	if w.Waited+w.Expected > uselessAfter*w.Target {
		return false
	}
	return w.CallerTimeLeft <= 0 || w.Expected <= time.Duration((1-answerShare)*float64(w.CallerTimeLeft))
}

// Refuses tells whether a request is refused now, and when it is to come back: not before
// its turn would have come. Who has waited in vain would not have its turn sooner than
// that either.
func (r RefusalPolicy) Refuses(w WaitState) (back time.Duration, refused bool) {
	if w.InTime() || (r == RefuseUnservable && w.servable()) {
		return 0, false
	}
	return max(w.Expected, w.Waited), true
}

// MaxWait is how long a request may wait, whatever is expected.
func (r RefusalPolicy) MaxWait(target time.Duration) time.Duration {
	if r == RefuseUnservable {
		return uselessAfter * target
	}
	return target / 2
}
