package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/clock"
	fakes "wigeondale/fakes/hosted"
)

const (
	lengthsStream = 15
	// shortestLength is the shortest length of a request, relative to the longest that may be drawn.
	shortestLength = 0.05
	// streamLength is the factor of the chunk gap of the longest streams.
	streamLength = 2
	// maxSlowBy is the largest factor by which replicas turn slow. longestSlowWork bounds the work of a plain service then, which goes on
	// after its client has left.
	maxSlowBy       = 8
	longestSlowWork = workEndTime * 4 / 5
)

// longestLength draws how long requests are at most, relative to stopWork.
func (c *Config) longestLength() float64 {
	return shortestLength + (1-shortestLength)*rand.New(rand.NewPCG(c.Seed, lengthsStream)).Float64()
}

// drawLengths makes the length of each request at a replica a function of the seed and of the request's id.
func (r *platformRun) drawLengths(rep *fakes.Replica) {
	longest, seed, factor := r.cfg.longestLength(), r.cfg.Seed, 1.0
	if rep.Engine {
		factor = streamLength
	}
	rep.Length = func(id string) float64 {
		at := rand.New(rand.NewPCG(seed, xxhash.Sum64String(id))).Float64()
		return factor * (shortestLength + (longest-shortestLength)*at)
	}
}

// drawStopBudget draws the budget of a request: half are longer than a grace, the others may end within the rest of one.
func drawStopBudget(rng *rand.Rand) time.Duration {
	if rng.IntN(2) == 0 {
		return budget
	}
	return minBudget + time.Duration(rng.Int64N(int64(stopWork+stopGrace-minBudget)))
}

// stopUnderLoad sends one router SIGTERM, or several in series or while others stop, while requests are open that need much of the grace,
// and while replicas may turn slow. One router at least goes on.
func (r *platformRun) stopUnderLoad(ctx context.Context, rng *rand.Rand) {
	number, series := 1+rng.IntN(max(len(r.nodes)-1, 1)), rng.IntN(3) == 0
	var stops sync.WaitGroup
	for i, at := range rng.Perm(len(r.nodes))[:number] {
		n, own := r.nodes[at], rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		stops.Go(func() { r.stopNode(ctx, own, n) })
		if series {
			stops.Wait()
		}
		if ctx.Err() != nil || !clock.Sleep(ctx, time.Duration(rng.Int64N(int64(stopGrace/2)))) {
			break
		}
	}
	stops.Wait()
}

// stopNode sends a router SIGTERM, and starts it again, while clients go on to use their connections to it.
func (r *platformRun) stopNode(ctx context.Context, rng *rand.Rand, n *node) {
	ctx, leave := context.WithCancel(ctx)
	clients := r.startStopClients(ctx, rng, n)
	var slow sync.WaitGroup
	for _, service := range [][]string{{}, {"llm"}, {"app"}, {"llm", "app"}, {"llm", "app"}}[rng.IntN(5)] {
		turnSlow, after := r.drawSlow(rng, service), time.Duration(rng.Int64N(int64(stopGrace)))
		slow.Go(func() {
			if !clock.Sleep(ctx, after) {
				return
			}
			defer turnSlow()()
			clock.Sleep(ctx, stopGrace)
		})
	}
	r.history.add(n.incarnation() + " is told to end")
	stopOne(ctx, rng, &n.process)
	leave()
	slow.Wait()
	clients.Wait()
}

// drawSlow draws one, some or all replicas of a service, and returns the function that makes them slow.
func (r *platformRun) drawSlow(rng *rand.Rand, service string) (turnSlow func() (end func())) {
	replicas := r.replicasOf(service)
	rng.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	replicas = replicas[:[]int{1, 1 + rng.IntN(len(replicas)), len(replicas)}[rng.IntN(3)]]
	most := maxSlowBy
	if service == "app" {
		longest := time.Duration(r.cfg.longestLength() * float64(r.cfg.work()))
		most = max(min(most, int(longestSlowWork/longest)), 2)
	}
	set := func(by int) {
		for _, rep := range replicas {
			rep.SetSlow(by)
		}
	}
	by := 2 + rng.IntN(most-1)
	return func() (end func()) {
		r.history.add(fmt.Sprintf("%d replicas of %s are %d times as slow", len(replicas), service, by))
		set(by)
		return func() { set(1) }
	}
}
