package peer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n members with the highest rendezvous hash weight for key,
// highest first. All nodes that have the same members choose the same n members for a
// key. If a member is removed, only the keys assigned to that member move.
func Rendezvous(key string, members []Member, n int) []Member {
	all := make([]weighted, 0, len(members))
	for i, m := range members {
		all = append(all, weighted{weight(key, m.ID), m.ID, i})
	}
	all = highestWeights(all, n)
	out := make([]Member, 0, len(all))
	for _, w := range all {
		out = append(out, members[w.index])
	}
	return out
}

// weighted is a candidate with its precomputed weight.
type weighted struct {
	weight uint64
	id     string
	index  int
}

// highestWeights returns the n candidates with the highest weights, in order.
func highestWeights(all []weighted, n int) []weighted {
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

// pairWeight returns the same weight for both orders of a pair, so that two nodes
// mostly choose each other and few links are chosen by only one of the two nodes.
func pairWeight(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return weight(a, b)
}

// neighbours returns the ids of the nodes to which node self keeps links. Up to the
// full-mesh limit the neighbours are all nodes. Otherwise they are the nodes with the
// highest pair weights within self's failure domain and outside it. If there are too
// few candidates within the failure domain or outside it, more neighbours are taken
// from the other group. peers are the live members without self.
func neighbours(self Record, peers []Record, t Topology) map[string]bool {
	out := make(map[string]bool)
	if len(peers) < t.FullMeshLimit {
		for _, r := range peers {
			out[r.ID] = true
		}
		return out
	}
	var inside, outside []weighted
	for i, r := range peers {
		w := weighted{pairWeight(self.ID, r.ID), r.ID, i}
		if r.FailureDomain == self.FailureDomain {
			inside = append(inside, w)
			continue
		}
		outside = append(outside, w)
	}
	insideN := min(t.SameDomainLinks, len(inside))
	outsideN := min(t.OtherDomainLinks, len(outside))
	insideN = min(len(inside), insideN+t.OtherDomainLinks-outsideN)
	outsideN = min(len(outside), t.SameDomainLinks+t.OtherDomainLinks-insideN)
	for _, w := range slices.Concat(highestWeights(inside, insideN), highestWeights(outside, outsideN)) {
		out[w.id] = true
	}
	return out
}

// ContainsSelf reports whether this node is one of the members.
func ContainsSelf(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Self })
}
