package soak

import (
	"fmt"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// rolloutTime is the time within which an order asks the routers to complete a
	// roll-out.
	rolloutTime = 5 * time.Second
	// rolloutGrace is how much longer a roll-out may take after all faults have ended.
	rolloutGrace = 15 * time.Second
	// exposureShare and exposureBurst bound the requests that reach a bad version: a share of the
	// service's requests since the order, plus a number.
	exposureShare = 0.1
	exposureBurst = 50
	// rollbackTime is how long requests may still reach a version after the report that it was rolled
	// back, or after its fiftieth bad response.
	rollbackTime = 5 * time.Second
)

// versionFaults lists the faults that a bad version can have.
var versionFaults = []fakes.Faults{
	{FailStatus: 500, FailShare: 0.7}, {FailStatus: 500}, {FailStatus: 500, FailShare: 0.6, FailAfter: 1500 * time.Millisecond},
}

// rolloutOrder is one roll-out that a run has ordered.
type rolloutOrder struct {
	service, version string
	bad              bool
	requestsBefore   int // requests that the service had run before the order
	ended            bool
}

// rolloutFaults returns the faults that order roll-outs of good and bad versions.
func (r *platformRun) rolloutFaults() []fault {
	if !r.cfg.Rollouts {
		return nil
	}
	order := func(bad bool) func() func() {
		return func() func() { return r.orderRollout([]string{"llm", "app"}[r.rng.IntN(2)], bad) }
	}
	return []fault{
		{"a good version is rolled out", order(false)},
		{"a bad version is rolled out", order(true)},
	}
}

// orderRollout orders a new version of a service and starts its replicas, unless a roll-out of the
// service is in progress.
func (r *platformRun) orderRollout(service string, bad bool) func() {
	r.dropEndedRollouts()
	if r.rollouts[service] != nil {
		return nil
	}
	r.orderedVersions++
	o := &rolloutOrder{service: service, version: fmt.Sprint("v", r.orderedVersions+1), bad: bad}
	old, _ := r.servingByVersion(o)
	if bad {
		r.mu.Lock()
		r.badVersions[o.version] = versionFaults[r.orderedVersions%len(versionFaults)]
		r.mu.Unlock()
	}
	o.requestsBefore = fakes.CountRuns(r.allOfService(service))
	r.store.OrderRollout(service, o.version, rolloutTime)
	r.rollouts[service] = o
	for _, rep := range old {
		if _, err := r.startReplica(service, int(rep.Domain[1]-'0'), rep.Engine, o.version); err != nil {
			r.checks.violated("the soak's own replica starts", "", err.Error())
			return nil
		}
	}
	r.watchers.Go(func() { r.watchRollout(o) })
	return nil
}

// servingByVersion returns the serving replicas of the roll-out's service: those of other versions
// and those of the new one.
func (r *platformRun) servingByVersion(o *rolloutOrder) (old, newReplicas []*fakes.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.services[o.service] {
		if rep.Version == o.version {
			newReplicas = append(newReplicas, rep)
		} else {
			old = append(old, rep)
		}
	}
	return old, newReplicas
}

// allOfVersion returns all replicas that have ever run the new version.
func (r *platformRun) allOfVersion(o *rolloutOrder) (out []*fakes.Replica) {
	for _, rep := range r.allOfService(o.service) {
		if rep.Version == o.version {
			out = append(out, rep)
		}
	}
	return out
}

// watchRollout waits for the router's report that a roll-out has ended, and then does what the
// platform does: it stops the old replicas, or drains the new ones.
func (r *platformRun) watchRollout(o *rolloutOrder) {
	for !r.stopped.Load() {
		time.Sleep(5 * time.Millisecond)
		state, version := r.store.RolloutState(o.service)
		if version != o.version || state == "in_progress" {
			continue
		}
		r.history.add(o.service + " " + o.version + " " + state)
		if state == "completed" {
			r.finishCompleted(o)
		} else {
			r.finishRolledBack(o)
		}
		return
	}
}

// finishCompleted crashes the old replicas at once and then removes their entries from the store.
func (r *platformRun) finishCompleted(o *rolloutOrder) {
	if o.bad {
		r.checks.violated("a bad version does not complete", "", o.service+" "+o.version)
	}
	old, _ := r.servingByVersion(o)
	for _, rep := range old {
		if r.remove(rep) {
			rep.Thaw()
			rep.Crash()
			r.store.Unregister(rep)
		}
	}
	r.endRollout(o)
}

// finishRolledBack drains the new replicas and removes their entries later. It checks that no requests
// reach them after rollbackTime.
func (r *platformRun) finishRolledBack(o *rolloutOrder) {
	time.Sleep(rollbackTime)
	before := fakes.CountRuns(r.allOfVersion(o))
	_, newReplicas := r.servingByVersion(o)
	for _, rep := range newReplicas {
		r.store.Register(rep, true)
		r.remove(rep)
	}
	time.Sleep(rollbackTime / 5)
	if after := fakes.CountRuns(r.allOfVersion(o)); after > before && !r.faultsEnded.Load() {
		r.history.add(fmt.Sprintf("%d requests reached %s after it was taken back, beside faults", after-before, o.version))
	} else if after > before {
		r.checks.violated("a version that was taken back gets nothing", "", fmt.Sprintf("%d requests at %s", after-before, o.version))
	}
	r.checkExposure(o)
	for _, rep := range newReplicas {
		r.store.Unregister(rep)
	}
	r.endRollout(o)
}

// checkExposure records a violation if more requests reached a bad version than
// exposureShare and exposureBurst allow.
func (r *platformRun) checkExposure(o *rolloutOrder) {
	if !o.bad {
		return
	}
	reached, all := fakes.CountRuns(r.allOfVersion(o)), fakes.CountRuns(r.allOfService(o.service))-o.requestsBefore
	if limit := exposureShare*float64(all) + exposureBurst; float64(reached) > limit {
		r.checks.violated("few requests reach a bad version", "", fmt.Sprintf("%d of %d at %s", reached, all, o.version))
	}
}

func (r *platformRun) endRollout(o *rolloutOrder) {
	r.rolloutMu.Lock()
	defer r.rolloutMu.Unlock()
	o.ended = true
}

// dropEndedRollouts removes from rollouts those that have ended, so that their services can
// be rolled out again. It returns the number of roll-outs that are still open.
func (r *platformRun) dropEndedRollouts() (open int) {
	r.rolloutMu.Lock()
	defer r.rolloutMu.Unlock()
	for service, o := range r.rollouts {
		if o.ended {
			delete(r.rollouts, service)
			continue
		}
		open++
	}
	return open
}

// awaitRollouts waits for all roll-outs to end, and records a violation for each that does not.
func (r *platformRun) awaitRollouts() {
	deadline := time.Now().Add(rolloutTime + rolloutGrace)
	for r.dropEndedRollouts() > 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	r.rolloutMu.Lock()
	defer r.rolloutMu.Unlock()
	for service, o := range r.rollouts {
		if !o.ended {
			state, version := r.store.RolloutState(service)
			r.checks.violated("each roll-out ends", "", fmt.Sprintf("%s %s: %s %s", service, o.version, version, state))
		}
	}
}

// allOfService returns all replicas that a service has ever had.
func (r *platformRun) allOfService(service string) []*fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]*fakes.Replica(nil), r.services[service]...)
	for _, rep := range r.formerReplicas {
		if rep.Service == service {
			out = append(out, rep)
		}
	}
	return out
}
