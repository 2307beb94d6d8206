package rollout

import (
	"fmt"
	"time"

	"wigeondale/fleet"
)

// NextRecord returns the next state of the record if a change of the record is due now. Which
// event of the state chart has occurred is decided by what this router knows. The caller must
// write the change on condition that the record is still at the returned revision, since
// another router may have changed the record first.
func (r *Rollout) NextRecord(now time.Duration, ready ReplicaCounts) (next Record, revision fleet.Revision, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event, reason := r.event(now, ready)
	if event == "" {
		return Record{}, 0, false
	}
	next = r.record
	if r.order != nil && !r.record.isFor(*r.order) {
		next = r.record.forOrder(*r.order)
	}
	if r.order != nil {
		next.Order = r.order.Revision
	}
	to, err := r.cfg.Chart.Next(string(next.Stage), event)
	if err != nil {
		return Record{}, 0, false // another router made the change first
	}
	next.Stage, next.Reason = Stage(to), reason
	if r.order != nil {
		next.ElapsedMS = (now - r.orderedAt).Milliseconds()
	}
	return next, r.revision, true
}

func (r *Rollout) event(now time.Duration, ready ReplicaCounts) (event, reason string) {
	if r.order == nil {
		// Without an order, an open roll-out fails: at once if the order was withdrawn, and
		// otherwise only after settleTime, since this router may receive the record before the
		// order that caused the record.
		if r.record.Stage.Open() && (r.withdrawn || now-r.stagedAt >= settleTime) {
			return eventFailed, "the order was withdrawn"
		}
		return "", ""
	}
	if !r.record.isFor(*r.order) {
		return eventBegin, ""
	}
	switch {
	case !r.record.Stage.Open():
		return "", ""
	case r.bad:
		return eventFailed, "the new version answers worse: " + r.verdict.String()
	case r.record.Stage == Moving:
		return r.endMove(now)
	}
	return r.endTrial(now, ready)
}

// endMove decides whether the old replicas may stop. That nothing speaks against the new version does
// not suffice: the router may have few answers, or few reports of others. Streams can't go on at the
// new version, so the roll-out waits for those at old replicas as long as its duration allows.
func (r *Rollout) endMove(now time.Duration) (event, reason string) {
	if now-r.stagedAt < settleTime {
		return "", ""
	}
	last := now-r.orderedAt >= r.order.stopAt()
	if missing := r.missingEvidence(now); missing != "" {
		if last {
			return eventFailed, "not shown to be sound in time: " + missing
		}
		return "", ""
	}
	if n := r.runsAtOld(now); n > 0 {
		if !last {
			return "", ""
		}
		return eventMoved, fmt.Sprintf("%d streams still ran at old replicas", n)
	}
	return eventMoved, ""
}

// missingEvidence returns what is missing to show that the new version is sound, now that it gets all
// requests, or "" if nothing is. A service with few requests needs no evidence.
func (r *Rollout) missingEvidence(now time.Duration) string {
	sound := r.evidence.evaluator.evidenceFor()
	reporters := min((r.cfg.Routers()+1)/2, maxReporters)
	switch {
	case r.lowTraffic(now):
		return ""
	case sound < soundEvidence:
		return fmt.Sprintf("evidence for it is %.1f", sound)
	case len(r.evidence.reporters) < reporters:
		return fmt.Sprintf("%d routers have reported answers, %d are needed", len(r.evidence.reporters), reporters)
	}
	return ""
}

// endTrial decides the result of a trial whose time is over: eventPassed or eventFailed. It
// returns an empty event before that time, and while the trial can still succeed later.
func (r *Rollout) endTrial(now time.Duration, ready ReplicaCounts) (event, reason string) {
	elapsed := now - r.orderedAt
	if elapsed < r.order.trialEnd() {
		return "", ""
	}
	missing := r.trialBlocker(ready, now)
	switch {
	case missing == "":
		return eventPassed, ""
	case elapsed >= r.order.giveUpAt():
		return eventFailed, "not ready in time: " + missing
	}
	return "", ""
}

// enoughReady is the least ratio of new to old replicas with which all work can move to the new
// replicas.
const enoughReady = 0.7

// trialBlocker returns the reason why the trial can't succeed now, or "" if the trial can
// succeed now.
func (r *Rollout) trialBlocker(ready ReplicaCounts, now time.Duration) string {
	answers := r.verdict.Answers
	switch {
	case r.stale:
		return "this router does not hear the store"
	case now-r.stagedAt < r.order.minTrialAfterStart():
		return "the trial has just begun"
	case float64(ready.New) < enoughReady*float64(ready.Old) || ready.New == 0:
		return fmt.Sprintf("%d new replicas are ready, %d old ones", ready.New, ready.Old)
	case r.verdict.OtherEvidence >= maxOtherEvidence:
		return "doubt: " + r.verdict.String()
	case answers < minAnswers && !r.lowTraffic(now):
		return fmt.Sprintf("%d answers of the new version", answers)
	}
	return ""
}

// lowTraffic reports whether the service has so few requests that a trial may get no answers. It is
// known only if enough of the routers that always report say so: one of many routers may have no request by
// chance, and a router that has just started, or whose links are slow, knows of few answers. It would
// pass a trial that other routers know to fail, and the bad version would get all requests.
func (r *Rollout) lowTraffic(now time.Duration) bool {
	routers := r.cfg.Routers()
	if r.requests*routers >= fewRequests || r.evidence.evaluator.answers >= fewRequests {
		return false
	}
	reporters, answers := r.evidence.recentAnswers(now)
	if reporters < min(routers-1, enoughReporters) {
		return false
	}
	return answers*routers < fewRequests*(reporters+1)
}

// TrialBlocker returns the reason why the trial can't succeed now, although the time of the
// trial is over. It returns "" if the trial can succeed now, if the time of the trial is not
// over, or if no trial is in progress.
func (r *Rollout) TrialBlocker(now time.Duration, ready ReplicaCounts) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil || r.stage() != Trial || now-r.orderedAt < r.order.trialEnd() {
		return ""
	}
	return r.trialBlocker(ready, now)
}
