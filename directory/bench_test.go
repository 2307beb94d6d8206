package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"wigeondale/fleet"
)

// targetReplicas and targetModels are the sizes for which docs/CAPACITY.md calculates
// the capacity.
const (
	targetReplicas = 10_000
	targetModels   = 7
)

// bigFleet returns a Directory that knows all replicas of the target size and has
// received a report from as many replicas as reporting says, and the list of all
// replicas.
func bigFleet(reporting int) (*Directory, []fleet.Backend) {
	d, now := New(nil), time.Now()
	var list []fleet.Backend
	for i := range targetReplicas {
		list = append(list, engine(fmt.Sprintf("engine-%05d", i)))
	}
	d.Update(list, now)
	for i := range reporting {
		rep := report("i1", now, 5)
		rep.Serves = []fleet.ModelRef{{Model: fmt.Sprint("m", i%targetModels), Version: "v1"}}
		d.Report(list[i].ID, rep, now)
	}
	return d, list
}

// BenchmarkListAt10000 measures applying one reading of the VM list.
func BenchmarkListAt10000(b *testing.B) {
	d, list := bigFleet(500)
	for b.Loop() {
		d.Update(list, time.Now())
	}
}

// BenchmarkRoundAt10000 measures the cost of a polling round (Poller.PollEngines) without
// the polls themselves: in each round, the engines to poll are chosen twice, before and
// after the polls.
func BenchmarkRoundAt10000(b *testing.B) {
	const subset, explore = 32, 8
	d, _ := bigFleet(500)
	for b.Loop() {
		members := d.Members("r1", subset)
		d.Select(members)
		d.LeastRecentlyReported("r1", members, explore)
		d.Select(d.Members("r1", subset))
	}
}

// BenchmarkCacheMap measures the memory of one engine's full prefix map.
func BenchmarkCacheMap(b *testing.B) {
	var batch CacheBatch
	for i := range maxBlocks {
		batch.Events = append(batch.Events, CacheEvent{Seq: uint64(i + 1), Stored: true, Block: uint64(i) * 0x9e3779b97f4a7c15})
	}
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var c cacheMap
		c.apply(batch, time.Now())
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(&c)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxBlocks, "B/block")
	}
}
