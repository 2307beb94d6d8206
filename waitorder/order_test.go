package waitorder

import (
	"testing"
	"time"
)

type simSize struct {
	routers, seconds int
	urgent           []float64 // shares of the capacity
}

// simSizes returns the sizes of fleets. Up to 24 routers, all are linked to each other and know the load of
// all engines. With the race detector, which makes the simulation ten times slower, the largest
// size is left out.
func simSizes() []simSize {
	if raceDetector {
		return []simSize{{8, 40, []float64{0.1, 0.4, 0.7}}, {59, 8, []float64{0.4}}, {300, 5, []float64{0.4}}}
	}
	return []simSize{{8, 60, []float64{0.1, 0.4, 0.7}}, {59, 12, []float64{0.1, 0.4, 0.7}}, {300, 8, []float64{0.1, 0.4, 0.7}}, {985, 6, []float64{0.4}}}
}

func (r simResult) share(n int) float64 { return 100 * float64(n) / float64(max(r.grants, 1)) }

func simulate(t *testing.T, name string, c simConfig) simResult {
	c.slots, c.run, c.other, c.seed = 9, 10, 1.3, 1
	r := newSim(c).play()
	t.Logf("%s, %d routers, urgent %.1f, ordered %v: urgent requests wait %v (95%%: %v), inversions %.2f%%, of the last slot %.2f%%, slots idle %.2f%%, a priority waited %v, %.0f bytes/s (at most %.0f), %d grants",
		name, c.routers, c.urgent, c.ordered, r.urgentWait, r.p95Wait, r.share(r.inversions), r.share(r.lastRoom), 100*r.idle, r.starved, r.bytes, r.bytesMax, r.grants)
	return r
}

// Guards against urgent requests that wait while routers with none of their own give free slots to
// less urgent ones; against a priority without a grant for 5 s, engines left idle, and control messages of more than
// 3 KB/s. Urgent requests come in bursts, and a fifth of the routers gets four fifths of them.
//
// Where a router must find free slots by asking three engines, the order costs slots: each engine keeps its last one for an urgent
// request. docs/design/order-over-routers.md has the figures behind the bounds.
func TestOrderOverRouters(t *testing.T) {
	for _, size := range simSizes() {
		for _, urgent := range size.urgent {
			c := simConfig{routers: size.routers, seconds: size.seconds, urgent: urgent}
			before := simulate(t, "plain", c)
			c.ordered = true
			checkOrder(t, simulate(t, "plain", c), before, size.routers <= 24)
		}
	}
}

func checkOrder(t *testing.T, got, before simResult, full bool) {
	t.Helper()
	lastRoom, idle := 8.0, 0.06
	if full {
		idle = 0.01
		if s := got.share(got.inversions); s > 2 {
			t.Errorf("%.2f%% of the grants went to a less urgent request", s)
		}
	}
	if s := got.share(got.lastRoom); s > lastRoom {
		t.Errorf("%.2f%% of the grants took the last slot of an engine from a more urgent request", s)
	}
	if got.p95Wait > before.p95Wait/2 {
		t.Errorf("95%% of the urgent requests wait %v, without the order %v", got.p95Wait, before.p95Wait)
	}
	if got.idle > before.idle+idle {
		t.Errorf("%.2f%% of the slots are idle, without the order %.2f%%", 100*got.idle, 100*before.idle)
	}
	checkBounds(t, got)
}

func checkBounds(t *testing.T, got simResult) {
	t.Helper()
	if got.starved > 5*time.Second {
		t.Errorf("a priority got nothing for %v", got.starved)
	}
	if got.bytesMax > 3000 {
		t.Errorf("a router sent %.0f bytes/s", got.bytesMax)
	}
}

// Guards against routers that hold up others after they have died or were cut off, against
// messages that come again two seconds late, and against routers of the previous release, which send
// and pass on nothing: in each case a priority could wait for ever, or engines stay idle.
func TestOrderUnderFaults(t *testing.T) {
	for name, fault := range map[string]func(*simConfig){
		"routers killed":           func(c *simConfig) { c.kill = true },
		"mesh cut into halves":     func(c *simConfig) { c.cut = true },
		"messages come late again": func(c *simConfig) { c.noise = true },
		"previous release":         func(c *simConfig) { c.old = 0.3 },
	} {
		for _, size := range simSizes()[:2] {
			c := simConfig{routers: size.routers, seconds: size.seconds, urgent: 0.4}
			fault(&c)
			before := simulate(t, name, c)
			c.ordered = true
			got := simulate(t, name, c)
			checkBounds(t, got)
			if got.idle > before.idle+0.06 {
				t.Errorf("%s, %d routers: %.2f%% of the slots are idle, without the order %.2f%%", name, size.routers, 100*got.idle, 100*before.idle)
			}
			if got.urgentWait > before.urgentWait {
				t.Errorf("%s, %d routers: urgent requests wait %v, without the order %v", name, size.routers, got.urgentWait, before.urgentWait)
			}
		}
	}
}
