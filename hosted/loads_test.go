package hosted

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/directory"
	"wigeondale/settings"
)

// Symptom: the longer routers run, the more engines seem busy that are idle, most of all
// where a router seldom uses the same engine twice. Sequence: a request ends just before a
// router repeats all that it has under way; or the word that it ended is lost. Cause: the
// repetition named what is under way only, and what it left out counted on.
func TestWhatEndedIsForgottenByTheOthers(t *testing.T) {
	for name, lost := range map[string]bool{"ends before a repetition": false, "its word is lost": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				list := engineList(1, 1)
				own, other := pickerOf(t, list, 50000), pickerOf(t, list, 50000)
				peersOf := func(p *picker) *peers {
					return newPeers(&settings.Settings{Hosted: &settings.Hosted{}}, nil, p.dir, p.mon, newNews("n", "d", nil), nil)
				}
				from, to := peersOf(own), peersOf(other)
				all := func() bool { return true }
				from.full, to.full = all, all
				var deaf atomic.Bool
				go from.tellAlways(ctx, func(m loadsMessage) {
					if !deaf.Load() {
						to.takeLoads("from", m)
					}
				}, to.sum)
				time.Sleep(tellEvery + time.Millisecond) // the first repetition
				share := own.dir.Begin("e0", directory.Load{Requests: 1, Reading: 5000, Memory: 6000})
				time.Sleep(tellAll - tellEvery) // just before the next one
				if other.dir.Reading("e0") != 5000 {
					t.Fatal("the request was not heard of")
				}
				deaf.Store(lost)
				share.End()
				if lost {
					time.Sleep(tellAll / 2)
					deaf.Store(false)
				}
				time.Sleep(tellAll + tellEvery)
				if got := other.dir.Reading("e0"); got != 0 {
					t.Errorf("%v tokens are still to be read", got)
				}
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}

// Symptom: after all of many routers started, they place prompts for six seconds as if most
// engines were idle. Sequence: a router is linked to the first few others and hears what
// they have under way; then it learns that there are many more. Cause: the word of a few
// counted for all, and engines were not asked.
func TestWordOfAFewIsDroppedWhenThereAreMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		pick := pickerOf(t, engineList(1, 1), 50000)
		p := newPeers(&settings.Settings{Hosted: &settings.Hosted{}}, nil, pick.dir, pick.mon, newNews("n", "d", nil), nil)
		var many atomic.Bool
		p.full = func() bool { return !many.Load() }
		go p.tellAlways(ctx, func(loadsMessage) {}, func(time.Time) {})
		p.takeLoads("other", loadsMessage{All: true, Loads: directory.PeerLoads{"e0": {Requests: 1, Reading: 5000}}})
		time.Sleep(2 * tellEvery)
		if !pick.dir.PeersSendLoads() || pick.dir.Reading("e0") != 5000 {
			t.Fatal("the word of one that is all others doesn't count")
		}
		many.Store(true)
		time.Sleep(2 * tellEvery)
		if pick.dir.PeersSendLoads() || pick.dir.Reading("e0") != 0 {
			t.Error("the word of a few counts")
		}
		stop()
		synctest.Wait()
	})
}
