package rollout

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// rollouts is the number of simulated roll-outs for each combination of a kind of version and
// a kind of service.
var rollouts = flag.Int("rollouts", 2, "simulated roll-outs of each sort and service")

// The two kinds of services: model engines, whose answers take a second to start, and a service
// that is not a model engine, one of whose routes fails one answer in seven at either version.
var (
	engineService = plan{rate: 49, replicas: 180, routes: []simRoute{
		{name: "draft", mean: time.Second, pace: 30 * time.Millisecond}, {name: "note", mean: time.Second, pace: 30 * time.Millisecond},
	}}
	nonEngineService = plan{rate: 128, replicas: 3, routes: []simRoute{
		{name: "book", mean: 15 * time.Millisecond}, {name: "look", mean: 15 * time.Millisecond, fails: 0.14},
	}}
)

func (p plan) with(routers int, d time.Duration, v version, f faults) plan {
	p.routerCount, p.version, p.faults = routers, v, f
	p.order = Order{Service: "s", Target: "v2", Duration: d, Revision: 1}
	return p
}

// noFaults, someFaults and manyFaults are the faults that affect a service during its roll-out.
var (
	noFaults   = faults{}
	someFaults = faults{failing: 0.03, drawn: true, crash: map[time.Duration]string{2 * time.Second: "d0", 6 * time.Second: "d1"}}
	manyFaults = faults{failing: 0.14, crash: map[time.Duration]string{2 * time.Second: "d0", 6 * time.Second: "d1"}}
)

// eachKind simulates roll-outs of both kinds of services, with and without faults.
func eachKind(t *testing.T, v func(kind string) version, check func(name string, o outcome)) {
	for name, p := range map[string]plan{"engines": engineService, "plain": nonEngineService} {
		for i, f := range []faults{noFaults, manyFaults} {
			for seed := range *rollouts {
				p := p.with(simRouters, 12*time.Second, v(name), f)
				check(fmt.Sprintf("%s, faults %d, seed %d", name, i, seed), simulate(t, p, uint64(100*i+seed)))
			}
		}
	}
}

const simRouters = 24

// A healthy version must complete, and must not be rolled back because of faults that the
// version does not cause: two failure domains crash during the trial, and some replicas of
// either version fail two answers in five.
func TestSoundVersionCompletes(t *testing.T) {
	rolledBack, all := 0, 0
	eachKind(t, func(string) version { return version{} }, func(name string, o outcome) {
		all++
		switch {
		case o.stage != Completed:
			rolledBack++
			t.Logf("%s: %+v", name, o)
		case o.ended > 12*time.Second:
			t.Errorf("%s: completed after %v", name, o.ended)
		}
	})
	// One healthy version in a hundred may be rolled back.
	if rolledBack > all/100 {
		t.Errorf("%d of %d healthy versions were rolled back", rolledBack, all)
	}
}

// Without any faults each healthy version must complete.
func TestSoundVersionCompletesInCalm(t *testing.T) {
	for name, p := range map[string]plan{"engines": engineService, "plain": nonEngineService} {
		for seed := range *rollouts {
			if o := simulate(t, p.with(simRouters, 12*time.Second, version{}, noFaults), uint64(seed)); o.stage != Completed {
				t.Errorf("%s, seed %d: %+v", name, seed, o)
			}
		}
	}
}

// A healthy version must complete although one of the three replicas of a service that is not
// a model engine fails two answers in five, and two failure domains crash during the trial.
// With these seeds the evidence of the failing replica's failure domain alone once kept the
// trial from passing.
func TestSoundVersionWithOneFailingReplicaCompletes(t *testing.T) {
	for _, seed := range []uint64{112, 117} {
		if o := simulate(t, nonEngineService.with(simRouters, 12*time.Second, version{}, someFaults), seed); o.stage != Completed {
			t.Errorf("seed %d: %+v", seed, o)
		}
	}
}

// A bad version must be rolled back; it must neither keep its share nor get all requests. The
// version is bad from the start, turns bad during the trial, is slow, or fails on one route
// only. The fault is missed if the version is evaluated by too few answers, by the sum of all
// routes, or by answers from before the version turned bad.
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

// checkExposure checks that a bad version got no more requests than the limits of the simulation
// allow.
func checkExposure(t *testing.T, name string, o outcome) {
	if most := 0.1*float64(o.requests) + 50; float64(o.exposed) > most {
		t.Errorf("%s: %d of %d requests reached it, %.0f may", name, o.exposed, o.requests, most)
	}
	if o.exposedAfterFiftieth > 5*time.Second {
		t.Errorf("%s: a request reached it %v after its fiftieth bad answer", name, o.exposedAfterFiftieth)
	}
}

// When the router that writes the record stops during the trial, another router must take
// over: otherwise no router ends the roll-out.
func TestAnotherRouterTakesOver(t *testing.T) {
	p := nonEngineService.with(6, 12*time.Second, version{}, noFaults)
	p.killAt = 3 * time.Second
	if o := simulate(t, p, 1); o.stage != Completed {
		t.Errorf("ended as %+v", o)
	}
	p = nonEngineService.with(6, 12*time.Second, version{fails: 0.4}, noFaults)
	p.killAt = 2 * time.Second
	o := simulate(t, p, 1)
	if o.stage != RolledBack {
		t.Errorf("ended as %+v", o)
	}
	checkExposure(t, "after a takeover", o)
}

// A trial at a service that gets a request only now and then must pass, and must not wait
// forever for answers.
func TestFewRequestsComplete(t *testing.T) {
	p := nonEngineService.with(6, 12*time.Second, version{}, noFaults)
	p.rate = 0.5
	if o := simulate(t, p, 3); o.stage != Completed {
		t.Errorf("ended as %+v", o)
	}
}

// A bad version must be rolled back although many routers share the requests, so that each
// router sees only a few.
func TestManyRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("takes seconds")
	}
	for _, n := range []int{76, 300} {
		o := simulate(t, engineService.with(n, 12*time.Second, version{fails: 0.5}, noFaults), 1)
		if o.stage != RolledBack {
			t.Errorf("%d routers: ended as %+v", n, o)
		}
		checkExposure(t, fmt.Sprint(n, " routers"), o)
		t.Logf("%d routers: %.0f bytes of reports a router and second", n, float64(o.bytes)/float64(n)/12)
	}
}
