//go:build !race

// Excluded under the race detector for the reason given in store_sync_size_test.go.

package hosted

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/mirror"
	"wigeondale/peer/peertest"
)

// largeStore is a store with many replicas, which counts the pages that are read.
type largeStore struct {
	items []infra.Value
	rev   fleet.Revision
	pages *atomic.Int64
}

const storePageSize = 500

func newLargeStore(replicas int) *largeStore {
	s := &largeStore{pages: &atomic.Int64{}, rev: 1}
	add := func(v infra.Value) {
		s.rev++
		v.ModRev = s.rev
		s.items = append(s.items, v)
	}
	add(infra.Value{Key: "op/config"})
	for i := range replicas {
		add(replicaEntry(fmt.Sprintf("i-%06d", i), "10.0.0.1:80", 0))
	}
	add(infra.Value{Key: "wigeondale/peer-key"})
	return s
}

func (s *largeStore) Page(_ context.Context, prefix, after string, _ bool) (infra.Page, error) {
	time.Sleep(storeDelay)
	s.pages.Add(1)
	page := infra.Page{Revision: s.rev}
	for _, v := range s.items {
		if v.Key <= after || !strings.HasPrefix(v.Key, prefix) {
			continue
		}
		if len(page.Values) == storePageSize {
			page.More = true
			break
		}
		page.Values = append(page.Values, v)
	}
	return page, nil
}

func (s *largeStore) Changes(ctx context.Context, _ string, _ fleet.Revision, wait time.Duration) ([]infra.WatchEvent, fleet.Revision, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(storeDelay + wait):
		return nil, s.rev, nil
	}
}

func (*largeStore) Reset() {}

// TestStartOfAllReadsTheStoreFewTimes guards against a start of all nodes that takes as long
// as the store's network link needs to send all replicas to each of them. Few nodes read the
// replicas, and the others have them soon after; that is so at the first start, when no node
// knows the others, and when all start again.
func TestStartOfAllReadsTheStoreFewTimes(t *testing.T) {
	const (
		nodes, replicas, domains = 250, 4000, 5
		pages                    = replicas/storePageSize + 1
	)
	for name, c := range map[string]struct {
		registered bool
		readers    int64
		within     time.Duration
	}{
		"first start": {false, domains, 9 * time.Second},
		"start again": {true, bulkReaders, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
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
						if c.registered {
							s.startRank = func() (int, bool) { return i, true }
						}
						return mirror.New(store, &lagRecorder{log: newChangeLog()}, mirror.Config{
							Parts: []string{ownPrefix, "op/", "servers/"}, Bulk: "servers/", LargeFleet: listsLargeFleet, IsReader: s.readsStore, ReadsBulk: s.readsBulk, OnUpdate: s.copyChanged, Set: metrics.NewSet(),
						})
					}))
				}
				time.Sleep(c.within)
				for i, n := range started {
					if !n.storeSync.mirror.Synced() {
						t.Errorf("node %d does not have all items after %v", i, c.within)
					}
				}
				if got, most := store.pages.Load(), c.readers*(pages+2)+3*nodes; got > most {
					t.Errorf("%d pages were read, want at most %d", got, most)
				}
				stop()
				time.Sleep(10 * time.Second) // links close
			})
		})
	}
}
