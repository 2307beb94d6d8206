package hosted

import (
	"sync/atomic"
	"time"

	"wigeondale/clock"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/rollout"
	"wigeondale/routing"
)

// serviceRollout is the roll-out of one service, with the state that only this node needs.
type serviceRollout struct {
	*rollout.Rollout
	service         string
	partition       atomic.Pointer[partition]
	sawOtherVersion atomic.Bool // replicas of a version other than the target were seen
	writing         atomic.Bool
	retryAt         atomic.Int64 // time on the boot clock

	// Only the goroutine that calls tick uses the following fields: what was logged last, and
	// since when a change is due.
	logged        rollout.Stage
	stageSince    time.Duration // start of the stage that was logged last
	loggedBad     bool
	loggedBlocker string
	dueSince      time.Duration // since when a change of the record is due; 0 while none is
}

// partition holds the replicas of a service, divided by the rule that was in force at an
// epoch.
type partition struct {
	of      []routing.Candidate
	epoch   uint64
	allowed []routing.Candidate // for attempts that are not part of the trial
	trial   []routing.Candidate // for attempts that are part of the trial
}

// candidates returns the replicas among all that an attempt may use. The partition is
// recomputed only when the replicas or the rule have changed.
func (o *serviceRollout) candidates(all []routing.Candidate, trial bool, limits rollout.Limits) []routing.Candidate {
	rule := o.Rule()
	s := o.partition.Load()
	if s == nil || s.epoch != rule.Epoch || !sameList(s.of, all) {
		s = o.partitionBy(all, &rule, limits)
		o.partition.Store(s)
	}
	if trial {
		return s.trial
	}
	return s.allowed
}

// sameList reports whether two slices are the same list. It compares the addresses of the
// first elements, which suffices since lists are never modified in place.
func sameList(a, b []routing.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (o *serviceRollout) partitionBy(all []routing.Candidate, rule *rollout.Rule, limits rollout.Limits) *partition {
	s := &partition{of: all, epoch: rule.Epoch}
	var ofTarget []fleet.Backend
	for i := range all {
		b := all[i].Backend
		if b.Version != rule.Target {
			o.sawOtherVersion.Store(true)
		}
		if rule.AllowsTrial(b) {
			ofTarget = append(ofTarget, *b)
		}
		if rule.Allows(b) {
			s.allowed = append(s.allowed, all[i])
		}
	}
	if len(s.allowed) == 0 && !o.sawOtherVersion.Load() {
		s.allowed = all // the service never had another version
	}
	set := rollout.TrialReplicas(ofTarget, limits)
	for i := range all {
		if set[all[i].Backend.ID] {
			s.trial = append(s.trial, all[i])
		}
	}
	return s
}

// candidates returns the replicas that the next attempt of a request may use: all replicas of
// the service if it never had a roll-out and the request is no stream.
func (p *picker) candidates(a generation.PickRequest) []routing.Candidate {
	if a.Binding != nil {
		return p.boundReplicas(a.Service, a.Binding)
	}
	all := p.dir.Service(a.Service)
	ro := p.rollouts.of(a.Service)
	if ro == nil {
		return p.beginnable(a, all)
	}
	// An attempt after a lost attempt, and the attempt of a returning client, go to a version
	// that is known to work.
	firstAttempt := !a.IsRetry && !a.Resume && len(a.PromptParts) == 0
	trial := firstAttempt && p.mayBeginAt(a, ro.Rule().Target) && ro.Assign(a.RequestID, clock.SinceBoot())
	return p.beginnable(a, ro.candidates(all, trial, p.rollouts.currentLimits()))
}

// mayBeginAt reports whether an attempt may be the beginning of a stream at a version, or is no
// stream.
func (p *picker) mayBeginAt(a generation.PickRequest, version string) bool {
	return !a.Stream || p.software == nil || p.software.tracker.MayBegin(a.Service, version, clock.SinceBoot())
}

// allowedReplicas returns the replicas of a service that an attempt may use if the attempt is
// not part of a trial.
func (p *picker) allowedReplicas(service string) []routing.Candidate {
	all := p.dir.Service(service)
	if ro := p.rollouts.of(service); ro != nil {
		return ro.candidates(all, false, p.rollouts.currentLimits())
	}
	return all
}

// allowed reports whether an attempt that is not part of a trial may use a replica; it returns
// false for an unknown replica.
func (p *picker) allowed(id string) bool {
	b, ok := p.dir.Backend(id)
	if !ok {
		return false
	}
	ro := p.rollouts.of(b.Service)
	if ro == nil {
		return true
	}
	rule := ro.Rule()
	return rule.Allows(&b) || !ro.sawOtherVersion.Load()
}
