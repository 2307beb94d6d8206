package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// fakeProber holds the result of a probe of each backend server; servers without an entry work.
type fakeProber struct {
	mu      sync.Mutex
	results map[string]State
}

func (s *fakeProber) set(id string, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[id] = state
}

func (s *fakeProber) Probe(_ context.Context, b fleet.Backend) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.results[b.ID]; ok {
		return state
	}
	return Working
}

// fakeRouters are routers that broadcast updates to each other with a delay.
type fakeRouters struct {
	*fakeProber
	startedAt time.Time
	all       []*Guard
	leaving   map[string]bool
	holds     atomic.Int64 // calls of OnHold at the first router
}

func newFakeRouters(n int, delay time.Duration) *fakeRouters {
	w := &fakeRouters{fakeProber: &fakeProber{results: map[string]State{}}, leaving: map[string]bool{}, startedAt: time.Now()}
	for i := range n {
		cfg := Config{
			Now:     w.now,
			Prober:  w,
			Leaving: func(id string) bool { return w.leaving[id] },
			Neighbours: func(b fleet.Backend, n int) []fleet.Backend {
				var out []fleet.Backend
				for k := range n {
					out = append(out, fleet.Backend{ID: fmt.Sprint(b.FailureDomain, "-neighbour", k)})
				}
				return out
			},
			Broadcast: func(m Update) {
				time.AfterFunc(delay, func() {
					for k, other := range w.all {
						if k != i {
							other.HandleUpdate(fmt.Sprint("r", i), m)
						}
					}
				})
			},
		}
		if i == 0 {
			cfg.OnHold = func(HoldUpdate, bool) { w.holds.Add(1) }
		}
		g := NewGuard(cfg)
		g.SetKey([]byte("key"))
		w.all = append(w.all, g)
	}
	return w
}

func (w *fakeRouters) now() time.Duration { return time.Since(w.startedAt) }

func subject(name string) Subject { return Subject{Account: "acc", Body: []byte(name)} }

// exitDuring makes a backend server exit while it runs a submission of a request. It waits
// until the loss has been examined, and then for one more second.
func (w *fakeRouters) exitDuring(c *Submission, id string) {
	w.set(id, Exited)
	<-c.Lost(Loss{Backend: fleet.Backend{ID: id, FailureDomain: "d"}, Ran: time.Second})
	time.Sleep(time.Second)
}

// A request that arrives after the third crash, but before the decision about it, must not be
// sent, and a router that saw no crash itself must refuse the request too. The fault is that
// the router that saw the crashes sends the request before it has decided, or that only this
// router refuses.
func TestAllRoutersHoldARequestBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeRouters(3, 20*time.Millisecond)
		first := w.all[0].Track(subject("bad"))
		w.exitDuring(first, "e0")
		w.exitDuring(first, "e1")
		w.set("e2", Exited)
		<-first.Lost(Loss{Backend: fleet.Backend{ID: "e2"}, Ran: time.Second})
		time.Sleep(40 * time.Millisecond)
		began := time.Now()
		for i, g := range w.all {
			if err := g.Track(subject("bad")).Refusal(t.Context()); !errors.Is(err, ErrQuarantined) {
				t.Errorf("router %d: %v", i, err)
			}
			if err := g.Track(subject("other")).Refusal(t.Context()); err != nil {
				t.Errorf("router %d refuses another request: %v", i, err)
			}
			if err := g.Track(Subject{Account: "another", Body: []byte("bad")}).Refusal(t.Context()); err != nil {
				t.Errorf("router %d refuses the request of another account: %v", i, err)
			}
		}
		if elapsed := time.Since(began); elapsed > decisionDelay {
			t.Errorf("decided after %v", elapsed)
		}
		if n := w.holds.Load(); n != 1 {
			t.Errorf("OnHold was called %d times", n)
		}
	})
}

// An attempt that was lost for a reason other than a crash under its request must not count
// against the request: otherwise a harmless request is quarantined. Each case is one such
// reason.
func TestOtherLossesAreNoCrashes(t *testing.T) {
	for name, loss := range map[string]func(w *fakeRouters, id string) Loss{
		"its server goes on working": func(*fakeRouters, string) Loss { return Loss{} },
		"its server can't be told from a broken network": func(w *fakeRouters, id string) Loss {
			w.set(id, Unreachable)
			return Loss{}
		},
		"its server was to leave": func(w *fakeRouters, id string) Loss {
			w.set(id, Exited)
			w.leaving[id] = true
			return Loss{}
		},
		"it ran for long": func(w *fakeRouters, id string) Loss {
			w.set(id, Exited)
			return Loss{Chunks: 40, SinceFirst: earlyWindow}
		},
		"the whole domain is lost": func(w *fakeRouters, id string) Loss {
			w.set(id, Exited)
			for k := range maxNeighbours {
				w.set(fmt.Sprint("d-neighbour", k), Exited)
			}
			return Loss{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := newFakeRouters(1, 0)
				c := w.all[0].Track(subject("good"))
				for i := range 6 {
					id := fmt.Sprint("e", i)
					l := loss(w, id)
					l.Backend = fleet.Backend{ID: id, FailureDomain: "d"}
					l.Ran = time.Second
					<-c.Lost(l)
					time.Sleep(time.Second)
				}
				if err := c.Refusal(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// When an operator ends the hold of a request at one router, all routers must send the request
// again. The fault is that only this router ends the hold, or that the request can never be
// sent again. One more crash under the request must quarantine it anew.
func TestLiftReachesAllRouters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeRouters(2, 20*time.Millisecond)
		c := w.all[0].Track(subject("bad"))
		for i := range 3 {
			w.exitDuring(c, fmt.Sprint("e", i))
		}
		d, err := ParseDigest(c.DigestString())
		if err != nil {
			t.Fatal(err)
		}
		if !w.all[1].Lift(d, "operator") {
			t.Error("it was not quarantined")
		}
		time.Sleep(time.Second)
		for i, g := range w.all {
			if err := g.Track(subject("bad")).Refusal(t.Context()); err != nil {
				t.Errorf("router %d: %v", i, err)
			}
		}
		w.exitDuring(w.all[0].Track(subject("bad")), "e9")
		if err := c.Refusal(t.Context()); !errors.Is(err, ErrQuarantined) {
			t.Error("one more crash does not quarantine it again")
		}
	})
}

// A burst of crashes must not saturate the connections between routers: updates are batched,
// and the rate of messages and the number of waiting updates are bounded.
func TestNewsAreFewAndBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var messages, items atomic.Int64
		began := time.Now()
		g := NewGuard(Config{
			Now:    func() time.Duration { return time.Since(began) },
			Prober: &fakeProber{results: map[string]State{}}, Leaving: func(string) bool { return false },
			Neighbours: func(fleet.Backend, int) []fleet.Backend { return nil },
			Broadcast:  func(n Update) { messages.Add(1); items.Add(int64(n.size())) },
		})
		for i := range 10 * maxPending {
			g.broadcast(Update{Exits: []ExitUpdate{{Incarnation: fmt.Sprint(i)}}})
		}
		time.Sleep(time.Second)
		for range 100 {
			g.broadcast(Update{Exits: []ExitUpdate{{Incarnation: "x"}}})
			time.Sleep(10 * time.Millisecond)
		}
		if messages.Load() > sendBurst+12 || items.Load() > maxPending+100 {
			t.Errorf("%d messages with %d updates", messages.Load(), items.Load())
		}
	})
}

// When a request has crashed most servers of a small failure domain, the next crash under the
// request must still count against the request. The fault is that the router takes the servers
// that crashed earlier as a sign that the whole domain crashed, so that the request keeps
// being sent.
func TestSmallDomainIsNotTakenForLost(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeRouters(1, 0)
		c := w.all[0].Track(subject("bad"))
		for k := range 3 {
			w.exitDuring(c, fmt.Sprint("d-neighbour", k))
		}
		for k := 3; k < maxNeighbours; k++ {
			w.set(fmt.Sprint("d-neighbour", k), Unreachable)
		}
		w.exitDuring(c, "e3")
		if n := len(w.all[0].List()[0].Crashes); n != 4 {
			t.Errorf("%d crashes are counted, want 4", n)
		}
	})
}

// A router that starts may read a hold from the store before it reads the shared key. The
// router must keep the hold when it sets the shared key, and not drop it together with the
// suspects that it found with its first, random key.
func TestHoldsOutliveTheFirstKey(t *testing.T) {
	g := NewGuard(Config{Leaving: func(string) bool { return false }})
	d := digestOf("bad")
	g.Hold(HoldUpdate{Digest: d, Account: "acc", RemainingMS: 60_000}, "store")
	g.SetKey([]byte("key"))
	if err := g.Track(subject("bad")).Refusal(t.Context()); !errors.Is(err, ErrQuarantined) {
		t.Errorf("the request is sent: %v", err)
	}
}

// Guards against a starting router that sends a held request before another router has reported the hold, or after a reply
// of a router that has just started too.
func TestStartingRouterWaitsForTheHolds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		start := func() *Guard {
			g := NewGuard(Config{StartWait: 500 * time.Millisecond})
			g.SetKey([]byte("key"))
			return g
		}
		subject := Subject{Account: "acc", Content: Content{Parts: []string{"first", "bad"}}}
		known := start()
		time.Sleep(time.Second)
		held := partDigest([]byte("key"), "bad")
		known.HoldPart(PartHold{Digest: held, Accounts: []string{"acc"}, Models: []string{""}, RemainingMS: 60_000}, "test")
		starting, alsoStarting := start(), start()
		reply := func(g *Guard) HoldsCall {
			return func(_ context.Context, _ string, req HoldsRequest) (Update, error) { return g.CurrentHolds(req), nil }
		}
		starting.SyncHoldsFrom("started too", reply(alsoStarting))
		time.AfterFunc(100*time.Millisecond, func() { starting.SyncHoldsFrom("known", reply(known)) })
		begun := time.Now()
		if err := starting.Track(subject).Refusal(t.Context()); err != ErrPartQuarantined || time.Since(begun) != 100*time.Millisecond {
			t.Errorf("after %v: %v", time.Since(begun), err)
		}
		if err := alsoStarting.Track(subject).Refusal(t.Context()); err != nil || time.Since(begun) != 500*time.Millisecond {
			t.Errorf("without a reply, after %v: %v", time.Since(begun), err)
		}
	})
}
