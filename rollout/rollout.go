package rollout

import (
	"sync"
	"time"

	"wigeondale/chart"
	"wigeondale/fleet"
)

// Config holds the parameters of a Rollout.
type Config struct {
	Limits      Limits
	Chart       *chart.Chart
	Routers     func() int     // number of routers that share the requests
	Random      func() float64 // uniform in [0, 1)
	Incarnation uint64         // random number drawn at process start; identifies this run of the router
}

// ReplicaCounts counts the replicas of a service that accept work.
type ReplicaCounts struct {
	New, Old int
	Domains  int // failure domains that have replicas of the new version, healthy or not
}

// Rollout is the state of one service's roll-out, as one router knows it. Its methods are safe for
// concurrent use; the time passed as now must never go back.
type Rollout struct {
	cfg Config

	mu    sync.Mutex
	epoch uint64
	order *Order
	// withdrawn is true after the order in force was removed, until another order is set.
	withdrawn   bool
	orderedAt   time.Duration // estimated time at which the order was given
	record      Record
	completedAt fleet.Revision // at which the record said first that the roll-out has completed
	revision    fleet.Revision // store revision of record, 0 if there is no record yet
	stagedAt    time.Duration
	stale       bool
	bad         bool // the new version was found bad, by this router or by another router that reported it
	verdict     Verdict
	domains     int
	quota       *quota                // nil before the first request of the trial
	requests    int                   // requests that arrived at this router during the trial
	assigned    map[string]assignment // requests that are assigned to a version and not sent yet
	evidence    evidence
	oldRuns     int // streams of this router at replicas of other versions than the target
}

// assignment records whether a request is part of the trial, and when that was decided.
type assignment struct {
	trial bool
	at    time.Duration
}

// New returns a Rollout that has no order.
func New(cfg Config) *Rollout {
	return &Rollout{cfg: cfg, assigned: map[string]assignment{}}
}

// SetOrder sets the order in force. If the order has another revision than the previous order,
// all evidence collected under the previous order is discarded.
func (r *Rollout) SetOrder(o Order, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order != nil && r.order.Revision == o.Revision {
		return
	}
	if r.order != nil && r.order.rewrittenAs(o) {
		r.order.Revision = o.Revision
		return
	}
	r.order, r.withdrawn = &o, false
	r.orderedAt = now - storeLag
	r.bad, r.verdict, r.quota, r.requests = false, Verdict{}, nil, 0
	r.evidence = evidence{sendsOld: r.cfg.Random()*float64(r.cfg.Routers()) < oldReporters}
	clear(r.assigned)
	r.adjustStart(now)
	r.epoch++
}

// WithdrawOrder removes the order in force. A roll-out that is open is then rolled back.
func (r *Rollout) WithdrawOrder() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order != nil {
		r.order, r.withdrawn = nil, true
		r.epoch++
	}
}

// SetRecord applies a record read from the store, unless this router already knows the record
// at this revision or a later one.
func (r *Rollout) SetRecord(rec Record, revision fleet.Revision, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision {
		return
	}
	if revision.Era() > r.revision.Era() && rec.sameAs(r.record) {
		r.revision = revision // the store has come back from a copy, and has the record still or again
		return
	}
	r.record, r.revision, r.stagedAt = rec, revision, now
	if rec.Stage == Completed {
		r.completedAt = revision
	}
	if rec.Stage == Moving {
		r.evidence.widened(now)
	}
	r.adjustStart(now)
	r.epoch++
}

// adjustStart moves the estimated time of the order back if the record reports that more time
// has elapsed since the order.
func (r *Rollout) adjustStart(now time.Duration) {
	if r.order != nil && r.record.isFor(*r.order) {
		r.orderedAt = min(r.orderedAt, now-time.Duration(r.record.ElapsedMS)*time.Millisecond)
	}
}

// Stage returns the stage by which this router acts; it can differ from the recorded stage.
func (r *Rollout) Stage() Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage()
}

// stage returns the recorded stage, with two exceptions. First, a roll-back takes effect at
// once: a router that found the new version bad, or whose order was withdrawn, does not wait
// until the roll-back is written to the store. Second, until the record for a new order is
// written, the stage is Waiting.
func (r *Rollout) stage() Stage {
	switch {
	case r.order == nil && r.record.Stage.Open():
		return RolledBack
	case r.order != nil && !r.record.isFor(*r.order):
		return Waiting
	case r.bad && r.record.Stage.Open():
		return RolledBack
	}
	return r.record.Stage
}

// Rule returns the rule by which replicas may be used at present.
func (r *Rollout) Rule() Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	rule := Rule{Epoch: r.epoch, Stage: r.stage(), Target: r.record.Target, Barred: r.record.Barred, Stale: r.stale}
	if r.order != nil && !r.record.isFor(*r.order) {
		next := r.record.forOrder(*r.order)
		rule.Target, rule.Barred = next.Target, next.Barred
	}
	if rule.Stage == Completed {
		rule.CompletedRevision = r.completedAt
	}
	return rule
}

// Record returns the latest record that this router knows.
func (r *Rollout) Record() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// Order returns the order in force, and false if there is none.
func (r *Rollout) Order() (Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil {
		return Order{}, false
	}
	return *r.order, true
}

// assignmentTTL bounds how long the assignment of a request that was never sent is kept.
const assignmentTTL = 30 * time.Second

// Assign reports whether a request that is new at this router is part of the trial. Further calls
// for the same request return the same result until the request is sent or taken out of the trial.
func (r *Rollout) Assign(request string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stage() != Trial || r.stale {
		return false
	}
	if known, ok := r.assigned[request]; ok {
		return known.trial
	}
	if r.quota == nil {
		r.quota = newQuota(r.cfg.Limits, r.cfg.Routers(), r.cfg.Random())
	}
	r.requests++
	trialTime := now - r.stagedAt
	trial := r.quota.admit(r.cfg.Limits.share(trialTime), float64(trialTime)/float64(r.order.trialEnd()))
	r.assigned[request] = assignment{trial, now}
	return trial
}

// SetLimits changes the limits, also those of a running trial.
func (r *Rollout) SetLimits(l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.Limits = l
	if r.quota != nil {
		r.quota.setBurst(l, r.cfg.Routers())
	}
}

// MarkSent drops the assignment of a request that was sent, since the assignment is needed only
// while the request waits.
func (r *Rollout) MarkSent(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.assigned, request)
}

// Unassign takes a request that could not be sent to the new version out of the trial. It returns
// false if the request was not part of the trial.
func (r *Rollout) Unassign(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.assigned[request]
	if !ok || !known.trial {
		return false
	}
	known.trial = false
	r.assigned[request] = known
	r.quota.undo()
	return true
}

// Tick updates the roll-out at the given time. current reports whether this router's copy of the
// store is up to date; domains is the number of failure domains with replicas of the new version.
// It returns the report to broadcast to the other routers, or nil if no report is due.
func (r *Rollout) Tick(now time.Duration, current bool, domains int) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale == current {
		r.stale = !current
		r.epoch++
	}
	r.domains = domains
	for id, a := range r.assigned {
		if now-a.at > assignmentTTL {
			delete(r.assigned, id)
		}
	}
	if r.order == nil || !r.record.Stage.Open() || !r.record.isFor(*r.order) {
		return nil
	}
	r.evaluate()
	return r.evidence.nextReport(r, now)
}

// SetOldRuns states how many streams of this router run at replicas of other versions than the
// target.
func (r *Rollout) SetOldRuns(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oldRuns = n
}

// runsAtOld returns how many streams of all routers run at replicas of other versions than the
// target, as far as it is known.
func (r *Rollout) runsAtOld(now time.Duration) int {
	n := r.oldRuns
	for _, rep := range r.evidence.peerReports {
		if now-rep.receivedAt <= runsMaxAge {
			n += rep.oldRuns
		}
	}
	return n
}

// evaluate marks the new version as bad if the evidence is sufficient. The decision is never
// reversed: a version that failed once is not tried again without another order.
func (r *Rollout) evaluate() {
	if r.bad {
		return
	}
	r.verdict = r.evidence.evaluator.verdict(r.domains)
	if r.verdict.Bad {
		r.bad = true
		r.epoch++
	}
}

// Verdict returns this router's evaluation of the new version, and whether the version is
// considered bad.
func (r *Rollout) Verdict() (Verdict, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict, r.bad
}
