package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n members with the highest random weight for key,
// highest first. Every node that sees the same members chooses the same ones,
// and a member that goes only moves its own keys.
func Rendezvous(key string, members []Member, n int) []Member {
	all := make([]weighted, 0, len(members))
	for i, m := range members {
		all = append(all, weighted{weight(key, m.ID), m.ID, i})
	}
	all = heaviest(all, n)
	out := make([]Member, 0, len(all))
	for _, w := range all {
		out = append(out, members[w.index])
	}
	return out
}

// weighted is a candidate with its weight, computed once.
type weighted struct {
	weight uint64
	id     string
	index  int
}

// heaviest orders the candidates and returns the first n.
func heaviest(all []weighted, n int) []weighted {
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	return all[:min(max(n, 0), len(all))]
}

func weight(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.Write([]byte{0})
	d.WriteString(id)
	return d.Sum64()
}

// pairWeight is the same seen from both ends, so that both mostly choose each
// other and a node has few links that only the other end wanted.
func pairWeight(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return weight(a, b)
}

// neighbours returns the ids that node self keeps links to: all below the limit
// of the full mesh, else the highest pair weights within its own failure domain
// and outside it. others holds the live members without self. Too few
// candidates on one side are made up for on the other.
func neighbours(self Record, others []Record, t Topology) map[string]bool {
	out := make(map[string]bool)
	if len(others) < t.FullMeshLimit {
		for _, r := range others {
			out[r.ID] = true
		}
		return out
	}
	var near, far []weighted
	for i, r := range others {
		w := weighted{pairWeight(self.ID, r.ID), r.ID, i}
		if r.FailureDomain == self.FailureDomain {
			near = append(near, w)
			continue
		}
		far = append(far, w)
	}
	nearN := min(t.SameDomainLinks, len(near))
	farN := min(t.OtherDomainLinks, len(far))
	nearN = min(len(near), nearN+t.OtherDomainLinks-farN)
	farN = min(len(far), t.SameDomainLinks+t.OtherDomainLinks-nearN)
	for _, w := range slices.Concat(heaviest(near, nearN), heaviest(far, farN)) {
		out[w.id] = true
	}
	return out
}

// ContainsSelf tells whether this node is one of the members.
func ContainsSelf(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Self })
}
