package hosted

import (
	"bytes"
	"fmt"
	"testing"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/route"
	"wigeondale/settings"
)

func newTestView() *view {
	dir, mon := directory.New(nil), health.NewMonitor(health.DefaultPolicy(), nil, nil)
	set := &settings.Settings{Hosted: &settings.Hosted{}}
	v := newView(&route.Current{}, dir, mon, newPeers(set, nil, dir, mon, newStoreSync("n", "d", nil), nil), nil, nil)
	v.table.Install(route.NewTable(&route.Config{Version: 1, Services: []route.Service{{Name: "llm", Engine: true}}}))
	return v
}

func replicaEntry(id, addr string, created fleet.Revision) infra.Value {
	return infra.Value{
		Key: "servers/" + id, CreateRev: created, ModRev: created,
		Data: fmt.Appendf(nil, `{"service": "llm", "address": %q, "zone": "d0", "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "sequence": 1}`, addr),
	}
}

// After its start a router must not send requests to a crashed replica whose address a new
// replica has: the new replica refuses these requests. The old entry has not expired; the
// router starts and reads both entries, in the order of their ids. The later entry in that
// order must not be taken for the successor, and a mark on a replica that isn't in the
// directory yet must not be lost.
func TestOlderEntryOfAnAddressLeaves(t *testing.T) {
	for name, order := range map[string][]infra.Value{
		"older first":   {replicaEntry("i-a", "10.0.0.1:80", 5), replicaEntry("i-b", "10.0.0.1:80", 9)},
		"younger first": {replicaEntry("i-b", "10.0.0.1:80", 9), replicaEntry("i-a", "10.0.0.1:80", 5)},
	} {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			for _, item := range order {
				v.Put(item)
			}
			v.BatchDone()
			if !v.dir.Leaving("i-a") || v.dir.Leaving("i-b") {
				t.Errorf("leaving: old %v, new %v", v.dir.Leaving("i-a"), v.dir.Leaving("i-b"))
			}
			v.Removed("servers/i-a")
			v.Put(replicaEntry("i-c", "10.0.0.1:80", 12))
			v.BatchDone()
			if !v.dir.Leaving("i-b") || v.dir.Leaving("i-c") {
				t.Errorf("leaving: old %v, new %v", v.dir.Leaving("i-b"), v.dir.Leaving("i-c"))
			}
		})
	}
}

// A replica that leaves the sample must not get new work, since its leaving would not become
// known. It is used again when the sample becomes larger.
func TestReplicaOutsideTheSampleIsNotUsed(t *testing.T) {
	v := newTestView()
	for i, id := range []string{"i-a", "i-b"} {
		v.Put(replicaEntry(id, fmt.Sprintf("10.0.0.%d:80", i), fleet.Revision(i+1)))
	}
	v.BatchDone()
	v.Dropped("servers/i-a")
	v.BatchDone()
	if !v.dir.Leaving("i-a") || v.dir.Leaving("i-b") || v.replicasByService()["llm"] != 1 {
		t.Errorf("leaving: dropped %v, kept %v; counts %v", v.dir.Leaving("i-a"), v.dir.Leaving("i-b"), v.replicasByService())
	}
	v.Put(replicaEntry("i-a", "10.0.0.0:80", 1))
	v.BatchDone()
	if v.dir.Leaving("i-a") || v.replicasByService()["llm"] != 2 {
		t.Errorf("leaving after it is back in the sample: %v; counts %v", v.dir.Leaving("i-a"), v.replicasByService())
	}
}

// BenchmarkFirstRead measures adding 3,000 replicas at a start.
func BenchmarkFirstRead(b *testing.B) {
	var items []infra.Value
	for i := range 3000 {
		items = append(items, replicaEntry(fmt.Sprintf("i-%d", i), fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), fleet.Revision(i+1)))
	}
	b.ReportAllocs()
	for b.Loop() {
		v := newTestView()
		for _, item := range items {
			v.Put(item)
		}
		v.BatchDone()
	}
}

// Guards against requests that go to a replica that has ended, because the replica that has its address was already leaving
// when the router started.
func TestLeavingReplicaHasItsAddress(t *testing.T) {
	v := newTestView()
	leaving := replicaEntry("i-b", "10.0.0.1:80", 9)
	leaving.Data = bytes.Replace(leaving.Data, []byte("ready"), []byte("draining"), 1)
	v.Put(leaving)
	v.Put(replicaEntry("i-a", "10.0.0.1:80", 5))
	v.BatchDone()
	if !v.dir.Leaving("i-a") || !v.dir.Leaving("i-b") {
		t.Errorf("leaving: ended %v, successor %v", v.dir.Leaving("i-a"), v.dir.Leaving("i-b"))
	}
}
