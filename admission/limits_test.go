package admission

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Symptom: after the demands of many routers are taken in by sums, a client
// account's share is not the one that the demands listed one by one give.
// Sequence: some peers tell of the account, some of others only, some of none;
// some of each are lost. Cause: a peer without demand is not counted, and what
// is set aside for it is given away.
func TestShareCountsPeersWithoutDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000.0
		var peers []PeerDemand
		var heard, lost []float64
		for i := range rapid.IntRange(0, 30).Draw(t, "peers") {
			p := PeerDemand{Node: fmt.Sprint("n", i), Unreachable: rapid.Bool().Draw(t, "lost")}
			switch rapid.IntRange(0, 2).Draw(t, "tells") {
			case 1:
				p.Demand = map[string]float64{"other": 5}
			case 2:
				p.Demand = map[string]float64{"a": rapid.Float64Range(0, limit).Draw(t, "demand")}
			}
			peers = append(peers, p)
			if p.Unreachable {
				lost = append(lost, p.Demand["a"])
				continue
			}
			heard = append(heard, p.Demand["a"])
		}
		c := NewController(Config{}, nil, nil)
		c.SetLimits(map[string]Limit{"a": {TokensPerSecond: limit}})
		c.SetPeerDemand(peers)
		want := LimitShare(limit, 0, heard, lost) / limit
		if got := c.accounts["a"].fraction; math.Abs(got-want) > 1e-9 {
			t.Fatalf("fraction %g, want %g", got, want)
		}
	})
}
