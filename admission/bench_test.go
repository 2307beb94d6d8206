package admission

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkPeerDemand measures taking in the demands of all other routers, as
// each router does four times a second, and its memory. Linked peers tell of
// all accounts; those without a link count as lost and tell of none.
func BenchmarkPeerDemand(b *testing.B) {
	for _, size := range []struct{ accounts, linked, unlinked int }{{10, 7, 0}, {5600, 7, 0}, {5600, 7, 822}} {
		b.Run(fmt.Sprintf("accounts=%d/peers=%d", size.accounts, size.linked+size.unlinked), func(b *testing.B) {
			limits, demand := map[string]Limit{}, map[string]float64{}
			for i := range size.accounts {
				id := fmt.Sprint("account", i)
				limits[id] = wide
				demand[id] = 10
			}
			var peers []PeerDemand
			for i := range size.linked + size.unlinked {
				p := PeerDemand{Node: fmt.Sprint("n", i), Lost: i >= size.linked}
				if !p.Lost {
					p.Demand = demand
				}
				peers = append(peers, p)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := controller(1, limits)
			c.SetPeerDemand(peers)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				c.SetPeerDemand(peers)
				c.Demand()
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.accounts), "B/account")
		})
	}
}
