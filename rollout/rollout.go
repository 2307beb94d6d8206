package rollout

import (
	"sync"
	"time"

	"wigeondale/chart"
)

// Config of a Rollout.
type Config struct {
	Limits      Limits
	Chart       *chart.Chart
	Routers     func() int     // how many routers share the requests
	Random      func() float64 // 0 to 1
	Incarnation uint64         // of this process, drawn at its start
}

// ReplicaCounts counts replicas that take work.
type ReplicaCounts struct {
	New, Old int
	Domains  int // with replicas of the new version
}

// Rollout is the roll-out of one service as one router sees it. Its methods may be called
// from any goroutine; now never goes back.
type Rollout struct {
	cfg Config

	mu    sync.Mutex
	epoch uint64
	order *Order
	// withdrawn tells that there was an order and is none any more.
	withdrawn bool
	began     time.Duration // of the order, as far as known
	record    Record
	revision  int64 // of the record, 0 for none
	staged    time.Duration
	stale     bool
	bad       bool // this router's verdict, or another one's that it heard
	verdict   Verdict
	domains   int
	ration    *ration               // nil before the first request of the trial
	asked     int                   // requests that came to this router in the trial
	assigned  map[string]assignment // requests that were drawn and are not sent yet
	evidence  evidence
}

// assignment is whether a request is part of the trial, and when it was drawn.
type assignment struct {
	trial bool
	at    time.Duration
}

// New returns a Rollout without an order.
func New(cfg Config) *Rollout {
	return &Rollout{cfg: cfg, assigned: map[string]assignment{}}
}

// SetOrder takes in the order in force.
func (r *Rollout) SetOrder(o Order, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order != nil && r.order.Revision == o.Revision {
		return
	}
	r.order, r.withdrawn = &o, false
	r.began = now - newsLag
	r.bad, r.verdict, r.ration, r.asked = false, Verdict{}, nil, 0
	r.evidence = evidence{teller: r.cfg.Random()*float64(r.cfg.Routers()) < tellers}
	clear(r.assigned)
	r.reckon(now)
	r.epoch++
}

// WithdrawOrder takes note that there is no order any more.
func (r *Rollout) WithdrawOrder() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order != nil {
		r.order, r.withdrawn = nil, true
		r.epoch++
	}
}

// SetRecord takes in the record, and the revision that it has.
func (r *Rollout) SetRecord(rec Record, revision int64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision {
		return
	}
	r.record, r.revision, r.staged = rec, revision, now
	if rec.Stage == Moving {
		r.evidence.frozen = r.evidence.pooledOld(now)
	}
	r.reckon(now)
	r.epoch++
}

// reckon corrects when the order began by what the record says.
func (r *Rollout) reckon(now time.Duration) {
	if r.order != nil && r.record.Order == r.order.Revision {
		r.began = min(r.began, now-time.Duration(r.record.ElapsedMS)*time.Millisecond)
	}
}

// Stage is the stage that this router acts by.
func (r *Rollout) Stage() Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stage()
}

// stage never goes beyond the record, but back at once: who takes the new version to be
// bad does not wait until that is written.
func (r *Rollout) stage() Stage {
	switch {
	case r.order == nil && r.record.Stage.Open():
		return RolledBack
	case r.order != nil && r.record.Order != r.order.Revision:
		return Waiting
	case r.bad && r.record.Stage.Open():
		return RolledBack
	}
	return r.record.Stage
}

// Rule says which replicas may be used.
func (r *Rollout) Rule() Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	rule := Rule{Epoch: r.epoch, Stage: r.stage(), Target: r.record.Target, Barred: r.record.Barred, Stale: r.stale}
	if r.order != nil && r.record.Order != r.order.Revision {
		next := r.record.succeed(*r.order)
		rule.Target, rule.Barred = next.Target, next.Barred
	}
	if rule.Stage == Completed {
		rule.CompletedRevision = r.revision
	}
	return rule
}

// Record returns the record as this router knows it.
func (r *Rollout) Record() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// Order returns the order in force.
func (r *Rollout) Order() (Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil {
		return Order{}, false
	}
	return *r.order, true
}

// assignedFor bounds how long it is remembered that a request is to be tried.
const assignedFor = 30 * time.Second

// Assign tells whether a request, which is new here, is part of the trial. Asked again for
// the same request it says the same, until Sent or Unassign.
func (r *Rollout) Assign(request string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stage() != Trial || r.stale {
		return false
	}
	if known, again := r.assigned[request]; again {
		return known.trial
	}
	if r.ration == nil {
		r.ration = newRation(r.cfg.Limits, r.cfg.Routers(), r.cfg.Random())
	}
	r.asked++
	tried := now - r.staged
	trial := r.ration.next(r.cfg.Limits.share(tried), float64(tried)/float64(r.order.moveAt()))
	r.assigned[request] = assignment{trial, now}
	return trial
}

// MarkSent tells that a request was sent.
func (r *Rollout) MarkSent(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.assigned, request)
}

// Unassign tells that a request could not be sent to the new version. It returns false if
// it was not part of the trial.
func (r *Rollout) Unassign(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.assigned[request]
	if !ok || !known.trial {
		return false
	}
	known.trial = false
	r.assigned[request] = known
	r.ration.giveBack()
	return true
}

// Tick follows the passing of time: fresh tells whether this router hears the store, and
// domains in how many failure domains the new version has replicas. It returns what the
// other routers are to be told, or nil.
func (r *Rollout) Tick(now time.Duration, fresh bool, domains int) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale == fresh {
		r.stale = !fresh
		r.epoch++
	}
	r.domains = domains
	for id, a := range r.assigned {
		if now-a.at > assignedFor {
			delete(r.assigned, id)
		}
	}
	if r.order == nil || !r.record.Stage.Open() || r.record.Order != r.order.Revision {
		return nil
	}
	r.weigh()
	return r.evidence.report(r, now)
}

// weigh takes the new version to be bad if the evidence says so. It never takes that back:
// a version that failed once is not to be tried again without another order.
func (r *Rollout) weigh() {
	if r.bad {
		return
	}
	r.verdict = r.evidence.judge.verdict(r.domains)
	if r.verdict.Bad {
		r.bad = true
		r.epoch++
	}
}

// Verdict is what this router takes the new version for, and whether that is bad.
func (r *Rollout) Verdict() (Verdict, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict, r.bad
}
