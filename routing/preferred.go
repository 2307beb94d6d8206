package routing

import "slices"

// PreferredEngines returns the n candidates with the highest rendezvous weight for a key,
// or all candidates if there are at most n. All routers that see the same candidates get
// the same result. If a candidate is removed, the result changes only for the keys for
// which that candidate was returned.
func PreferredEngines(all []Candidate, key uint64, n int) []Candidate {
	if n >= len(all) {
		return all
	}
	type ranked struct {
		weight uint64
		index  int
	}
	best := make([]ranked, 0, n+1)
	for i := range all {
		w := Rendezvous(key, all[i].Backend.ID)
		if len(best) == n && w <= best[n-1].weight {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, w, func(h ranked, w uint64) int {
			if h.weight > w {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, ranked{w, i})
		best = best[:min(len(best), n)]
	}
	out := make([]Candidate, 0, len(best))
	for _, h := range best {
		out = append(out, all[h.index])
	}
	return out
}
