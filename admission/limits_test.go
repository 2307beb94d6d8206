package admission

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A client account's share that is computed from sums of the peers' demands must be the same
// as the share computed from the list of demands. Some peers report the account, some only
// others, some none; some of each are unreachable. If a peer without demand weren't counted,
// the part reserved for that peer would be given away.
func TestShareCountsPeersWithoutDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000.0
		var peers []PeerDemand
		var reachable, unreachable []float64
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
				unreachable = append(unreachable, p.Demand["a"])
				continue
			}
			reachable = append(reachable, p.Demand["a"])
		}
		c := NewController(Config{}, nil, nil)
		c.SetLimits(map[string]Limit{"a": {TokensPerSecond: limit}})
		c.SetPeerDemand(peers)
		want := LimitShare(limit, 0, reachable, unreachable) / limit
		if got := c.accounts["a"].fraction; math.Abs(got-want) > 1e-9 {
			t.Fatalf("fraction %g, want %g", got, want)
		}
	})
}
