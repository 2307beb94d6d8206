package rollout

import (
	"fmt"
	"sync"
	"time"

	"wigeondale/chart"
)

// Config of a Rollout.
type Config struct {
	Limits  Limits
	Chart   *chart.Chart
	Routers func() int     // how many routers share the requests
	Random  func() float64 // 0 to 1
	Life    uint64         // of this process, drawn at its start
}

// Ready counts replicas that take work.
type Ready struct {
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
	ration    ration
	rationed  bool
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

// Ordered takes in the order in force.
func (r *Rollout) Ordered(o Order, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order != nil && r.order.Revision == o.Revision {
		return
	}
	r.order, r.withdrawn = &o, false
	r.began = now - newsLag
	r.bad, r.verdict, r.rationed, r.asked = false, Verdict{}, false, 0
	r.evidence = evidence{teller: r.cfg.Random()*float64(r.cfg.Routers()) < tellers}
	clear(r.assigned)
	r.reckon(now)
	r.epoch++
}

// Withdrawn takes note that there is no order any more.
func (r *Rollout) Withdrawn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order != nil {
		r.order, r.withdrawn = nil, true
		r.epoch++
	}
}

// Recorded takes in the record, and the revision that it has.
func (r *Rollout) Recorded(rec Record, revision int64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision {
		return
	}
	r.record, r.revision, r.staged = rec, revision, now
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
		rule.Since = r.revision
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
	if !r.rationed {
		r.ration, r.rationed = newRation(r.cfg.Limits, r.cfg.Routers(), r.cfg.Random()), true
	}
	r.asked++
	tried := now - r.staged
	trial := r.ration.next(r.cfg.Limits.share(tried), float64(tried)/float64(r.order.moveAt()))
	r.assigned[request] = assignment{trial, now}
	return trial
}

// Sent tells that a request was sent.
func (r *Rollout) Sent(request string) {
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

// Next says how the record is to change now, if it is to. The event that causes it, by the
// state chart, is decided by this router's knowledge; whether the change is made, by the
// condition that the record is still the one that it knows.
func (r *Rollout) Next(now time.Duration, ready Ready) (next Record, revision int64, due bool) {
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

func (r *Rollout) event(now time.Duration, ready Ready) (event, reason string) {
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
func (r *Rollout) endTrial(now time.Duration, ready Ready) (event, reason string) {
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
func (r *Rollout) missing(ready Ready, now time.Duration) string {
	answers := r.verdict.Answers
	switch {
	case r.stale:
		return "this router does not hear the store"
	case now-r.staged < r.order.leastTrial():
		return "the trial has just begun"
	case float64(ready.New) < enoughReady*float64(ready.Old) || ready.New == 0:
		return fmt.Sprintf("%d new replicas are ready, %d old ones", ready.New, ready.Old)
	case r.verdict.Evidence >= doubtAt:
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

// Missing tells why a trial that is over does not pass, "" if it does or is not over.
func (r *Rollout) Missing(now time.Duration, ready Ready) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil || r.stage() != Trial || now-r.began < r.order.moveAt() {
		return ""
	}
	return r.missing(ready, now)
}
