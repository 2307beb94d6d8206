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

// serviceRollout is the roll-out of one service, with what this node does about it.
type serviceRollout struct {
	*rollout.Rollout
	service string
	split   atomic.Pointer[split]
	others  atomic.Bool // replicas of another version than the target were seen
	writing atomic.Bool
	retryAt atomic.Int64 // on the boot clock

	// Of the goroutine that ticks: what was logged last, and what is due.
	logged        rollout.Stage
	stageSince    time.Duration // of the stage that was logged last
	loggedBad     bool
	loggedMissing string
	dueSince      time.Duration // a change of the record; 0 while none is due
}

// split is the replicas of a service, divided by a rule.
type split struct {
	of      []routing.Candidate
	epoch   uint64
	allowed []routing.Candidate // to all attempts but those on trial
	tried   []routing.Candidate // by those on trial
}

// among returns the replicas that an attempt may use. It is made anew only when the
// replicas or the rule have changed.
func (o *serviceRollout) among(all []routing.Candidate, trial bool, limits rollout.Limits) []routing.Candidate {
	rule := o.Rule()
	s := o.split.Load()
	if s == nil || s.epoch != rule.Epoch || !sameList(s.of, all) {
		s = o.divide(all, &rule, limits)
		o.split.Store(s)
	}
	if trial {
		return s.tried
	}
	return s.allowed
}

// sameList tells whether two lists are one and the same; lists are never changed in place.
func sameList(a, b []routing.Candidate) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (o *serviceRollout) divide(all []routing.Candidate, rule *rollout.Rule, limits rollout.Limits) *split {
	s := &split{of: all, epoch: rule.Epoch}
	var ofTarget []fleet.Backend
	for i := range all {
		b := &all[i].Backend
		if b.Version != rule.Target {
			o.others.Store(true)
		}
		if rule.AllowsTrial(b) {
			ofTarget = append(ofTarget, *b)
		}
		if rule.Allows(b) {
			s.allowed = append(s.allowed, all[i])
		}
	}
	if len(s.allowed) == 0 && !o.others.Load() {
		s.allowed = all // the service never had another version
	}
	set := rollout.TrialReplicas(ofTarget, limits)
	for i := range all {
		if set[all[i].Backend.ID] {
			s.tried = append(s.tried, all[i])
		}
	}
	return s
}

// candidates are the replicas that the next attempt of a request may use.
func (p *picker) candidates(a generation.PickRequest) []routing.Candidate {
	all := p.dir.Service(a.Service)
	one := p.rollouts.of(a.Service)
	if one == nil {
		return all
	}
	// What follows a lost attempt, and a client that came back, goes where it surely is served.
	first := !a.IsRetry && !a.Resume && len(a.PromptParts) == 0
	return one.among(all, first && one.Assign(a.RequestID, clock.SinceBoot()), p.rollouts.limits)
}

// allowedReplicas are those that any attempt may use that is not on trial.
func (p *picker) allowedReplicas(service string) []routing.Candidate {
	all := p.dir.Service(service)
	if one := p.rollouts.of(service); one != nil {
		return one.among(all, false, p.rollouts.limits)
	}
	return all
}

// allowed tells whether any attempt may use a replica that is not on trial.
func (p *picker) allowed(id string) bool {
	b, ok := p.dir.Backend(id)
	if !ok {
		return false
	}
	one := p.rollouts.of(b.Service)
	if one == nil {
		return true
	}
	rule := one.Rule()
	return rule.Allows(&b) || !one.others.Load()
}
