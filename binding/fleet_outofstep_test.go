package binding

import (
	"fmt"
	"testing"
	"time"
)

// outOfStep is how a simulated router falls behind the others without noticing it at once.
type outOfStep struct {
	cutBegan   time.Duration
	passes     direction // of messages during the cut
	pauseBegan time.Duration
	oldNews    time.Duration // until then, messages that waited during a pause or cut make the copy appear current
}

// direction is the way in which messages pass a cut.
type direction int

const (
	noWay direction = iota
	outward
	inward
	directions
)

const (
	// noticeTime is how long a router considers a link alive over which it receives nothing.
	noticeTime  = 4 * time.Second
	oldNewsTime = 300 * time.Millisecond
)

// considersLinked reports whether router a considers itself linked to b.
func (f *simFleet) considersLinked(a, b *simRouter) bool {
	if !f.lateNotice {
		return f.linked(a, b)
	}
	silent := func(began, until time.Duration) bool { return f.now < until && f.now-began >= noticeTime }
	return f.up(a) && f.up(b) && !silent(b.pauseBegan, b.paused) &&
		(a.passes == inward || !silent(a.cutBegan, a.offPeers)) && (b.passes == outward || !silent(b.cutBegan, b.offPeers))
}

// apparentAge returns the age of a router's copy of the store as the router knows it.
func (f *simFleet) apparentAge(r *simRouter) time.Duration {
	if f.now < r.oldNews {
		return 0
	}
	return f.now - r.asOf
}

// resumes reports whether a router's pause has just ended: it reads requests first.
func (f *simFleet) resumes(r *simRouter) bool {
	return f.lateNotice && f.now < r.paused+100*time.Millisecond
}

// routerOfTakeUp draws the router at which a stream is taken up, often one that is out of step.
func (f *simFleet) routerOfTakeUp() int {
	if f.lateNotice && f.rng.IntN(2) == 0 {
		for i, r := range f.routers {
			if f.now < r.offPeers || f.now >= r.paused && f.resumes(r) {
				return i
			}
		}
	}
	return f.rng.IntN(len(f.routers))
}

// fallBehind pauses a router or cuts it off, from the store too or only from the other routers.
func (f *simFleet) fallBehind(r *simRouter) {
	until := f.now + time.Duration(1500+f.rng.IntN(6500))*time.Millisecond
	if f.rng.IntN(2) == 0 {
		r.pauseBegan, r.paused = f.now, until
	} else {
		r.cutBegan, r.offPeers, r.passes = f.now, until, direction(f.rng.IntN(int(directions)))
		if f.rng.IntN(3) > 0 {
			r.offStore = until
		}
	}
	if f.rng.IntN(2) == 0 {
		r.oldNews = until + oldNewsTime
	}
	r.troubledAt = max(r.troubledAt, until)
}

// playOutOfStep releases versions after times in which one served for longer than a stream lasts. Routers fall behind
// around each release, and others end then, so that their streams are taken up.
func (f *simFleet) playOutOfStep() {
	f.lateNotice = true
	var replace func()
	releaseAt, untilEnds := f.now+simLifetime+5*time.Second, time.Duration(0)
	for end := f.now + 3*(simLifetime+20*time.Second); f.now < end; f.now += simStep {
		f.deliver()
		if f.now >= releaseAt-2*time.Second && f.now < releaseAt+2*time.Second && f.rng.IntN(25) == 0 {
			f.fallBehind(f.routers[f.rng.IntN(len(f.routers))])
		}
		if f.now >= releaseAt {
			replace = f.release()
			releaseAt, untilEnds = f.now+simLifetime+15*time.Second, f.now+12*time.Second
			if f.rng.IntN(3) == 0 {
				f.troubleStore()
			}
		}
		if replace != nil && f.rng.IntN(3) == 0 {
			replace()
		}
		if f.now < untilEnds && f.rng.IntN(12) == 0 {
			f.breakOff(f.rng.IntN(len(f.routers)), 1)
		}
		if f.now < untilEnds && f.rng.IntN(30) == 0 {
			f.kill(f.rng.IntN(len(f.routers)))
		}
		if f.now > untilEnds && f.now < untilEnds+simStep && f.rng.IntN(2) == 0 {
			f.finishRelease()
		}
		f.step()
	}
}

// Guards against a router that was paused or is cut off, hasn't noticed that yet, and takes a stream of a new version for one of the
// only version on its old list.
func TestRouterOutOfStepJoinsNoVersions(t *testing.T) {
	for routers, n := range map[int]int{8: *fleets / 2, 76: *fleets / 12, 300: *fleets / 48, 985: *fleets / 96} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			began, wrong, inTouch, found := 0, 0, 0, 0
			for seed := range n {
				f := newSimFleet(t, uint64(seed), routers)
				f.playOutOfStep()
				began, wrong, inTouch, found = began+f.began, wrong+f.wrong, inTouch+f.inTouch, found+f.inTouchFound
			}
			t.Logf("%d fleets: %d streams began, %d went on at another version; of %d taken up at routers in touch %d went on", n, began, wrong, inTouch, found)
			if inTouch > 0 && float64(found) < 0.95*float64(inTouch) {
				t.Errorf("%d of %d streams went on", found, inTouch)
			}
		})
	}
}
