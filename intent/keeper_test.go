package intent

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fakes/bubble"
)

// TestStateOnlyForwards guards against a node that routes by an older configuration than
// before, because it installs what arrives without comparing revisions. Revisions, batches
// and snapshots arrive late, more than once and out of order.
func TestStateOnlyForwards(t *testing.T) {
	full := filledLog(t, 8)
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeeper(Config{Log: newFakeLog(), PeerClient: fakePeers{}})
		k.loaded.Store(true)
		last := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "arrivals") {
			n := rapid.Uint64Range(1, 8).Draw(t, "revision")
			r, _ := entryRevision(full.entries[n])
			s := NewState()
			s.Revision = n
			data, err := EncodeState(s)
			switch rapid.IntRange(0, 2).Draw(t, "way") {
			case 0:
				k.HandleRevision("peer", r)
			case 1:
				err = k.installBatch(Batch{Revisions: []Revision{r}})
			case 2:
				err = k.installBatch(Batch{Snapshot: data})
			}
			if err != nil {
				t.Fatal(err)
			}
			got := k.State().Revision
			if got < last || (got > last && got != n) {
				t.Fatalf("revision went from %d to %d on arrival of %d", last, got, n)
			}
			last = got
		}
	})
}

// TestFreshAfterPause guards against a router that was paused and routes by a configuration
// that was replaced during the pause. The router is paused for longer than the maximum gap
// between two ticks of its clock check, resumes, and handles a request before any timer has
// run. The router must check the clock, and a peer that was paused as well must not confirm
// the router's state.
func TestFreshAfterPause(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := filledLog(t, 1)
		a := NewKeeper(Config{Node: "a", Log: log, PeerClient: fakePeers{}})
		b := NewKeeper(Config{Node: "b", Log: log, PeerClient: fakePeers{"a": a}})
		a.cfg.PeerClient = fakePeers{"b": b}
		expect := func(what string, k *Keeper, want bool) {
			t.Helper()
			if got, why := k.Ready(); got != want {
				t.Fatalf("%s: ready = %v (%s), want %v", what, got, why, want)
			}
		}
		expect("before a state", a, false)
		a.Sync(ctx)
		b.Sync(ctx)
		expect("after the log was read", a, true)
		beforePause := time.Now()
		time.Sleep(DefaultPauseBound + time.Second)
		expect("after a pause, before any tick", a, false)
		for _, k := range []*Keeper{a, b} {
			if !k.clock.tick(time.Now()) {
				t.Fatal("the tick noticed no pause")
			}
		}
		expect("after the tick", a, false)
		a.clock.confirm(beforePause, time.Now())
		expect("confirmed by an exchange from before the pause", a, false)
		log.down = true
		a.Sync(ctx)
		expect("confirmed by a peer that was paused too", a, false)
		log.down = false
		b.Sync(ctx)
		log.down = true
		a.Sync(ctx)
		expect("confirmed by a peer that reached the service", a, true)
	})
}

// TestOutage guards against an outage of the service that stops traffic, and against a
// router without any contact that continues with an old configuration. The service becomes
// unavailable, a router starts, then its last peer is lost. A router must be ready while it
// has contact with the service or a peer, and must not be ready without either.
func TestOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := filledLog(t, 3)
		oldNode := NewKeeper(Config{Node: "old", Log: log, PeerClient: fakePeers{}})
		link := &cutLink{fakePeers: fakePeers{"old": oldNode}}
		newNode := NewKeeper(Config{Node: "young", Log: log, PeerClient: link})
		oldNode.cfg.PeerClient = fakePeers{"young": newNode}
		oldNode.Sync(ctx)
		log.down = true
		go oldNode.Run(ctx)
		go newNode.Run(ctx)
		time.Sleep(time.Minute)
		for _, k := range []*Keeper{oldNode, newNode} {
			if ok, why := k.Ready(); !ok || k.State().Revision != 3 {
				t.Fatalf("%s with a peer and no service: revision %d, ready %v (%s)", k.cfg.Node, k.State().Revision, ok, why)
			}
		}
		link.cut.Store(true)
		time.Sleep(time.Minute)
		if ok, _ := newNode.Ready(); ok {
			t.Fatal("a router that reaches neither the service nor a peer is ready")
		}
		cancel()
		synctest.Wait()
	})
}

// cutLink is a connection to the peers that a test can interrupt.
type cutLink struct {
	fakePeers
	cut atomic.Bool
}

func (c *cutLink) FetchFrom(ctx context.Context, node string, from uint64) (Batch, error) {
	if c.cut.Load() {
		return Batch{}, errLost
	}
	return c.fakePeers.FetchFrom(ctx, node, from)
}
