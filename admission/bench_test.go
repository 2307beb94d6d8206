package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wigeondale/schedule"
)

// BenchmarkPeerDemand measures the time and memory of SetPeerDemand with the demands of all other
// routers. Each router calls it four times a second. Linked peers report the demand of all
// accounts; peers without a link count as unreachable and report none.
func BenchmarkPeerDemand(b *testing.B) {
	for _, size := range []struct{ accounts, linked, unlinked int }{{10, 7, 0}, {5600, 7, 0}, {5600, 7, 822}} {
		b.Run(fmt.Sprintf("accounts=%d/peers=%d", size.accounts, size.linked+size.unlinked), func(b *testing.B) {
			limits, demand := map[string]Limit{}, map[string]float64{}
			for i := range size.accounts {
				id := fmt.Sprint("account", i)
				limits[id] = noLimit
				demand[id] = 10
			}
			var peers []PeerDemand
			for i := range size.linked + size.unlinked {
				p := PeerDemand{Node: fmt.Sprint("n", i), Unreachable: i >= size.linked}
				if !p.Unreachable {
					p.Demand = demand
				}
				peers = append(peers, p)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newTestController(1, limits)
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

// BenchmarkShareAboveMesh reports what part of a fleet-wide limit a client account gets. The
// account's demand equals the limit and arrives evenly at some of 830 routers. Each router is
// linked to 8 others; routers without a link count as unreachable.
func BenchmarkShareAboveMesh(b *testing.B) {
	const routers, links, limit = 830, 8, 1000.0
	for _, entered := range []int{1, 8, 83, routers} {
		b.Run(fmt.Sprintf("routers=%d", entered), func(b *testing.B) {
			localDemand := limit / float64(entered)
			var got float64
			for b.Loop() {
				reachable, unreachable := peerTotals{nodes: links}, peerTotals{nodes: routers - 1 - links}
				reachable.demand = localDemand * float64(links) * float64(entered-1) / (routers - 1)
				got = limitShare(limit, localDemand, reachable, unreachable) * float64(entered) / limit
			}
			b.ReportMetric(100*got, "%of-limit")
		})
	}
}

// BenchmarkWaitQueue measures one poll of each of 200 waiting requests of 5,600 client accounts, and a grant.
func BenchmarkWaitQueue(b *testing.B) {
	for _, sharing := range []Sharing{ShareByArrival, ShareByAccount} {
		b.Run(string(sharing), func(b *testing.B) {
			l, now := NewSharedWaitQueue(sharing), time.Unix(1000, 0)
			item := func(i int) schedule.Item {
				return schedule.Item{ID: fmt.Sprint(i), Stage: schedule.New, Priority: i % 3, Account: fmt.Sprint(i % 5600), Cost: 6000, FirstTry: now}
			}
			for i := range 5600 {
				l.Charge(item(i), now)
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Millisecond)
				for j := range 200 {
					l.Poll(item(i+j), now)
				}
				l.RecordGrant(fmt.Sprint(i), now)
			}
		})
	}
}
