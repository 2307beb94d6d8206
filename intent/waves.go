package intent

import (
	"cmp"
	"fmt"
	"slices"

	"wigeondale/fleet"
)

// WaveSeconds is how long the loads of one wave may take to read from the weight store.
const WaveSeconds = 60

// derivePlacements derives the loads that a new traffic split needs. Each version with
// a share gets the same share of the model's replicas, rounded up, and at least one.
func derivePlacements(s *State, view FleetView, changes []Change) []Change {
	after := s.clone()
	after.Revision++
	for _, c := range changes {
		after.applyChange(c)
	}
	placements := map[string]Placement{}
	for _, c := range changes {
		if c.Kind == KindTraffic && c.Op == Set {
			assignReplicas(after, view, *c.Traffic, placements)
		}
	}
	for _, c := range changes {
		if c.Kind == KindPlacement {
			delete(placements, c.Placement.Backend)
		}
	}
	var out []Change
	for _, p := range placements {
		out = append(out, Change{Kind: KindPlacement, Op: Set, Placement: &p})
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Object(), b.Object()) })
	return out
}

func assignReplicas(after *State, view FleetView, t Traffic, placements map[string]Placement) {
	hosts := hostsOf(after, view, t.Model)
	for _, w := range t.Weights {
		if w.Percent == 0 {
			continue
		}
		want := max(1, (len(hosts)*w.Percent+99)/100)
		for _, b := range hosts {
			if slices.Contains(desiredOrServed(after, view, b.ID), t.ref(w)) {
				want--
			}
		}
		for _, b := range hosts {
			if want <= 0 {
				break
			}
			have := desiredOrServed(after, view, b.ID)
			if slices.Contains(have, t.ref(w)) {
				continue
			}
			p := Placement{Backend: b.ID, Desired: withoutRetired(t, have), Role: after.Placement[b.ID].Role}
			p.Desired = append(p.Desired, t.ref(w))
			after.Placement[b.ID] = p
			placements[b.ID] = p
			want--
		}
	}
}

// withoutRetired returns the versions in have, except versions of the model that no longer
// receive traffic.
func withoutRetired(t Traffic, have []fleet.ModelRef) []fleet.ModelRef {
	var out []fleet.ModelRef
	for _, ref := range have {
		serves := func(w Weight) bool { return t.ref(w) == ref && w.Percent > 0 }
		if ref.Model != t.Model || slices.ContainsFunc(t.Weights, serves) {
			out = append(out, ref)
		}
	}
	return out
}

// hostsOf returns the engines that have, or are to have, any version of a model, except
// engines that are leaving. In the result, neighbours are in different failure domains as
// long as several domains have engines left.
func hostsOf(s *State, view FleetView, model string) []fleet.Backend {
	byDomain := map[string]int{}
	type ranked struct {
		b    fleet.Backend
		rank int
	}
	var list []ranked
	for _, b := range view.Backends {
		if b.Kind != fleet.Engine || b.Leaving || s.Leaving(b.VM) {
			continue
		}
		has := func(r fleet.ModelRef) bool { return r.Model == model }
		if !slices.ContainsFunc(desiredOrServed(s, view, b.ID), has) {
			continue
		}
		list = append(list, ranked{b, byDomain[b.FailureDomain]})
		byDomain[b.FailureDomain]++
	}
	slices.SortStableFunc(list, func(x, y ranked) int { return cmp.Compare(x.rank, y.rank) })
	out := make([]fleet.Backend, 0, len(list))
	for _, r := range list {
		out = append(out, r.b)
	}
	return out
}

// addLoads adds the loads that the plan's placements require, grouped in waves.
func (p *Plan) addLoads(after *State, view FleetView) {
	var loads []Load
	for _, c := range p.Changes {
		if c.Kind != KindPlacement || c.Op != Set {
			continue
		}
		id := c.Placement.Backend
		for _, ref := range after.Placement[id].Desired {
			if slices.Contains(view.Serves[id], ref) {
				continue
			}
			size, ok := view.Weights[ref.String()]
			if !ok {
				p.Warnings = append(p.Warnings, "the weight store gave no size for "+ref.String())
			}
			loads = append(loads, Load{Backend: id, Ref: ref, Bytes: size})
		}
	}
	hosts := 0
	for _, b := range view.Backends {
		if b.Kind == fleet.Engine && !b.Leaving && !after.Leaving(b.VM) {
			hosts++
		}
	}
	p.Waves = Waves(loads, view.WeightRate, hosts)
	for _, w := range p.Waves {
		p.WeightBytes += w.Bytes
		p.WeightSeconds += w.Seconds
	}
	slices.Sort(p.Warnings)
	p.Warnings = slices.Compact(p.Warnings)
	if len(p.Waves) > 1 {
		p.Warnings = append(p.Warnings, fmt.Sprintf("loading takes %d waves", len(p.Waves)))
	}
}

func hasUnknownSize(w Wave) bool {
	return slices.ContainsFunc(w.Loads, func(l Load) bool { return l.Bytes <= 0 })
}

// Waves groups loads. The loads of one wave read from the weight store for at most
// WaveSeconds at its rate (bytes per second; 0 means no bound), and use at most half of
// the hosts, so that the others keep serving the old versions. A load that alone is
// larger, or whose size is unknown, gets a wave of its own.
func Waves(loads []Load, rate int64, hosts int) []Wave {
	maxHosts := max(1, hosts/2)
	var waves []Wave
	var w Wave
	hostsInWave := map[string]bool{}
	for _, l := range loads {
		// A load of unknown size may be as large as the budget of the wave.
		unknown := l.Bytes <= 0 || hasUnknownSize(w)
		full := rate > 0 && (unknown || w.Bytes+l.Bytes > rate*WaveSeconds)
		tooManyHosts := !hostsInWave[l.Backend] && len(hostsInWave) >= maxHosts
		if len(w.Loads) > 0 && (full || tooManyHosts) {
			waves = append(waves, w)
			w = Wave{}
			clear(hostsInWave)
		}
		w.Loads = append(w.Loads, l)
		w.Bytes += l.Bytes
		hostsInWave[l.Backend] = true
		if rate > 0 {
			w.Seconds = float64(w.Bytes) / float64(rate)
		}
	}
	if len(w.Loads) > 0 {
		waves = append(waves, w)
	}
	return waves
}
