package order

import (
	"fmt"
	"slices"
	"time"

	"wigeondale/fleet"
	"wigeondale/intent"
)

// View is the information about the fleet from which one round determines its orders.
type View struct {
	Backends []fleet.Backend
	Status   map[string]Status // by backend server id; backend servers that didn't answer are absent
	Weights  map[string]int64  // size in bytes, by ModelRef.String()
}

// Step is an order for one backend server.
type Step struct {
	Backend fleet.Backend
	Order   Order
}

// Progress records, for each model, the time since which every placed version of the model
// is served by every backend server that is to have the version. A model without an entry
// has no placed version, or has one that is not served everywhere yet.
type Progress struct {
	since map[string]time.Time
}

// Next returns the orders of one round. An order contains the complete set of versions that
// the backend server is to have now: the versions that it has and may keep, and the loads
// of the current wave. A backend server that already reports the state that the order would
// request gets no order.
func Next(s *intent.State, v View, p Policy, progress *Progress, now time.Time) []Step {
	progress.update(s, v, now)
	wave := currentWave(s, v, p)
	var steps []Step
	for _, b := range v.Backends {
		status, answered := v.Status[b.ID]
		if b.Kind != fleet.Engine || !answered {
			continue
		}
		o := Order{Plan: fmt.Sprintf("r-%d", s.Revision), Role: role(s, b, status)}
		// An order never revokes Leaving: an engine may be shutting down by its own
		// decision, and would then get new requests that it is about to abort.
		o.Leaving = status.Leaving || s.Leaving(b.VM)
		o.Desired = desiredNow(s, b, status, wave[b.ID], progress.unloadAllowed(p, now))
		if orderInEffect(s, b, o, status) {
			continue
		}
		steps = append(steps, Step{Backend: b, Order: o})
	}
	return steps
}

// orderInEffect reports whether b is already in the state that the order would request.
func orderInEffect(s *intent.State, b fleet.Backend, o Order, st Status) bool {
	if o.Leaving != st.Leaving || (st.Role != "" && o.Role != st.Role) {
		return false
	}
	_, placed := s.Placement[b.ID]
	return !placed || sameSet(o.Desired, st.Desired)
}

func role(s *intent.State, b fleet.Backend, st Status) string {
	if r := s.Placement[b.ID].Role; r != "" {
		return r
	}
	if st.Role != "" {
		return st.Role
	}
	return "both"
}

// desiredNow returns the versions that b is to have now. An old version stays until
// every backend server that is to get a version of that model serves it, and for
// UnloadGrace after that.
func desiredNow(s *intent.State, b fleet.Backend, st Status, loads []fleet.ModelRef, mayUnload func(string) bool) []fleet.ModelRef {
	placement, placed := s.Placement[b.ID]
	if !placed {
		return st.Actual
	}
	var out []fleet.ModelRef
	for _, ref := range st.Actual {
		if slices.Contains(placement.Desired, ref) || !mayUnload(ref.Model) {
			out = append(out, ref)
		}
	}
	for _, ref := range placement.Desired {
		started := slices.Contains(st.Loading, ref) || slices.Contains(loads, ref)
		if started && !slices.Contains(out, ref) {
			out = append(out, ref)
		}
	}
	return out
}

// currentWave returns the loads that should be running: the loads that are running already,
// and as many more as the weight store's budget for one wave allows.
func currentWave(s *intent.State, v View, p Policy) map[string][]fleet.ModelRef {
	running, waiting, hosts := missingLoads(s, v)
	out := map[string][]fleet.ModelRef{}
	add := func(loads []intent.Load) {
		for _, l := range loads {
			if !slices.Contains(out[l.Backend], l.Ref) {
				out[l.Backend] = append(out[l.Backend], l.Ref)
			}
		}
	}
	if waves := intent.Waves(slices.Concat(running, waiting), p.WeightRate, hosts); len(waves) > 0 {
		add(waves[0].Loads)
	}
	add(running)
	return out
}

// missingLoads returns the loads of the placed versions that their engines don't serve yet,
// and the number of engines whose status is in v. A load is running if the engine reports
// that it is loading the version, or if the engine's last order contains the version. The
// other loads are waiting. A leaving VM has no loads, but its engines are counted.
func missingLoads(s *intent.State, v View) (running, waiting []intent.Load, hosts int) {
	for _, b := range v.Backends {
		st, ok := v.Status[b.ID]
		if !ok || b.Kind != fleet.Engine {
			continue
		}
		hosts++
		for _, ref := range s.Placement[b.ID].Desired {
			if slices.Contains(st.Actual, ref) || s.Leaving(b.VM) {
				continue
			}
			l := intent.Load{Backend: b.ID, Ref: ref, Bytes: v.Weights[ref.String()]}
			if slices.Contains(st.Loading, ref) || slices.Contains(st.Desired, ref) {
				running = append(running, l)
				continue
			}
			waiting = append(waiting, l)
		}
	}
	return running, waiting, hosts
}

// update records, for each model, the time since which all its placed versions are served.
// A backend server that doesn't answer counts as not serving; a backend server that is
// leaving doesn't count at all.
func (p *Progress) update(s *intent.State, v View, now time.Time) {
	if p.since == nil {
		p.since = map[string]time.Time{}
	}
	pending := map[string]bool{}
	placed := map[string]bool{}
	for _, b := range v.Backends {
		if s.Leaving(b.VM) || b.Leaving {
			continue
		}
		for _, ref := range s.Placement[b.ID].Desired {
			placed[ref.Model] = true
			if !slices.Contains(v.Status[b.ID].Actual, ref) {
				pending[ref.Model] = true
			}
		}
	}
	for model := range p.since {
		if pending[model] || !placed[model] {
			delete(p.since, model)
		}
	}
	for model := range placed {
		if _, known := p.since[model]; !known && !pending[model] {
			p.since[model] = now
		}
	}
}

// unloadAllowed returns a function that reports whether a model's old versions may be
// unloaded: all its placed versions have been served for UnloadGrace.
func (p *Progress) unloadAllowed(policy Policy, now time.Time) func(model string) bool {
	return func(model string) bool {
		since, ok := p.since[model]
		return ok && now.Sub(since) >= policy.UnloadGrace
	}
}

func sameSet(a, b []fleet.ModelRef) bool {
	if len(a) != len(b) {
		return false
	}
	for _, ref := range a {
		if !slices.Contains(b, ref) {
			return false
		}
	}
	return true
}
