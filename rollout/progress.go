package rollout

import (
	"fmt"
	"time"
)

// NextRecord says how the record is to change now, if it is to. The event that causes it, by the
// state chart, is decided by this router's knowledge; whether the change is made, by the
// condition that the record is still the one that it knows.
func (r *Rollout) NextRecord(now time.Duration, ready ReplicaCounts) (next Record, revision int64, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event, reason := r.event(now, ready)
	if event == "" {
		return Record{}, 0, false
	}
	next = r.record
	if r.order != nil && r.record.Order != r.order.Revision {
		next = r.record.succeed(*r.order)
	}
	to, err := r.cfg.Chart.Next(string(next.Stage), event)
	if err != nil {
		return Record{}, 0, false // another router was first
	}
	next.Stage, next.Reason = Stage(to), reason
	if r.order != nil {
		next.ElapsedMS = (now - r.began).Milliseconds()
	}
	return next, r.revision, true
}

func (r *Rollout) event(now time.Duration, ready ReplicaCounts) (event, reason string) {
	if r.order == nil {
		// News of the order may be later than those of the record that it caused.
		if r.record.Stage.Open() && (r.withdrawn || now-r.staged >= settle) {
			return eventFailed, "the order was withdrawn"
		}
		return "", ""
	}
	if r.record.Order != r.order.Revision {
		return eventBegin, ""
	}
	switch {
	case !r.record.Stage.Open():
		return "", ""
	case r.bad:
		return eventFailed, "the new version answers worse: " + r.verdict.String()
	case r.record.Stage == Moving:
		if now-r.staged >= settle {
			return eventMoved, ""
		}
		return "", ""
	}
	return r.endTrial(now, ready)
}

// endTrial decides how a trial ends whose time is over.
func (r *Rollout) endTrial(now time.Duration, ready ReplicaCounts) (event, reason string) {
	elapsed := now - r.began
	if elapsed < r.order.moveAt() {
		return "", ""
	}
	missing := r.missing(ready, now)
	switch {
	case missing == "":
		return eventPassed, ""
	case elapsed >= r.order.lateAt():
		return eventFailed, "not ready in time: " + missing
	}
	return "", ""
}

// enoughReady is the part of the old replicas that the new ones have to be, so that all
// work can move to them.
const enoughReady = 0.7

// missing tells what a trial lacks to be passed, "" for nothing.
func (r *Rollout) missing(ready ReplicaCounts, now time.Duration) string {
	answers := r.verdict.Answers
	switch {
	case r.stale:
		return "this router does not hear the store"
	case now-r.staged < r.order.leastTrial():
		return "the trial has just begun"
	case float64(ready.New) < enoughReady*float64(ready.Old) || ready.New == 0:
		return fmt.Sprintf("%d new replicas are ready, %d old ones", ready.New, ready.Old)
	case r.verdict.OtherEvidence >= doubtAt:
		return "doubt: " + r.verdict.String()
	case answers < minAnswers && !r.hardlyAsked():
		return fmt.Sprintf("%d answers of the new version", answers)
	}
	return ""
}

// hardlyAsked tells that the service has so few requests that a trial has no answers.
//
// What goes wrong if that is concluded from the answers that were heard of: a router that
// has just started, or whose links are slow, has heard of few, and ends a trial of which
// others know that it fails. It shows as a bad version that gets all requests for a second.
func (r *Rollout) hardlyAsked() bool { return r.asked*r.cfg.Routers() < fewRequests }

// TrialBlocker tells why a trial that is over does not pass, "" if it does or is not over.
func (r *Rollout) TrialBlocker(now time.Duration, ready ReplicaCounts) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil || r.stage() != Trial || now-r.began < r.order.moveAt() {
		return ""
	}
	return r.missing(ready, now)
}
