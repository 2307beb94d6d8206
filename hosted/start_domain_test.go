//go:build !race

// Excluded under the race detector for the reason given in store_sync_size_test.go.

package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fakes/bubble"
	"wigeondale/mirror"
	"wigeondale/peer/peertest"
)

// Guards against a failure domain that has no configuration for seconds after a start of all nodes, since those that read the store are in other domains.
func TestStartOfAllLeavesNoDomainBehind(t *testing.T) {
	const nodes, replicas, domains, within = 101, 1000, 4, 1200 * time.Millisecond
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network, store := peertest.NewNetwork(), newLargeStore(replicas)
		var seeds []string
		for i := range nodes {
			seeds = append(seeds, syncNodeID(i))
		}
		var started []*syncNode
		for i := range nodes {
			started = append(started, startNodeOf(t, ctx, network, seeds, i, domains, func(s *storeSync) *mirror.Mirror {
				rank := i
				if i%domains == 0 {
					rank = nodes + i
				}
				s.startRank = func() (int, bool) { return rank, true }
				return mirror.New(store, &lagRecorder{log: newChangeLog()}, mirror.Config{
					Parts: []string{ownPrefix, "op/", "servers/"}, Bulk: "servers/", LargeFleet: listsLargeFleet, IsReader: s.readsStore, ReadsBulk: s.readsBulk, OnUpdate: s.copyChanged, Set: metrics.NewSet(),
				})
			}))
		}
		begun := time.Now()
		behind := make([]int, domains)
		var last time.Duration
		for ; last < 10*time.Second; last = time.Since(begun) {
			clear(behind)
			for i, n := range started {
				if !n.storeSync.mirror.Synced() {
					behind[i%domains]++
				}
			}
			if last >= within && max(behind[0], behind[1], behind[2], behind[3]) == 0 {
				break
			}
			if last == within {
				t.Logf("after %v, nodes without the items by domain: %v", within, behind)
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("all have the items after %v at the latest", last)
		if last > within {
			t.Errorf("a domain is behind")
		}
		stop()
		time.Sleep(10 * time.Second) // links close
	})
}
