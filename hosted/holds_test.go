package hosted

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/infra"
	"wigeondale/quarantine"
)

// unsteadyStore is a holdStore that fails or doesn't answer until a moment.
type unsteadyStore struct {
	mu     sync.Mutex
	down   time.Time // until then it refuses writes
	silent time.Time // until then it doesn't answer
	hangs  string    // it answers no write of keys with this prefix, if set
	items  map[string][]byte
}

func (s *unsteadyStore) commit(ctx context.Context, key string, write func()) error {
	if time.Now().Before(s.down) {
		return Error.New("refused")
	}
	if time.Now().Before(s.silent) || s.hangs != "" && strings.HasPrefix(key, s.hangs) {
		<-ctx.Done()
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	write()
	return nil
}

func (s *unsteadyStore) Create(ctx context.Context, key string, data []byte) (created bool, err error) {
	err = s.commit(ctx, key, func() {
		if _, known := s.items[key]; !known {
			s.items[key], created = data, true
		}
	})
	return created, err
}

func (s *unsteadyStore) Put(ctx context.Context, key string, data []byte, _ infra.Lease) error {
	return s.commit(ctx, key, func() { s.items[key] = data })
}

func (s *unsteadyStore) Remove(ctx context.Context, key string) error {
	return s.commit(ctx, key, func() { delete(s.items, key) })
}

func (s *unsteadyStore) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.items))
}

// Guards against a hold that is lost because all routers end soon after the store is back: the router that decided wrote it
// again only seconds later.
func TestHoldIsStoredSoonAfterTheStoreIsBack(t *testing.T) {
	const outage, most = 300 * time.Millisecond, 500 * time.Millisecond
	for name, begin := range map[string]func(*unsteadyStore){
		"down":   func(s *unsteadyStore) { s.down = time.Now().Add(outage) },
		"silent": func(s *unsteadyStore) { s.silent = time.Now().Add(outage) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				s := &unsteadyStore{items: map[string][]byte{}}
				begin(s)
				h := newHolds(s, nil)
				h.rank = func(quarantine.Digest) int { return standInRanks }
				h.guard = quarantine.NewGuard(quarantine.Config{})
				go h.run(ctx)
				hold := quarantine.HoldUpdate{Digest: heldDigest(t, "ab"), Account: "acc", RemainingMS: 60_000}
				h.guard.Hold(hold, "test")
				h.quarantined(hold, true)
				time.Sleep(outage + most)
				if len(s.keys()) != 1 {
					t.Errorf("the hold is not stored %v after the store is back", most)
				}
			})
		})
	}
}

// Guards against a hold, and the case before it, that are lost because the node that saw the last crash has ended, and all
// others end a second later.
func TestOthersWriteSoonForANodeThatEnded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s := &unsteadyStore{items: map[string][]byte{}}
		n := startCaseNode(ctx, s)
		h := newHolds(s, nil)
		h.guard, h.rank = n.guard, func(quarantine.Digest) int { return 1 }
		go h.run(ctx)
		report := func(incarnation string) quarantine.Update {
			return quarantine.Update{Crashes: []quarantine.CrashUpdate{{Digest: heldDigest(t, "ab"), Account: "acc", Incarnation: incarnation}}}
		}
		n.guard.HandleUpdate("ended", report("i1"))
		time.Sleep(100 * time.Millisecond)
		n.guard.HandleUpdate("ended", report("i2"))
		time.Sleep(time.Second)
		if len(s.keys()) != 1 {
			t.Error("the case is not stored")
		}
		hold := quarantine.HoldUpdate{Digest: heldDigest(t, "cd"), Account: "acc", RemainingMS: 60_000}
		n.guard.Hold(hold, "ended")
		h.quarantined(hold, false)
		time.Sleep(time.Second)
		if len(s.keys()) != 2 {
			t.Error("the hold is not stored")
		}
	})
}
