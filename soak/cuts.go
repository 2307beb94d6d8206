package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wigeondale/clock"
	fakes "wigeondale/fakes/hosted"
	"wigeondale/fakes/proxy"
)

const (
	cutStream = 13
	// cutGap is the mean time between the beginnings of two cuts.
	cutGap = 700 * time.Millisecond
	// A cut lasts from minCut to maxCut, at most until the other faults end.
	minCut = 200 * time.Millisecond
	maxCut = 4 * time.Second
)

// cutServers are the backend servers of a cut.
type cutServers struct {
	name string
	of   func(addr string) bool
	// harm records that the links to the servers are harmed until the returned function is called.
	harm func() (end func())
}

// cuts cuts routers from backend servers beside the other faults. It draws from a generator of its own, so that a
// seed draws the same other faults with and without cuts.
type cuts struct {
	cfg     *Config
	history *history
	rng     *rand.Rand
	draw    func(*rand.Rand) cutServers

	proxies []*proxy.Proxy // one for each router
	stop    func()
	running sync.WaitGroup
}

func newCuts(r *run, draw func(*rand.Rand) cutServers) *cuts {
	return &cuts{
		cfg: &r.cfg, history: r.history, rng: rand.New(rand.NewPCG(r.cfg.Seed, cutStream)), draw: draw, stop: func() {},
	}
}

// newProxy starts the proxy of the next router and returns its address, or "" if there are no cuts.
func (c *cuts) newProxy() (string, error) {
	if !c.cfg.Cuts {
		return "", nil
	}
	p, err := proxy.Start()
	if err != nil {
		return "", Error.Wrap(err)
	}
	c.proxies = append(c.proxies, p)
	return p.Addr(), nil
}

// start makes cuts for the time of the other faults.
func (c *cuts) start(ctx context.Context) {
	if !c.cfg.Cuts || c.cfg.Calm {
		return
	}
	ctx, c.stop = context.WithCancel(ctx)
	c.running.Go(func() { c.inject(ctx) })
}

func (c *cuts) inject(ctx context.Context) {
	for deadline := time.Now().Add(c.cfg.FaultTime); time.Now().Before(deadline); {
		c.injectOne(ctx)
		if !clock.Sleep(ctx, time.Duration(c.rng.Int64N(2*int64(cutGap)))) {
			return
		}
	}
}

func (c *cuts) injectOne(ctx context.Context) {
	routers := c.rng.Perm(len(c.proxies))[:c.drawRouterCount()]
	servers := c.draw(c.rng)
	mode, modeName := proxy.Hanging, "hanging"
	if c.rng.IntN(4) == 0 {
		mode, modeName = proxy.Resetting, "resetting"
	}
	length := minCut + time.Duration(c.rng.Int64N(int64(maxCut-minCut)))
	c.history.add(fmt.Sprintf("routers %v cut from %s for %v, %s", routers, servers.name, length, modeName))
	harmed := servers.harm()
	var ends []func()
	for _, i := range routers {
		ends = append(ends, c.proxies[i].Cut(mode, servers.of))
	}
	c.running.Go(func() {
		clock.Sleep(ctx, length)
		for _, end := range ends {
			end()
		}
		harmed()
	})
}

// drawRouterCount draws how many routers a cut concerns: often one, at most all.
func (c *cuts) drawRouterCount() int {
	if c.rng.IntN(2) == 0 {
		return 1
	}
	return 1 + c.rng.IntN(len(c.proxies))
}

// end ends all cuts.
func (c *cuts) end() {
	c.stop()
	c.running.Wait()
}

// close ends the proxies.
func (c *cuts) close() {
	for _, p := range c.proxies {
		p.Close()
	}
}

// drawCutServers draws all replicas of a service, or one of them.
func (r *platformRun) drawCutServers(rng *rand.Rand) cutServers {
	service := []string{"llm", "app"}[rng.IntN(2)]
	serving := r.replicasOf(service)
	s := cutServers{name: "all replicas of " + service, of: func(addr string) bool {
		rep := r.replicaAt(addr)
		return rep != nil && rep.Service == service
	}}
	if rng.IntN(2) == 0 && len(serving) > 0 {
		one := serving[rng.IntN(len(serving))]
		serving = []*fakes.Replica{one}
		only := one.Addr()
		s = cutServers{name: one.ID, of: func(addr string) bool { return addr == only }}
	}
	s.harm = func() (end func()) {
		var ends []func()
		for _, rep := range serving {
			ends = append(ends, r.recordHarm(rep))
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}
	return s
}

// drawCutServers draws all engines, all plain services, or one of either.
func (r *productRun) drawCutServers(rng *rand.Rand) cutServers {
	name, kind, count := "engines", "e", r.cfg.Engines
	if rng.IntN(2) == 0 {
		name, kind, count = "plain services", "s", r.cfg.Services
	}
	ids := []string{fmt.Sprint(kind, rng.IntN(count))}
	if rng.IntN(2) == 0 {
		name = "all " + name
		for i := range count {
			ids = append(ids, fmt.Sprint(kind, i))
		}
	} else {
		name = ids[0]
	}
	addrs, of := r.fakes.Ports(), map[string]bool{}
	for _, id := range ids {
		of[addrs[id]] = true
	}
	return cutServers{name: name, of: func(addr string) bool { return of[addr] }, harm: func() func() { return func() {} }}
}
