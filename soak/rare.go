package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// refusedShare is the share of its calls that the store refuses a router.
	refusedShare = 0.5
	// reuseAfter is how long after the end of a replica its address may go to another one.
	reuseAfter = 2 * time.Second
)

// rareFaults lists the faults of Config.Rare.
func (r *platformRun) rareFaults() []fault {
	if !r.cfg.Rare {
		return nil
	}
	return []fault{
		{"many users come at once", r.burst},
		{"a machine goes dark", r.goDark},
		{"an address goes to another service", r.reuseAddress},
		{"the store refuses calls of a router", r.refuseCalls},
		{"the store's stale reads are old", r.readStale},
		{"a router is killed after an acknowledgement", r.killAfterAcknowledgement},
	}
}

// endRare ends the faults of the store, and what runs at dark machines.
func (r *platformRun) endRare() {
	for _, rep := range r.dark {
		rep.Crash()
		rep.Thaw()
	}
	r.store.SetStale(nil)
	for _, n := range r.nodes {
		n.store.SetRefusals(nil)
		n.store.OnAcknowledged(nil)
	}
}

// burst lets as many clients again send requests.
func (r *platformRun) burst() (end func()) {
	ctx, stop := context.WithCancel(context.Background())
	r.bursts++
	for i := range r.cfg.Clients {
		c := r.newClient(r.bursts*1000 + i)
		r.burstClients.Go(func() { c.loop(ctx) })
	}
	return stop // their last requests may go to a router that another fault has paused
}

// goDark makes a replica's machine lose its power: its connections stay open and nothing is answered.
func (r *platformRun) goDark() (end func()) {
	rep := r.randomReplica()
	if !r.removeIfOthersServe(rep) {
		return nil
	}
	rep.Freeze()
	r.dark = append(r.dark, rep)
	return func() { r.replace(rep) }
}

// reuseAddress ends a replica, and starts one of another service at its address.
func (r *platformRun) reuseAddress() (end func()) {
	rep := r.randomReplica()
	if !r.removeIfOthersServe(rep) {
		return nil
	}
	rep.Thaw()
	rep.Crash()
	endedAt := time.Now()
	return func() {
		r.replace(rep)
		time.Sleep(time.Until(endedAt.Add(reuseAfter)))
		service := "app"
		if !rep.Engine {
			service = "llm"
		}
		// Another process may have the port by now.
		_, _ = r.startReplicaAt(rep.Addr(), service, int(rep.Domain[1]-'0'), !rep.Engine, "")
	}
}

// refuseCalls makes the store refuse some calls of a router.
func (r *platformRun) refuseCalls() (end func()) {
	n, rng := r.randomNode(), rand.New(rand.NewPCG(r.rng.Uint64(), 1))
	var mu sync.Mutex
	n.store.SetRefusals(func() int {
		mu.Lock()
		defer mu.Unlock()
		if rng.Float64() < refusedShare {
			return []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rng.IntN(2)]
		}
		return 0
	})
	return func() { n.store.SetRefusals(nil) }
}

// readStale makes the store answer reads that may be stale from its present contents until the fault ends.
func (r *platformRun) readStale() (end func()) {
	c := r.store.Copy()
	r.store.SetStale(&c)
	return func() { r.store.SetStale(nil) }
}

// killAfterAcknowledgement kills a router when its next write has been acknowledged.
func (r *platformRun) killAfterAcknowledgement() (end func()) {
	n := r.randomNode()
	n.store.OnAcknowledged(n.kill)
	return func() {
		n.store.OnAcknowledged(nil)
		n.restart()
	}
}
