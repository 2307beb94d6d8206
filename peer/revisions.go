package peer

import (
	"cmp"
	"slices"
)

// maxLevels is the maximum number of revisions in one digest.
const maxLevels = 4

// A revision digest has one bit per member and level instead of one number per member,
// which keeps the digest small in large fleets. The bits refer to the ordered ids of
// the live members, so both nodes must have the same set of live members. If they do
// not, the digest is ignored until the membership digests have brought the sets in
// line. The hash covers the incarnations as well, so that a revision that an earlier
// incarnation had reached is not attributed to a restarted node, which has no revision
// in force yet.

// buildRevisionDigest returns the digest of the highest revisions, at most maxLevels, that
// this node knows any live member to have reached.
func (t *table) buildRevisionDigest(reply bool) revisionDigest {
	ids, hash := t.live()
	var revs []uint64
	for _, id := range ids {
		if r := t.byID[id].revision; r > 0 {
			revs = append(revs, r)
		}
	}
	slices.SortFunc(revs, func(a, b uint64) int { return cmp.Compare(b, a) })
	revs = slices.Compact(revs)
	d := revisionDigest{IDs: hash, Reply: reply}
	for _, rev := range revs[:min(len(revs), maxLevels)] {
		d.Levels = append(d.Levels, t.level(ids, rev))
	}
	return d
}

func (t *table) level(ids []string, rev uint64) revisionLevel {
	l := revisionLevel{Revision: rev, Reached: make([]byte, (len(ids)+7)/8)}
	for i, id := range ids {
		if t.byID[id].revision >= rev {
			l.Reached[i/8] |= 1 << (i % 8)
		}
	}
	return l
}

// applyRevisions raises the revisions of the members according to the digest. It
// skips this node, which knows its own revision.
func (t *table) applyRevisions(d revisionDigest, self string) {
	ids, hash := t.live()
	if d.IDs != hash {
		return
	}
	for _, l := range d.Levels {
		if len(l.Reached) != (len(ids)+7)/8 {
			continue
		}
		for i, id := range ids {
			if l.Reached[i/8]&(1<<(i%8)) == 0 || id == self {
				continue
			}
			e := t.byID[id]
			e.revision = max(e.revision, l.Revision)
		}
	}
}
