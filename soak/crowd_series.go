package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"wigeondale/clock"
	"wigeondale/fakes/crowd"
)

const (
	// A crowd has from minCrowd to maxCrowd clients and holds its connections for crowdTime or up to twice as long.
	minCrowd  = 60
	maxCrowd  = 120
	crowdTime = 1500 * time.Millisecond
)

var crowdKinds = []crowd.Kind{
	crowd.HeadOfOneLine, crowd.HeadOfManyLines, crowd.HeadOfManyNames, crowd.EmptyLines, crowd.LinesAfterPost, crowd.LargeBody, crowd.SmallBody,
	crowd.LargeChunks, crowd.SmallChunks, crowd.ChunkExtensions, crowd.Trailers, crowd.WholeBodies, crowd.Idle, crowd.UnreadAnswer,
	crowd.UnreadPipeline, crowd.ExpectedContinue,
}

// playCrowd lets a crowd of a drawn kind connect to a router while another one ends and starts again, and then checks the memory of all.
func playCrowd(ctx context.Context, rng *rand.Rand, h *history, cfg crowd.Config, router *process, all []*process) {
	cfg.Kind, cfg.Count = crowdKinds[rng.IntN(len(crowdKinds))], minCrowd+rng.IntN(maxCrowd-minCrowd+1)
	h.add(fmt.Sprintf("%s has a crowd of %d: %s", router.id, cfg.Count, cfg.Kind))
	c, err := crowd.Start(cfg)
	if err != nil {
		router.checks.violated("the soak's own stand-ins work", "", err.Error())
		return
	}
	hold := crowdTime + time.Duration(rng.Int64N(int64(crowdTime)))
	if others := slices.DeleteFunc(slices.Clone(all), func(p *process) bool { return p == router }); len(others) > 0 {
		endOne(ctx, rng, others[rng.IntN(len(others))])
	}
	clock.Sleep(ctx, hold)
	for _, p := range all {
		p.checkMemory()
	}
	c.Stop()
}

// endOne kills a router or sends it SIGTERM, and starts it again.
func endOne(ctx context.Context, rng *rand.Rand, p *process) {
	if rng.IntN(2) == 0 {
		p.kill()
	} else {
		p.signal(syscall.SIGTERM)
	}
	clock.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second))))
	p.restart() // one that is still ending starts after the faults
}

// crowd plays a crowd on the users' platform.
func (r *platformRun) crowd(ctx context.Context, rng *rand.Rand) {
	processes := make([]*process, 0, len(r.nodes))
	for _, n := range r.nodes {
		processes = append(processes, &n.process)
	}
	n := r.nodes[rng.IntN(len(r.nodes))]
	cfg := platformCrowd(n.front, fmt.Sprint("crowd-", rng.Uint64()), fmt.Sprint("key-", firstKeys-1))
	playCrowd(ctx, rng, r.history, cfg, &n.process, processes)
}

// crowd does the same on the product's own interface.
func (r *productRun) crowd(ctx context.Context, rng *rand.Rand) {
	processes := make([]*process, 0, len(r.routers))
	for _, rt := range r.routers {
		processes = append(processes, &rt.process)
	}
	rt := r.routers[rng.IntN(len(r.routers))]
	_, key := accountOf(0)
	cfg := productCrowd(rt.caller, fmt.Sprint("crowd-", rng.Uint64()), key)
	playCrowd(ctx, rng, r.history, cfg, &rt.process, processes)
}
