package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/health"
)

// Neighbours returns a function that finds up to n other backend servers of b's service and
// failure domain that are not leaving. They are ordered by their health states, with healthy
// ones first, and at random among equal states.
func Neighbours(dir *directory.Directory, mon *health.Monitor) func(b fleet.Backend, n int) []fleet.Backend {
	return func(b fleet.Backend, n int) []fleet.Backend { return neighbours(dir, mon, b, n) }
}

func neighbours(dir *directory.Directory, mon *health.Monitor, b fleet.Backend, n int) []fleet.Backend {
	type neighbour struct {
		fleet.Backend
		state health.State
	}
	var all []neighbour
	for _, id := range dir.IDs() {
		other, ok := dir.Backend(id)
		if !ok || id == b.ID || other.Service != b.Service || other.FailureDomain != b.FailureDomain || dir.Leaving(id) {
			continue
		}
		all = append(all, neighbour{other, mon.State(id)})
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b neighbour) int { return cmp.Compare(a.state, b.state) })
	out := make([]fleet.Backend, 0, n)
	for _, nb := range all[:min(n, len(all))] {
		out = append(out, nb.Backend)
	}
	return out
}
