package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// With Config.Herd, herdShare of the new connections go to one router, and to the next one after each herdTime.
	herdShare = 0.9
	herdTime  = 4 * time.Second
	// minServedOfHerd is the least share of the generations that are served at the first try in a run with Config.Herd
	// and without faults.
	minServedOfHerd = 0.75
)

// entryNode returns the router to which the platform forwards a client's next connection.
func (r *platformRun) entryNode(rng *rand.Rand) *node {
	if r.cfg.Herd && rng.Float64() < herdShare {
		i := int(time.Since(r.startedAt) / herdTime)
		return r.nodes[i%len(r.nodes)]
	}
	return r.nodes[rng.IntN(len(r.nodes))]
}

// checkHerd records a violation if too few of the generations that a router has read were served.
func (c *checks) checkHerd() {
	c.mu.Lock()
	served, refused := c.outcomes["draft 200"], c.outcomes["draft 503"]+c.outcomes["draft 429"]
	c.mu.Unlock()
	if sent := served + refused; float64(served) < minServedOfHerd*float64(sent) {
		c.violated("one router serves what the fleet has room for", "", fmt.Sprintf("%d of %d generations", served, sent))
	}
}
