package hosted

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/directory"
	"wigeondale/fakes/bubble"
	"wigeondale/settings"
)

// Idle engines must not seem busy, more and more of them the longer routers run. That happens
// above all where a router rarely uses the same engine twice: a request ends just before a
// router repeats all its loads, or the message about the request's end is lost. The repetition
// must also end the requests that it does not list.
func TestWhatEndedIsForgottenByTheOthers(t *testing.T) {
	for name, lost := range map[string]bool{"ends before a repetition": false, "its message is lost": true} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				list := engineList(1, 1)
				local, remote := pickerOf(t, list, 50000), pickerOf(t, list, 50000)
				peersOf := func(p *picker) *peers {
					return newPeers(&settings.Settings{Hosted: &settings.Hosted{}}, nil, p.dir, p.mon, newStoreSync("n", "d", nil), nil)
				}
				from, to := peersOf(local), peersOf(remote)
				linked := func() bool { return true }
				from.fullyLinked, to.fullyLinked = linked, linked
				var dropping atomic.Bool
				go from.broadcastLoop(ctx, func(m loadsMessage) {
					if !dropping.Load() {
						to.handleLoads("from", m)
					}
				}, to.applyPeerLoads)
				time.Sleep(loadsInterval + time.Millisecond) // the first repetition
				share := local.dir.Begin("e0", directory.Load{Requests: 1, Reading: 5000, Memory: 6000})
				time.Sleep(loadsFullInterval - loadsInterval) // just before the next repetition of all loads
				if remote.dir.Reading("e0") != 5000 {
					t.Fatal("the other router does not know the request")
				}
				dropping.Store(lost)
				share.End()
				if lost {
					time.Sleep(loadsFullInterval / 2)
					dropping.Store(false)
				}
				time.Sleep(loadsFullInterval + loadsInterval)
				if got := remote.dir.Reading("e0"); got != 0 {
					t.Errorf("%v tokens are still to be read", got)
				}
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}

// After a start of many routers, a router is linked to the first few other routers and
// receives their loads, then finds out that there are many more routers. The loads of a few
// routers must not count for the loads of all routers; engines must be queried. Otherwise
// prompts are placed for six seconds as if most engines were idle.
func TestWordOfAFewIsDroppedWhenThereAreMany(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		pick := pickerOf(t, engineList(1, 1), 50000)
		p := newPeers(&settings.Settings{Hosted: &settings.Hosted{}}, nil, pick.dir, pick.mon, newStoreSync("n", "d", nil), nil)
		var many atomic.Bool
		p.fullyLinked = func() bool { return !many.Load() }
		go p.broadcastLoop(ctx, func(loadsMessage) {}, func(time.Time) {})
		p.handleLoads("other", loadsMessage{All: true, Loads: directory.PeerLoads{"e0": {Requests: 1, Reading: 5000}}})
		time.Sleep(2 * loadsInterval)
		if !pick.dir.PeersSendLoads() || pick.dir.Reading("e0") != 5000 {
			t.Fatal("the loads of the only other router don't count")
		}
		many.Store(true)
		time.Sleep(2 * loadsInterval)
		if pick.dir.PeersSendLoads() || pick.dir.Reading("e0") != 0 {
			t.Error("the loads of a few routers count")
		}
		stop()
		synctest.Wait()
	})
}

// Guards against a message of which only the implausible part is dropped, and against estimates of other
// routers that change decisions of one that doesn't estimate.
func TestLoadsOfOtherRoutersAreChecked(t *testing.T) {
	stated := directory.Load{Requests: 4, Reading: 5000, Memory: 6000, Spread: 1e6, Extra: -3}
	for sizing, want := range map[string]directory.Load{
		settings.SizingLearned: stated, settings.SizingMaximum: {Requests: 4, Reading: 5000, Memory: 6000},
	} {
		pick := pickerOf(t, engineList(2, 2), 50000)
		h := &settings.Hosted{Decisions: settings.Decisions{Sizing: sizing}}
		p := newPeers(&settings.Settings{Hosted: h}, nil, pick.dir, pick.mon, newStoreSync("n", "d", nil), nil)
		p.fullyLinked = func() bool { return true }
		p.handleLoads("a", loadsMessage{All: true, Loads: directory.PeerLoads{"e0": stated}})
		for _, bad := range []directory.Load{{Reading: -1}, {Requests: 1, Extra: -0.8}, {Memory: -1}, {Spread: -1}, {Running: -1}, {Requests: -1}} {
			p.handleLoads("a", loadsMessage{Loads: directory.PeerLoads{"e0": {}, "e1": bad}})
		}
		if got := p.received["a"].loads; len(got) != 1 || got["e0"] != want {
			t.Errorf("%s: got %+v, want %+v", sizing, got, want)
		}
	}
}
