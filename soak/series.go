package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"wigeondale/clock"
)

// series injects faults of several steps beside the others, one after the other. It draws from a generator of its own, so that a seed
// draws the same other faults with and without it.
type series struct {
	cfg     *Config
	rng     *rand.Rand
	history *history
	begun   bool // a router was out of step before
	stop    func()
	running sync.WaitGroup
}

// seriesFault is a fault of several steps. play ends all that it has begun, also if ctx ends.
type seriesFault struct {
	name string
	play func(ctx context.Context, rng *rand.Rand)
}

const (
	seriesStream = 14
	// seriesGap is the mean time between two faults.
	seriesGap = 700 * time.Millisecond
	// onlyVersionTime is how long one version serves before the first router is out of step.
	onlyVersionTime = 2500 * time.Millisecond
)

func newSeries(r *run) *series {
	return &series{cfg: &r.cfg, history: r.history, rng: rand.New(rand.NewPCG(r.cfg.Seed, seriesStream)), stop: func() {}}
}

// start injects the faults for the time of the others.
func (s *series) start(ctx context.Context, faults []seriesFault) {
	if s.cfg.Calm || len(faults) == 0 {
		return
	}
	ctx, s.stop = context.WithCancel(ctx)
	s.running.Go(func() {
		for deadline := time.Now().Add(s.cfg.FaultTime); time.Now().Before(deadline); {
			f := faults[s.rng.IntN(len(faults))]
			s.history.add(f.name)
			f.play(ctx, s.rng)
			if !clock.Sleep(ctx, time.Duration(s.rng.Int64N(2*int64(seriesGap)))) {
				return
			}
		}
	})
}

// end waits until the fault in progress has ended.
func (s *series) end() {
	s.stop()
	s.running.Wait()
}

// seriesFaults lists the faults of Config.OutOfStep, Config.PeerCuts, Config.Stops, Config.Settings, Config.Floods and Config.Crowds.
func (r *platformRun) seriesFaults() []seriesFault {
	var all []seriesFault
	if r.cfg.OutOfStep {
		all = append(all, seriesFault{"a router is out of step while versions change and others end", r.outOfStep})
	}
	if r.cfg.PeerCuts {
		all = append(all, seriesFault{"routers are cut from their peers", r.peerCut})
	}
	if r.cfg.Stops {
		all = append(all, seriesFault{"routers are told to end under load", r.stopUnderLoad})
	}
	if r.cfg.Settings {
		all = append(all, seriesFault{"the settings change", r.changeSettings})
	}
	if r.cfg.Floods {
		all = append(all, seriesFault{"all replicas of a service answer many requests without end", r.flood})
	}
	if r.cfg.Crowds {
		all = append(all, seriesFault{"a router has a crowd of clients that don't behave while another ends", r.crowd})
	}
	return all
}

// seriesFaults lists the faults of Config.OutOfStep, Config.Stops, Config.Floods and Config.Crowds.
func (r *productRun) seriesFaults() []seriesFault {
	var all []seriesFault
	processes := make([]*process, 0, len(r.routers))
	for _, rt := range r.routers {
		processes = append(processes, &rt.process)
	}
	if r.cfg.OutOfStep {
		all = append(all, seriesFault{"a router is out of step while others end", func(ctx context.Context, rng *rand.Rand) {
			end := r.leaveBehind(rng)
			clock.Sleep(ctx, outOfStepTime(rng))
			endOthers(ctx, rng, processes, end)
		}})
	}
	if r.cfg.Stops {
		all = append(all, seriesFault{"a router is told to end under load", func(ctx context.Context, rng *rand.Rand) {
			stopOne(ctx, rng, processes[rng.IntN(len(processes))])
		}})
	}
	if r.cfg.Floods {
		all = append(all, seriesFault{"all plain services answer many requests without end", r.flood})
	}
	if r.cfg.Crowds {
		all = append(all, seriesFault{"a router has a crowd of clients that don't behave while another ends", r.crowd})
	}
	return all
}

// outOfStepTime draws how long a router is out of step: long enough for streams to begin at a version that it doesn't know.
func outOfStepTime(rng *rand.Rand) time.Duration {
	return 2500*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond)))
}

// endOthers kills routers, lets the one that is out of step go on, and starts the killed ones again.
func endOthers(ctx context.Context, rng *rand.Rand, all []*process, goOn func()) {
	most := rng.IntN(2) == 0
	first := rng.IntN(2) == 0
	if first {
		goOn()
	}
	var killed []*process
	for _, p := range all {
		if !p.isPaused() && (most || rng.IntN(2) == 0) {
			p.kill()
			killed = append(killed, p)
		}
	}
	if !first {
		goOn()
	}
	clock.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
	for _, p := range killed {
		p.restart()
	}
}

// outOfStep lets a router stand still, or cuts it from the store, while a version is released, and then ends others.
func (r *platformRun) outOfStep(ctx context.Context, rng *rand.Rand) {
	behind := r.nodes[rng.IntN(len(r.nodes))]
	var goOn func()
	if s := r.series; !s.begun || rng.IntN(3) > 0 {
		if !s.begun {
			clock.Sleep(ctx, onlyVersionTime) // streams of the only version begin, and the routers have links
		}
		s.begun = true
		behind.signal(syscall.SIGSTOP)
		goOn = func() { behind.signal(syscall.SIGCONT) }
	} else {
		goOn = r.linkFault(behind, "cut", "heal")
	}
	finish := func() {}
	if r.cfg.Software {
		if f := r.replaceSoftware(rng, fmt.Sprint("o", rng.IntN(1e6)), max(r.cfg.Engines/2, releasedEngines)); f != nil {
			finish = f
		}
	}
	clock.Sleep(ctx, outOfStepTime(rng))
	if rng.IntN(2) == 0 {
		finish()
		finish = func() {}
	}
	var others []*process
	for _, n := range r.nodes {
		if n != behind {
			others = append(others, &n.process)
		}
	}
	endOthers(ctx, rng, others, goOn)
	finish()
}

// leaveBehind lets a router stand still, or cuts it from its peers, until the returned function is called.
func (r *productRun) leaveBehind(rng *rand.Rand) (goOn func()) {
	behind := r.routers[rng.IntN(len(r.routers))]
	if rng.IntN(2) == 0 {
		behind.signal(syscall.SIGSTOP)
		return func() { behind.signal(syscall.SIGCONT) }
	}
	r.setFault("peer-"+behind.id, "cut", "")
	r.setFault("kv-"+behind.id, "cut", "")
	return func() {
		r.setFault("peer-"+behind.id, "heal", "")
		r.setFault("kv-"+behind.id, "heal", "")
	}
}

func stopOne(ctx context.Context, rng *rand.Rand, p *process) {
	p.signal(syscall.SIGTERM)
	if rng.IntN(4) == 0 {
		clock.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
		p.signal(syscall.SIGTERM) // a second signal changes nothing
	}
	clock.Sleep(ctx, stopGrace+time.Duration(rng.Int64N(int64(time.Second))))
	p.restart()
}
