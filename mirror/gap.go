package mirror

import (
	"slices"

	"wigeondale/fleet"
)

// Gap is a range of revisions in which a node doesn't know all changes: it read all items at To, and
// knew the changes up to From before. An item that was added and removed in between is unknown to it. A
// neighbour whose revision is in between may have that item, and would keep it for ever if this node
// told it the changes.
type Gap struct {
	From fleet.Revision `cbor:"1,keyasint"`
	To   fleet.Revision `cbor:"2,keyasint"`
}

// contains reports whether a node with all changes up to a revision may have items that are unknown
// because of the gap.
func (g Gap) contains(rev fleet.Revision) bool { return rev > g.From && rev < g.To }

// maxGaps bounds the gaps that are remembered.
const maxGaps = 16

func (s *state) addGap(g Gap) {
	if g.To <= g.From || slices.Contains(s.gaps, g) {
		return
	}
	s.gaps = append(s.gaps, g)
	if len(s.gaps) > maxGaps {
		s.removed.floor = max(s.removed.floor, s.gaps[0].To)
		s.gaps = slices.Delete(s.gaps, 0, 1)
	}
}

func (s *state) inGap(rev fleet.Revision) bool {
	return slices.ContainsFunc(s.gaps, func(g Gap) bool { return g.contains(rev) })
}

// gapsAfter returns the gaps that end after a revision.
func (s *state) gapsAfter(rev fleet.Revision) []Gap {
	var out []Gap
	for _, g := range s.gaps {
		if g.To > rev {
			out = append(out, g)
		}
	}
	return out
}
