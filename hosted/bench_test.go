package hosted

import (
	"fmt"
	"testing"
	"time"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/route"
	"wigeondale/settings"
)

// BenchmarkPick measures the choice of a replica and of one for the copy.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{120, 3000} {
		b.Run(fmt.Sprintf("%d replicas", n), func(b *testing.B) {
			set, err := settings.Parse([]byte(`{"node": {"id": "n", "vm": "n", "failure_domain": "d0", "region": "r"},
				"hosted": {"front_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0",
				"peer_address": "127.0.0.1:1", "store_address": "127.0.0.1:1"}}`))
			if err != nil {
				b.Fatal(err)
			}
			dir, mon := directory.New(nil), health.NewMonitor(policyOf(set.Hosted), nil, nil)
			var list []fleet.Backend
			for i := range n {
				r := fleet.Backend{ID: fmt.Sprintf("i-%08d", i), VM: "m", FailureDomain: fmt.Sprint("d", i%3), Kind: fleet.Service, Service: "llm", Started: int64(i + 1)}
				list = append(list, r)
				mon.Place(r.ID, r.Service, r.FailureDomain)
			}
			dir.Update(list, time.Now())
			pick, err := newPicker(&route.Current{}, dir, mon, nil, nil)
			if err != nil {
				b.Fatal(err)
			}
			ask := generation.Ask{Service: "llm", Size: 5000}
			b.ReportAllocs()
			for b.Loop() {
				r, share, err := pick.Pick(b.Context(), ask)
				if err != nil {
					b.Fatal(err)
				}
				_, copied, ok := pick.Standby(ask, r)
				if !ok {
					b.Fatal("no standby")
				}
				share.End()
				copied.End()
			}
		})
	}
}
