package hosted

import (
	"fmt"
	"testing"

	"wigeondale/directory"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/route"
	"wigeondale/settings"
)

func newTestView() *view {
	dir, mon := directory.New(nil), health.NewMonitor(health.DefaultPolicy(), nil, nil)
	set := &settings.Settings{Hosted: &settings.Hosted{}}
	return newView(&route.Current{}, dir, mon, newPeers(set, nil, dir, mon, newNews("n", "d", nil), nil), nil)
}

func replicaEntry(id, addr string, created int64) infra.Value {
	return infra.Value{
		Key: "servers/" + id, CreateRev: created, ModRev: created,
		Data: fmt.Appendf(nil, `{"service": "llm", "address": %q, "zone": "d0", "state": "up"}`, addr),
	}
}

// Symptom: a router that has just started sends requests to a replica that is gone,
// which another one at its address refuses. Sequence: a replica crashed and a new
// one took its address; the old entry has not lapsed; a router starts and reads
// both, in the order of their ids. Cause: the one that came later in that order was
// taken for the successor, and a mark on one that isn't in the directory yet is lost.
func TestOlderEntryOfAnAddressLeaves(t *testing.T) {
	for name, order := range map[string][]infra.Value{
		"older first":   {replicaEntry("i-a", "h:1", 5), replicaEntry("i-b", "h:1", 9)},
		"younger first": {replicaEntry("i-b", "h:1", 9), replicaEntry("i-a", "h:1", 5)},
	} {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			for _, item := range order {
				v.Put(item)
			}
			v.Settled()
			if !v.dir.Leaving("i-a") || v.dir.Leaving("i-b") {
				t.Errorf("leaving: old %v, young %v", v.dir.Leaving("i-a"), v.dir.Leaving("i-b"))
			}
			v.Gone("servers/i-a")
			v.Put(replicaEntry("i-c", "h:1", 12))
			v.Settled()
			if !v.dir.Leaving("i-b") || v.dir.Leaving("i-c") {
				t.Errorf("leaving: old %v, young %v", v.dir.Leaving("i-b"), v.dir.Leaving("i-c"))
			}
		})
	}
}

// BenchmarkFirstRead measures taking in 3,000 replicas at a start.
func BenchmarkFirstRead(b *testing.B) {
	var items []infra.Value
	for i := range 3000 {
		items = append(items, replicaEntry(fmt.Sprintf("i-%d", i), fmt.Sprintf("h:%d", i), int64(i+1)))
	}
	b.ReportAllocs()
	for b.Loop() {
		v := newTestView()
		for _, item := range items {
			v.Put(item)
		}
		v.Settled()
	}
}
