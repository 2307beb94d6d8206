package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// servedWithin is how long after the last fault each router must serve each service.
const servedWithin = 5 * time.Second

// outageFaults lists the faults of Config.Outages.
func (r *platformRun) outageFaults() []fault {
	if !r.cfg.Outages {
		return nil
	}
	return []fault{
		{"entry of a sound replica lapses", func() func() { return r.lapse([]*fakes.Replica{r.randomReplica()}) }},
		{"entries of a sound service lapse", func() func() { return r.lapse(r.replicasOf([]string{"llm", "app"}[r.rng.IntN(2)])) }},
		{"all engines crash", func() func() { return r.crashAll("llm") }},
	}
}

// baseFaults returns the faults that a replica always has.
func (r *platformRun) baseFaults(rep *fakes.Replica) fakes.Faults {
	f := r.badVersions[rep.Version]
	if r.cfg.Outages && rep.Engine {
		f.NoLength = true
	}
	return f
}

func (r *platformRun) replicasOf(service string) []*fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.services[service])
}

// lapse removes the entries of sound replicas, which write them again when the fault ends.
func (r *platformRun) lapse(reps []*fakes.Replica) (end func()) {
	for _, rep := range reps {
		r.store.Unregister(rep)
	}
	return func() {
		for _, rep := range reps {
			if slices.Contains(r.replicasOf(rep.Service), rep) {
				r.store.Register(rep, false)
			}
		}
	}
}

// crashAll crashes all replicas of a service at once. Others replace them when the fault ends.
func (r *platformRun) crashAll(service string) (end func()) {
	reps := r.replicasOf(service)
	var troubled []func()
	for _, rep := range reps {
		troubled = append(troubled, r.checks.ends.trouble.begin(rep))
		rep.Thaw()
		rep.Crash()
	}
	return func() {
		for i, rep := range reps {
			if r.remove(rep) {
				r.replace(rep)
			}
			troubled[i]()
		}
	}
}

// checkServed records a violation if a router refuses all requests for a service whose replicas are sound and listed.
func (r *platformRun) checkServed() {
	if !r.cfg.Outages {
		return
	}
	transport := r.newTransport()
	defer transport.CloseIdleConnections()
	var routers sync.WaitGroup
	for _, n := range r.nodes {
		routers.Go(func() { r.checkServedBy(n, transport) })
	}
	routers.Wait()
}

func (r *platformRun) checkServedBy(n *node, transport *http.Transport) {
	c := &platformClient{run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, 0)), name: "served-" + n.id}
	for _, kind := range []string{"draft", "look"} {
		last := 0
		for end := time.Now().Add(servedWithin); last != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			c.sent++
			res := c.newResult(kind, fmt.Sprintf("%s-%d", c.name, c.sent))
			res.key = r.keys[0]
			last, _, _, _ = c.send(context.Background(), transport, n, &res)
		}
		if last != http.StatusOK {
			r.checks.violated("a service whose replicas are listed is served", "", fmt.Sprintf("%s by %s: the last status is %d", kind, n.id, last))
		}
	}
}
