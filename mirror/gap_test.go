package mirror

import (
	"testing"
	"time"

	"wigeondale/fleet"
	"wigeondale/infra"
)

// Guards against an item that stays at a neighbour, since this node read all items before it was added and after
// it was removed.
func TestItemBetweenTwoFullReadsLeavesTheNeighbour(t *testing.T) {
	s, neighbour := newState(&recorder{items: map[string]fleet.Revision{}}), newState(&recorder{items: map[string]fleet.Revision{}})
	s.replace(nil, 5, removalPolicy{})
	neighbour.replace([]infra.Value{{Key: "k", ModRev: 7}}, 8, removalPolicy{})
	s.replace(nil, 10, removalPolicy{}) // k was removed at 9
	if d := s.delta(DeltaRequest{After: 8}); !d.RemovalsUnknown {
		t.Errorf("told %+v", d)
	}
	neighbour.merge(s.delta(DeltaRequest{After: 8, All: true}), time.Time{})
	if _, ok := neighbour.items["k"]; ok {
		t.Error("k is still known")
	}
}
