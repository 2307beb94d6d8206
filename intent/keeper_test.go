package intent

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Symptom: a node routes by an older configuration than it did before.
// Sequence: revisions, batches and snapshots reach it late, twice and out of
// order. Cause: installing what arrives without comparing revisions.
func TestStateOnlyForwards(t *testing.T) {
	full := filledLog(t, 8)
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeeper(Config{Log: newFakeLog(), PeerClient: fakeSpread{}})
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
				err = k.take(Batch{Revisions: []Revision{r}})
			case 2:
				err = k.take(Batch{Snapshot: data})
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

// Symptom: a router that was frozen sends work by a configuration replaced
// meanwhile. Sequence: it is paused for longer than the bound, wakes, and serves
// a request before any timer has run. Cause: taking the state for fresh without
// looking at the clock, or on the word of a peer that was paused as well.
func TestFreshAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := filledLog(t, 1)
		a := NewKeeper(Config{Node: "a", Log: log, PeerClient: fakeSpread{}})
		b := NewKeeper(Config{Node: "b", Log: log, PeerClient: fakeSpread{"a": a}})
		a.cfg.PeerClient = fakeSpread{"b": b}
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
		began := time.Now()
		time.Sleep(DefaultPauseBound + time.Second)
		expect("after a pause, before any tick", a, false)
		for _, k := range []*Keeper{a, b} {
			if !k.clock.tick(time.Now()) {
				t.Fatal("the tick noticed no pause")
			}
		}
		expect("after the tick", a, false)
		a.clock.confirm(began, time.Now())
		expect("confirmed by an exchange from before the pause", a, false)
		log.down = true
		a.Sync(ctx)
		expect("vouched for by a peer that was paused too", a, false)
		log.down = false
		b.Sync(ctx)
		log.down = true
		a.Sync(ctx)
		expect("vouched for by a peer that reached the service", a, true)
	})
}

// Symptom: an outage of the service stops traffic, or a router cut off from all
// goes on by an old configuration. Sequence: the service goes down; a router
// starts; then the last peer is lost. Cause: readiness that follows the service
// alone, or nothing at all.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		log := filledLog(t, 3)
		old := NewKeeper(Config{Node: "old", Log: log, PeerClient: fakeSpread{}})
		link := &cutLink{fakeSpread: fakeSpread{"old": old}}
		young := NewKeeper(Config{Node: "young", Log: log, PeerClient: link})
		old.cfg.PeerClient = fakeSpread{"young": young}
		old.Sync(ctx)
		log.down = true
		go old.Run(ctx)
		go young.Run(ctx)
		time.Sleep(time.Minute)
		for _, k := range []*Keeper{old, young} {
			if ok, why := k.Ready(); !ok || k.State().Revision != 3 {
				t.Fatalf("%s with a peer and no service: revision %d, ready %v (%s)", k.cfg.Node, k.State().Revision, ok, why)
			}
		}
		link.cut.Store(true)
		time.Sleep(time.Minute)
		if ok, _ := young.Ready(); ok {
			t.Fatal("a router that reaches neither the service nor a peer is ready")
		}
		cancel()
		synctest.Wait()
	})
}

// cutLink is a link to the peers that can be cut.
type cutLink struct {
	fakeSpread
	cut atomic.Bool
}

func (c *cutLink) FetchFrom(ctx context.Context, node string, from uint64) (Batch, error) {
	if c.cut.Load() {
		return Batch{}, errLost
	}
	return c.fakeSpread.FetchFrom(ctx, node, from)
}
