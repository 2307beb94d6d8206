package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
)

const (
	// One in takeUpsEvery requests of a client is a stream that it takes up at up to maxBranches routers at once.
	takeUpsEvery = 3
	maxBranches  = 3
)

// branch is one of several take-ups of one stream.
type branch struct {
	client *platformClient
	router *node
	behind int // pieces that the client has and asks for once more
	// unnamed is whether the client states Last-Event-Id alone, and not which try brought the first piece.
	unnamed bool
}

// takeUps requests a stream and, once some pieces have arrived, takes it up at several routers at once while it reads the
// first answer on or leaves it later. Each answer is judged by itself: pieces that are asked for once more come once more.
func (c *platformClient) takeUps(transport *http.Transport) {
	at := 1 + c.rng.IntN(c.run.cfg.chunks()-1)
	branches := c.drawBranches(at)
	var first softwareStream
	var running sync.WaitGroup
	first.reached = func() {
		if first.last != at {
			return
		}
		for i, b := range branches {
			rest := softwareStream{id: first.id, beganAt: first.beganAt, version: first.version, last: at - b.behind, unnamed: b.unnamed}
			running.Go(func() { b.client.follow(transport, &rest, fmt.Sprintf("%s-%d.b%d", c.name, c.sent, i), b.router) })
		}
	}
	c.follow(transport, &first, fmt.Sprintf("%s-%d", c.name, c.sent), nil)
	running.Wait()
}

// drawBranches draws take-ups of a stream of which the client has a number of pieces, each at a router of its own.
func (c *platformClient) drawBranches(have int) (out []branch) {
	count := min(1+c.rng.IntN(maxBranches), len(c.run.nodes))
	for i, n := range c.rng.Perm(len(c.run.nodes))[:count] {
		b := branch{
			client: &platformClient{run: c.run, name: c.name, kind: "take-up", rng: rand.New(rand.NewPCG(c.rng.Uint64(), uint64(i)))},
			router: c.run.nodes[n],
		}
		if c.rng.IntN(2) == 0 && have > 1 {
			b.behind, b.client.kind = 1+c.rng.IntN(have-1), "take-up behind"
		}
		if c.run.cfg.Unnamed && c.rng.IntN(2) == 0 {
			b.unnamed, b.client.kind = true, "take-up unnamed"
		}
		out = append(out, b)
	}
	return out
}
