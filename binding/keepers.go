package binding

import (
	"cmp"
	"encoding/binary"
	"slices"

	"wigeondale/routing"
)

const (
	// copies is how many other routers get the record of a stream. If a share of all routers is
	// killed at the same moment, the record is lost with the probability share to the power of
	// copies+1. A large fleet has fewer copies, since each of its routers may send 3 KB/s.
	copies      = 7
	copiesLarge = 3
	largeFleet  = 100
	// extraAsked is how many more routers are asked for a record than get it, since the routers that work
	// may be others than when the record was sent.
	extraAsked = 5
)

// copiesIn returns how many other routers get a record in a fleet with this many others.
func copiesIn(others int) int {
	if others > largeFleet {
		return copiesLarge
	}
	return copies
}

// keepers returns the first n routers for the record of a stream, in an order that follows from the
// stream's key: first one router of each failure domain, then the second of each.
func keepers(key Key, live []Router, n int) []Router {
	seed := binary.BigEndian.Uint64(key[:8])
	type ranked struct {
		Router
		weight uint64
		place  int // among the routers of its failure domain
	}
	all := make([]ranked, len(live))
	for i, r := range live {
		all[i] = ranked{Router: r, weight: routing.Rendezvous(seed, r.ID)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	inDomain := map[string]int{}
	for i := range all {
		all[i].place = inDomain[all[i].FailureDomain]
		inDomain[all[i].FailureDomain]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.place, b.place) })
	out := make([]Router, 0, n)
	for _, r := range all[:min(n, len(all))] {
		out = append(out, r.Router)
	}
	return out
}

// digest returns a number that differs for different sets of routers.
func digest(live []Router) (sum uint64) {
	for _, r := range live {
		sum += routing.Rendezvous(r.Incarnation, r.ID)
	}
	return sum
}
