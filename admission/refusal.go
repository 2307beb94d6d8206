package admission

import "time"

// RefusalPolicy is a policy that decides which of the requests that wait for an engine are
// refused.
//
// It applies when for some seconds more prompts arrive than engines read. Which policy is
// better depends on how much a late answer is worth to its caller, which only the operator
// knows: serving late answers makes some others late that would have been in time.
type RefusalPolicy string

const (
	// RefuseLate refuses requests that would be late. Requests that can be in time are not
	// delayed by late ones, and the refused clients are told when to come back.
	RefuseLate RefusalPolicy = "late"
	// RefuseUnservable refuses only requests that can't be answered any more. A request that
	// would be late goes behind all requests that can be in time, and only to an engine that
	// is not reading any prompt.
	//
	// With RefuseLate, refused clients come back into the same overload, are late by then, and
	// are refused again. The symptom is callers without any answer in a burst, after which the
	// engines are idle.
	RefuseUnservable RefusalPolicy = "unservable"
)

// RefusalPolicies lists the names of the policies.
func RefusalPolicies() []string {
	return []string{string(RefuseLate), string(RefuseUnservable)}
}

// Sharing is how capacity that is short is divided among client accounts.
type Sharing string

const (
	// ShareByArrival serves the requests of a priority in the order of their first tries, whoever sent them.
	ShareByArrival Sharing = "arrival"
	// ShareByAccount serves the client account first that has used least, by cost.
	ShareByAccount Sharing = "accounts"
)

// Sharings lists the names of the ways to share.
func Sharings() []string { return []string{string(ShareByArrival), string(ShareByAccount)} }

const (
	// waitShare is the part of the target for the first chunk that a request may be expected to
	// wait at this router. The time that remains after reading the prompt is kept for waits
	// that last longer than expected, since half of the waits do.
	waitShare = 0.3
	// A caller is assumed to wait for the first chunk for at most uselessFactor times the
	// target. A first chunk that arrives later is useless.
	uselessFactor = 3
	// answerShare is the part of a caller's remaining time that is reserved for the answer
	// itself.
	answerShare = 0.4
)

// WaitState is what is known about a waiting request.
type WaitState struct {
	Position
	Expected time.Duration // until it is granted a slot; 0 while no estimate is available
	// Saved is the part of the time for reading prompts that the request can't use, since it may only go to
	// engines that more urgent requests could use as well. It can wait at this router for so much longer.
	Saved          time.Duration
	Target         time.Duration // time from the start of the request after which its first chunk is late; 0 for never
	CallerTimeLeft time.Duration // remaining time of its caller; 0 if not known
}

// maxWaitInTime returns how long a request may wait at this router so that its first chunk is
// still expected in time.
// While it precedes others, nothing is kept for unexpected waits: those are the ones to be refused.
func (w WaitState) maxWaitInTime() time.Duration {
	if w.Precedes {
		return RefuseLate.MaxWait(w.Target)
	}
	return min(time.Duration(waitShare*float64(w.Target))+w.Saved, RefuseLate.MaxWait(w.Target))
}

// ToServe returns how many grants the request's expected wait counts: those ahead of it and its own. If less urgent
// requests wait behind it, its own doesn't count: the next slot at this router goes to it, and the others
// are to be refused first. It is refused then when it has waited too long.
//
// Less urgent requests, and those of client accounts over their share, are refused first because more requests go before
// them. No second rule decides that.
func (p Position) ToServe() int {
	if p.Precedes {
		return p.Ahead
	}
	return p.Ahead + 1
}

// InTime reports whether the request's first chunk is still expected in time. It always is if
// Target is 0.
func (w WaitState) InTime() bool { return w.Target <= 0 || w.Waited+w.Expected <= w.maxWaitInTime() }

// servable reports whether the request can still be answered: its whole wait is not longer
// than uselessFactor times Target, and the rest of its wait leaves answerShare of the caller's
// remaining time for the answer.
func (w WaitState) servable() bool {
	if w.Waited+w.Expected > uselessFactor*w.Target {
		return false
	}
	return w.CallerTimeLeft <= 0 || w.Expected <= time.Duration((1-answerShare)*float64(w.CallerTimeLeft))
}

// Refuses reports whether a request is refused now, and after what time its client should come
// back. That time is the expected wait for a slot, but at least the time that the request has
// waited already: since no slot was granted to it in that time, it is not expected to be
// granted one sooner when it comes back.
func (r RefusalPolicy) Refuses(w WaitState) (back time.Duration, refused bool) {
	if w.InTime() || (r == RefuseUnservable && w.servable()) {
		return 0, false
	}
	return max(w.Expected, w.Waited), true
}

// MaxWait returns how long a request may wait, whatever wait is expected: uselessFactor times
// the target for the first chunk under RefuseUnservable, else half of the target.
func (r RefusalPolicy) MaxWait(target time.Duration) time.Duration {
	if r == RefuseUnservable {
		return uselessFactor * target
	}
	return target / 2
}
