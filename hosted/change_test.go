package hosted

import (
	"fmt"
	"runtime"
	"testing"

	"wigeondale/fleet"
)

// knownReplicas returns a view that knows n replicas.
func knownReplicas(n int) *view {
	v := newTestView()
	for i := range n {
		v.Put(replicaEntry(fmt.Sprintf("i-%06d", i), fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), fleet.Revision(i+1)))
	}
	v.BatchDone()
	return v
}

// replaceOne replaces the replica with number i: its entry is removed, and a replica with
// another id and address appears.
func replaceOne(v *view, i int) {
	v.Removed(fmt.Sprintf("servers/i-%06d", i))
	v.Put(replicaEntry(fmt.Sprintf("i-%06d", 1<<19+i), fmt.Sprintf("11.%d.%d.%d:80", i>>16, i>>8&255, i&255), fleet.Revision(1<<20+i)))
	v.BatchDone()
}

// BenchmarkChange measures applying a batch in which one replica is replaced.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("%d replicas", n), func(b *testing.B) {
			v := knownReplicas(n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				replaceOne(v, i)
				i++
			}
		})
	}
}

// TestCostOfAChangeDoesNotGrowWithTheFleet guards against nodes that spend most of their
// processor time on changes of replicas that they don't use: in a release of a large fleet each
// change made a node list all replicas again, so that the cost grew with the square of the fleet.
func TestCostOfAChangeDoesNotGrowWithTheFleet(t *testing.T) {
	const changes = 20
	bytesPerChange := func(replicas int) uint64 {
		v := knownReplicas(replicas)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			replaceOne(v, i)
		}
		runtime.ReadMemStats(&after)
		return (after.TotalAlloc - before.TotalAlloc) / changes
	}
	small, large := bytesPerChange(500), bytesPerChange(8*500)
	if slack := uint64(64 << 10); large > 2*small+slack {
		t.Errorf("a change allocates %d bytes beside 500 replicas and %d beside 4000", small, large)
	}
}
