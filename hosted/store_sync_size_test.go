//go:build !race

// Excluded under the race detector, whose own bookkeeping fails at times with the thousands of
// goroutines of these nodes ("ThreadSanitizer: CHECK failed"). make test runs this file without it.

package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/mirror"
	"wigeondale/peer"
	"wigeondale/peer/peertest"
)

// changeLog is a store with one item that changes repeatedly.
type changeLog struct {
	mu      sync.Mutex
	rev     fleet.Revision
	at      map[fleet.Revision]time.Time // time of each revision
	changed chan struct{}
}

func newChangeLog() *changeLog {
	return &changeLog{rev: 1, at: map[fleet.Revision]time.Time{1: time.Now()}, changed: make(chan struct{})}
}

func (c *changeLog) change() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rev++
	c.at[c.rev] = time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *changeLog) item() (infra.Value, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return infra.Value{Key: "op/config", CreateRev: 1, ModRev: c.rev}, c.changed
}

// nodeStore is the store as seen by one node. The store can be made to reject this node.
type nodeStore struct {
	*changeLog
	rejected *atomic.Bool
}

const storeDelay = 4 * time.Millisecond

var errRejected = errors.New("the store rejects this node")

func (s nodeStore) Page(context.Context, string, string, bool) (infra.Page, error) {
	time.Sleep(storeDelay)
	if s.rejected.Load() {
		return infra.Page{}, errRejected
	}
	v, _ := s.item()
	return infra.Page{Values: []infra.Value{v}, Revision: v.ModRev}, nil
}

func (s nodeStore) Changes(ctx context.Context, _ string, after fleet.Revision, wait time.Duration) ([]infra.WatchEvent, fleet.Revision, error) {
	time.Sleep(storeDelay)
	if s.rejected.Load() {
		return nil, 0, errRejected
	}
	v, changed := s.item()
	if v.ModRev == after {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(wait):
		case <-changed:
		}
		v, _ = s.item()
	}
	if s.rejected.Load() {
		return nil, 0, errRejected
	}
	if v.ModRev == after {
		return nil, after, nil
	}
	return []infra.WatchEvent{{Value: v}}, v.ModRev, nil
}

func (nodeStore) Reset() {}

// lagRecorder records the delay with which a node receives the changes.
type lagRecorder struct {
	log    *changeLog
	mu     sync.Mutex
	latest fleet.Revision
	lag    []time.Duration
}

func (h *lagRecorder) Put(v infra.Value) {
	now := time.Now()
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	for rev := h.latest + 1; rev <= v.ModRev; rev++ {
		h.lag = append(h.lag, now.Sub(h.log.at[rev]))
	}
	h.latest = max(h.latest, v.ModRev)
}

func (*lagRecorder) Removed(string) {}
func (*lagRecorder) Dropped(string) {}
func (*lagRecorder) BatchDone()     {}

// syncNode is one node with its links and its copy of the store.
type syncNode struct {
	storeSync *storeSync
	recorder  *lagRecorder
	rejected  *atomic.Bool
}

func syncNodeID(i int) string { return fmt.Sprintf("n%03d", i) }

func startSyncNode(t *testing.T, ctx context.Context, f *peertest.Network, log *changeLog, seeds []string, i, domains int) *syncNode {
	recorder, rejected := &lagRecorder{log: log}, &atomic.Bool{}
	n := startNodeOf(t, ctx, f, seeds, i, domains, func(s *storeSync) *mirror.Mirror {
		return mirror.New(nodeStore{log, rejected}, recorder, mirror.Config{IsReader: s.readsStore, OnUpdate: s.copyChanged, Set: metrics.NewSet()})
	})
	n.recorder, n.rejected = recorder, rejected
	return n
}

// startNodeOf starts a node with the mirror that newMirror returns.
func startNodeOf(t *testing.T, ctx context.Context, f *peertest.Network, seeds []string, i, domains int, newMirror func(*storeSync) *mirror.Mirror) *syncNode {
	id, domain := syncNodeID(i), fmt.Sprint("d", i%domains)
	mesh, err := peer.New(peer.Config{
		ID: id, Addr: id, FailureDomain: domain, Dial: f.Dial(id),
		Heartbeat: peerHeartbeat, DialTimeout: peerDialTimeout, MaxBackoff: peerMaxBackoff,
		Topology: peer.Topology{FullMeshLimit: 24, SameDomainLinks: 3, OtherDomainLinks: 3},
	}, make([]byte, peerKeyBytes), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	mesh.SetDiscoveredSeeds(seeds) // as read from the store
	storeSync := newStoreSync(id, domain, nil)
	storeSync.mirror = newMirror(storeSync)
	storeSync.join(mesh)
	srv := &http.Server{Handler: mesh, ReadHeaderTimeout: time.Second}
	go srv.Serve(f.Listen(id))
	go mesh.Run(ctx)
	go storeSync.mirror.Run(ctx)
	go func() {
		tick := time.NewTicker(loadsInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				srv.Close()
				return
			case now := <-tick.C:
				storeSync.tick(now)
			}
		}
	}()
	return &syncNode{storeSync: storeSync}
}

// syncBound is the largest allowed delay between a change in the store and the receipt of the
// change by a node, including the nodes that the store rejects. A configuration has to be in
// force two seconds after it was accepted.
const syncBound = 2 * time.Second

// Nodes must not go on with revoked keys. The store rejects a third of the nodes for nine
// seconds, among them all nodes that read it, and changes every half second. A node must not
// wait for its own reads, or for a reader that the store rejects too. Messages take no time
// here: the test measures the waits of the program.
func TestNewsReachNodesThatTheStoreTurnsAway(t *testing.T) {
	for _, size := range []int{95, 300} {
		t.Run(fmt.Sprint(size, " nodes"), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { testRejectedNodes(t, size, 5) })
		})
	}
}

func testRejectedNodes(t *testing.T, size, domains int) {
	ctx, stop := context.WithCancel(t.Context())
	f, log := peertest.NewNetwork(), newChangeLog()
	var nodes []*syncNode
	var seeds []string
	for i := range size {
		seeds = append(seeds, syncNodeID(i))
	}
	for i := range size {
		nodes = append(nodes, startSyncNode(t, ctx, f, log, seeds, i, domains))
	}
	time.Sleep(15 * time.Second) // all links are up
	for i, n := range nodes {
		n.recorder.mu.Lock()
		n.recorder.lag = nil
		n.recorder.mu.Unlock()
		n.rejected.Store(i%3 == 0 || n.storeSync.isReader())
	}
	for range 18 {
		log.change()
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(syncBound)
	var all []time.Duration
	for i, n := range nodes {
		n.recorder.mu.Lock()
		if n.recorder.latest != log.rev {
			t.Errorf("node %d is at revision %d of %d", i, n.recorder.latest, log.rev)
		}
		all = append(all, n.recorder.lag...)
		n.recorder.mu.Unlock()
	}
	if len(all) == 0 {
		t.Fatal("no node received any change")
	}
	slices.Sort(all)
	t.Logf("%d changes received: p50 %v, p99 %v, last %v", len(all), all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
	if last := all[len(all)-1]; last > syncBound {
		t.Errorf("a change was received after %v", last)
	}
	stop()
	time.Sleep(10 * time.Second) // links close
}

// countingStore counts the calls of one node.
type countingStore struct {
	nodeStore
	calls *atomic.Int64
}

func (s countingStore) Changes(ctx context.Context, prefix string, after fleet.Revision, wait time.Duration) ([]infra.WatchEvent, fleet.Revision, error) {
	s.calls.Add(1)
	return s.nodeStore.Changes(ctx, prefix, after, wait)
}

// Nodes that are far from a reader must not read the store while all is well: at each link on
// the way the age of the confirmation grew by an interval, and in a large fleet the farthest
// copies counted as stale. Calls to the store would grow faster than the fleet.
func TestFarNodesDoNotReadTheStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const size, domains = 400, 2
		ctx, stop := context.WithCancel(t.Context())
		network, log := peertest.NewNetwork(), newChangeLog()
		var seeds []string
		for i := range size {
			seeds = append(seeds, syncNodeID(i))
		}
		calls := make([]atomic.Int64, size)
		var nodes []*syncNode
		for i := range size {
			nodes = append(nodes, startNodeOf(t, ctx, network, seeds, i, domains, func(s *storeSync) *mirror.Mirror {
				store := countingStore{nodeStore{log, &atomic.Bool{}}, &calls[i]}
				return mirror.New(store, &lagRecorder{log: log}, mirror.Config{IsReader: s.readsStore, OnUpdate: s.copyChanged, Set: metrics.NewSet()})
			}))
		}
		time.Sleep(15 * time.Second) // all links are up
		for i := range calls {
			calls[i].Store(0)
		}
		time.Sleep(20 * time.Second)
		others := int64(0)
		for i, n := range nodes {
			if !n.storeSync.isReader() {
				others += calls[i].Load()
			}
		}
		if others > 0 {
			t.Errorf("nodes that are not readers made %d calls", others)
		}
		stop()
		time.Sleep(10 * time.Second) // links close
	})
}
