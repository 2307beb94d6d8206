package soak

import (
	"fmt"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// rolloutTime is what an order gives a roll-out.
	rolloutTime = 5 * time.Second
	// rolloutEnds is how much later one must have ended, once all faults are over.
	rolloutEnds = 15 * time.Second
	// exposureShare and exposureBurst bound the requests that reach a bad version.
	exposureShare = 0.1
	exposureBurst = 50
	// stopWithin is how long after the word that a version was taken back, or after its
	// fiftieth bad answer, requests may reach it.
	stopWithin = 5 * time.Second
)

// versionFaults are the ways of a bad version.
var versionFaults = []fakes.Faults{
	{FailStatus: 500, FailShare: 0.7}, {FailStatus: 500}, {FailStatus: 500, FailShare: 0.6, FailAfter: 1500 * time.Millisecond},
}

// rolledOut is one roll-out of a run.
type rolledOut struct {
	service, version string
	bad              bool
	before           int // requests that had arrived at the service
	ended            bool
}

// rolloutFaults order new versions, good and bad ones by turns.
func (r *platformRun) rolloutFaults() []fault {
	if !r.cfg.Rollouts {
		return nil
	}
	order := func(bad bool) func() func() {
		return func() func() { return r.rollOut([]string{"llm", "app"}[r.rng.IntN(2)], bad) }
	}
	return []fault{
		{"a good version is rolled out", order(false)},
		{"a bad version is rolled out", order(true)},
	}
}

// rollOut orders a version of a service, if none is under way there.
func (r *platformRun) rollOut(service string, bad bool) func() {
	r.freeRollouts()
	if r.rolling[service] != nil {
		return nil
	}
	r.versions++
	o := &rolledOut{service: service, version: fmt.Sprint("v", r.versions+1), bad: bad}
	old, _ := r.ofVersion(o)
	if bad {
		r.mu.Lock()
		r.badVersions[o.version] = versionFaults[r.versions%len(versionFaults)]
		r.mu.Unlock()
	}
	o.before = fakes.CountRuns(r.everAt(service))
	r.store.OrderRollout(service, o.version, rolloutTime)
	r.rolling[service] = o
	for _, like := range old {
		if _, err := r.startReplica(service, int(like.Domain[1]-'0'), like.Engine, o.version); err != nil {
			r.checks.broken("the soak's own replica starts", "", err.Error())
			return nil
		}
	}
	r.watchers.Go(func() { r.watchRollout(o) })
	return nil
}

// ofVersion returns the replicas of the service that serve, those of other versions and
// those of the new one.
func (r *platformRun) ofVersion(o *rolledOut) (old, fresh []*fakes.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.services[o.service] {
		if rep.Version == o.version {
			fresh = append(fresh, rep)
		} else {
			old = append(old, rep)
		}
	}
	return old, fresh
}

// everOf returns all replicas that the new version has had.
func (r *platformRun) everOf(o *rolledOut) (out []*fakes.Replica) {
	for _, rep := range r.everAt(o.service) {
		if rep.Version == o.version {
			out = append(out, rep)
		}
	}
	return out
}

// watchRollout does what follows the system's word, as the platform does it.
func (r *platformRun) watchRollout(o *rolledOut) {
	for !r.stopped.Load() {
		time.Sleep(5 * time.Millisecond)
		state, version := r.store.RolloutState(o.service)
		if version != o.version || state == "in_progress" {
			continue
		}
		r.history.note(o.service + " " + o.version + " " + state)
		if state == "completed" {
			r.completed(o)
		} else {
			r.rolledBack(o)
		}
		return
	}
}

// completed stops the old replicas at once; their entries lapse a little later.
func (r *platformRun) completed(o *rolledOut) {
	if o.bad {
		r.checks.broken("a bad version does not complete", "", o.service+" "+o.version)
	}
	old, _ := r.ofVersion(o)
	for _, rep := range old {
		if r.takeAny(rep) {
			rep.Thaw()
			rep.Crash()
			r.store.Unregister(rep)
		}
	}
	r.endRollout(o)
}

// rolledBack drains the new replicas, which go on serving for a while.
func (r *platformRun) rolledBack(o *rolledOut) {
	time.Sleep(stopWithin)
	before := fakes.CountRuns(r.everOf(o))
	_, fresh := r.ofVersion(o)
	for _, rep := range fresh {
		r.store.Register(rep, true)
		r.takeAny(rep)
	}
	time.Sleep(stopWithin / 5)
	if after := fakes.CountRuns(r.everOf(o)); after > before && !r.calmed.Load() {
		r.history.note(fmt.Sprintf("%d requests reached %s after it was taken back, beside faults", after-before, o.version))
	} else if after > before {
		r.checks.broken("a version that was taken back gets nothing", "", fmt.Sprintf("%d requests at %s", after-before, o.version))
	}
	r.judgeExposure(o)
	for _, rep := range fresh {
		r.store.Unregister(rep)
	}
	r.endRollout(o)
}

// judgeExposure holds a bad version to the bound on requests that reach it.
func (r *platformRun) judgeExposure(o *rolledOut) {
	if !o.bad {
		return
	}
	reached, all := fakes.CountRuns(r.everOf(o)), fakes.CountRuns(r.everAt(o.service))-o.before
	if most := exposureShare*float64(all) + exposureBurst; float64(reached) > most {
		r.checks.broken("few requests reach a bad version", "", fmt.Sprintf("%d of %d at %s", reached, all, o.version))
	}
}

func (r *platformRun) endRollout(o *rolledOut) {
	r.rollMu.Lock()
	defer r.rollMu.Unlock()
	o.ended = true
}

// freeRollouts lets services be rolled out again whose last roll-out has ended.
func (r *platformRun) freeRollouts() (open int) {
	r.rollMu.Lock()
	defer r.rollMu.Unlock()
	for service, o := range r.rolling {
		if o.ended {
			delete(r.rolling, service)
			continue
		}
		open++
	}
	return open
}

// awaitRollouts finds orders that nobody ends.
func (r *platformRun) awaitRollouts() {
	end := time.Now().Add(rolloutTime + rolloutEnds)
	for r.freeRollouts() > 0 && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
	}
	r.rollMu.Lock()
	defer r.rollMu.Unlock()
	for service, o := range r.rolling {
		if !o.ended {
			state, version := r.store.RolloutState(service)
			r.checks.broken("each roll-out ends", "", fmt.Sprintf("%s %s: %s %s", service, o.version, version, state))
		}
	}
}

// everAt returns all replicas that a service has had.
func (r *platformRun) everAt(service string) []*fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]*fakes.Replica(nil), r.services[service]...)
	for _, rep := range r.gone {
		if rep.Service == service {
			out = append(out, rep)
		}
	}
	return out
}
