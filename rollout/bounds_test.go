package rollout

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// rollouts is how many are simulated of each sort and service.
var rollouts = flag.Int("rollouts", 2, "simulated roll-outs of each sort and service")

// The two kinds of services: model engines, whose answers take a second to begin, and a
// plain service, one of whose routes fails one answer in seven at either version.
var (
	engines = plan{perSec: 49, replicas: 180, routes: []simRoute{
		{name: "draft", mean: time.Second, pace: 30 * time.Millisecond}, {name: "note", mean: time.Second, pace: 30 * time.Millisecond},
	}}
	plain = plan{perSec: 128, replicas: 3, routes: []simRoute{
		{name: "book", mean: 15 * time.Millisecond}, {name: "look", mean: 15 * time.Millisecond, fails: 0.14},
	}}
)

func (p plan) with(routers int, d time.Duration, v version, t trouble) plan {
	p.routerCount, p.version, p.trouble = routers, v, t
	p.order = Order{Service: "s", Target: "v2", Duration: d, Revision: 1}
	return p
}

// calm, mild and rough are what may befall a service while its version is replaced.
var (
	calm  = trouble{}
	mild  = trouble{grey: 0.03, drawn: true, crash: map[time.Duration]string{2 * time.Second: "d0", 6 * time.Second: "d1"}}
	rough = trouble{grey: 0.14, crash: map[time.Duration]string{2 * time.Second: "d0", 6 * time.Second: "d1"}}
)

// eachKind plays a number of roll-outs of both kinds of services, in both kinds of trouble.
func eachKind(t *testing.T, v func(kind string) version, judge func(name string, o outcome)) {
	for name, p := range map[string]plan{"engines": engines, "plain": plain} {
		for i, tr := range []trouble{calm, rough} {
			for seed := range *rollouts {
				p := p.with(simRouters, 12*time.Second, v(name), tr)
				judge(fmt.Sprintf("%s, trouble %d, seed %d", name, i, seed), simulate(t, p, uint64(100*i+seed)))
			}
		}
	}
}

const simRouters = 24

// Symptom: a sound version is taken back. Sequence: two failure domains crash while it is
// tried, and some replicas of either version fail two answers in five. Cause: what befalls
// a domain or a replica is taken for a fault of the version.
func TestSoundVersionCompletes(t *testing.T) {
	back, all := 0, 0
	eachKind(t, func(string) version { return version{} }, func(name string, o outcome) {
		all++
		switch {
		case o.stage != Completed:
			back++
			t.Logf("%s: %+v", name, o)
		case o.ended > 12*time.Second:
			t.Errorf("%s: completed after %v", name, o.ended)
		}
	})
	// One in a hundred may be taken back.
	if back > all/100 {
		t.Errorf("%d of %d sound versions were taken back", back, all)
	}
}

// The same where nothing befalls the service.
func TestSoundVersionCompletesInCalm(t *testing.T) {
	for name, p := range map[string]plan{"engines": engines, "plain": plain} {
		for seed := range *rollouts {
			if o := simulate(t, p.with(simRouters, 12*time.Second, version{}, calm), uint64(seed)); o.stage != Completed {
				t.Errorf("%s, seed %d: %+v", name, seed, o)
			}
		}
	}
}

// Symptom: a sound version of a plain service is not completed. Sequence: one of its three
// replicas fails two answers in five, and two failure domains crash in the trial. Cause: the
// doubt of the replica's domain alone kept the trial from being passed.
func TestSoundVersionWithOneFailingReplicaCompletes(t *testing.T) {
	for _, seed := range []uint64{112, 117} {
		if o := simulate(t, plain.with(simRouters, 12*time.Second, version{}, mild), seed); o.stage != Completed {
			t.Errorf("seed %d: %+v", seed, o)
		}
	}
}

// Symptom: a version that fails keeps its share, or gets all requests. Sequence: it is bad
// from the first, late in its trial, slow, or on one route only. Cause: it is judged by too
// few answers, by the sum of all routes, or by what was seen before it turned bad.
func TestBadVersionIsTakenBack(t *testing.T) {
	route := map[string]string{"engines": "draft", "plain": "book"}
	for sort, v := range map[string]func(string) version{
		"fails":    func(string) version { return version{fails: 0.4} },
		"slow":     func(string) version { return version{slow: 0.7, slower: 4} },
		"late":     func(string) version { return version{fails: 0.5, after: 4 * time.Second} },
		"on route": func(kind string) version { return version{fails: 0.6, route: route[kind]} },
	} {
		t.Run(sort, func(t *testing.T) {
			eachKind(t, v, func(name string, o outcome) {
				if o.stage != RolledBack {
					t.Errorf("%s: ended as %q: %+v", name, o.stage, o)
				}
				checkExposure(t, name, o)
			})
		})
	}
}

// checkExposure holds a bad version to the limits of the simulation.
func checkExposure(t *testing.T, name string, o outcome) {
	if most := 0.1*float64(o.requests) + 50; float64(o.exposed) > most {
		t.Errorf("%s: %d of %d requests reached it, %.0f may", name, o.exposed, o.requests, most)
	}
	if o.lastAfterFiftieth > 5*time.Second {
		t.Errorf("%s: a request reached it %v after its fiftieth bad answer", name, o.lastAfterFiftieth)
	}
}

// Symptom: nobody ends a roll-out. Sequence: the router that acts is lost in the trial.
// Cause: only that one writes.
func TestAnotherRouterTakesOver(t *testing.T) {
	p := plain.with(6, 12*time.Second, version{}, calm)
	p.kill = 3 * time.Second
	if o := simulate(t, p, 1); o.stage != Completed {
		t.Errorf("ended as %+v", o)
	}
	p = plain.with(6, 12*time.Second, version{fails: 0.4}, calm)
	p.kill = 2 * time.Second
	o := simulate(t, p, 1)
	if o.stage != RolledBack {
		t.Errorf("ended as %+v", o)
	}
	checkExposure(t, "taken over", o)
}

// Symptom: a service with a request now and then never gets its new version. Cause: its
// trial waits for answers that don't come.
func TestFewRequestsComplete(t *testing.T) {
	p := plain.with(6, 12*time.Second, version{}, calm)
	p.perSec = 0.5
	if o := simulate(t, p, 3); o.stage != Completed {
		t.Errorf("ended as %+v", o)
	}
}

// At many routers each sees a few requests only.
func TestManyRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	for _, n := range []int{76, 300} {
		o := simulate(t, engines.with(n, 12*time.Second, version{fails: 0.5}, calm), 1)
		if o.stage != RolledBack {
			t.Errorf("%d routers: ended as %+v", n, o)
		}
		checkExposure(t, fmt.Sprint(n, " routers"), o)
		t.Logf("%d routers: %.0f bytes of reports a router and second", n, float64(o.bytes)/float64(n)/12)
	}
}
