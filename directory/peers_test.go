package directory

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fleet"
)

// TestLoadsAreThoseOfAWalkOverEverything guards against a processor load that grows
// with the number of known backend servers. 3,000 servers are known and a few of them
// have requests; loads are broadcast and summed 25 times a second. The failure occurs
// if each round visits all known servers. The loads sent and counted must equal the
// loads found by visiting all servers, in whatever order events come.
func TestLoadsAreThoseOfAWalkOverEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(nil)
		ids := []string{"e0", "e1", "e2", "e3"}
		listed := func(n int) (list []fleet.Backend) {
			for _, id := range ids[:n] {
				list = append(list, engine(id))
			}
			return list
		}
		d.Update(listed(3), time.Now())
		want := map[string]int{} // requests of this router
		var peers PeerLoads      // as last received
		var open []func()
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id := rapid.SampledFrom(ids[:3]).Draw(t, "id")
				done := d.Start(id, 1)
				want[id]++
				open = append(open, func() { done(); want[id]-- })
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("none open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i]()
				open = append(open[:i], open[i+1:]...)
			},
			"told": func(t *rapid.T) {
				peers = rapid.MapOf(rapid.SampledFrom(ids), rapid.Custom(func(t *rapid.T) Load {
					return Load{Requests: float64(rapid.IntRange(1, 9).Draw(t, "load"))}
				})).Draw(t, "peers")
				d.SetPeerLoads(peers)
			},
			"silent": func(*rapid.T) { peers = nil; d.SetPeerLoads(nil) },
			"listed": func(*rapid.T) { d.Update(listed(4), time.Now()); d.SetPeerLoads(peers) },
			"": func(t *rapid.T) {
				local := PeerLoads{}
				for id, n := range want {
					if n > 0 {
						local[id] = Load{Requests: float64(n)}
					}
				}
				if got := d.LocalLoads(); !maps.Equal(got, local) {
					t.Fatalf("broadcasts %v, has %v", got, local)
				}
				for _, r := range d.index.all() {
					id := r.id
					if got, should := r.Load(time.Now()), float64(want[id])+peers[id].Requests; got != should {
						t.Fatalf("%s counts %v, want %v", id, got, should)
					}
				}
			},
		})
	})
}

// BenchmarkPeerLoads measures one round of collecting and summing loads when few of
// many backend servers are in use.
func BenchmarkPeerLoads(b *testing.B) {
	d, list := bigFleet(0)
	sum := PeerLoads{}
	for i := range 20 {
		d.Start(list[i].ID, 1)
		sum[list[i+10].ID] = Load{Requests: 2}
	}
	b.ReportAllocs()
	for b.Loop() {
		d.LocalLoads()
		d.SetPeerLoads(sum)
	}
}
