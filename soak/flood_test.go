//go:build !race

package soak

import (
	"testing"
	"time"
)

// TestFloodSeeds makes the same checks as TestSeeds, on both interfaces, while all plain services answer many requests at once without
// end. Guards against routers that use more memory than their machines have; the race
// detector uses several times as much.
func TestFloodSeeds(t *testing.T) {
	cfg := Config{Seed: 24001, Nodes: 3, Engines: 6, Services: 4, Clients: 6, FaultTime: 5 * time.Second, Floods: true}
	checkSeed(t, Run, cfg)
	checkSeed(t, RunProduct, cfg)
}

// TestCrowdSeeds makes the same checks as TestSeeds, on both interfaces, while crowds of clients that don't behave connect to one router
// and another one ends and starts again. Guards against routers that end, or take more memory than their machines have, under such clients.
func TestCrowdSeeds(t *testing.T) {
	cfg := Config{Seed: 28001, Nodes: 3, Engines: 4, Services: 4, Clients: 6, FaultTime: 5 * time.Second, Crowds: true, Alone: true}
	checkSeed(t, Run, cfg)
	checkSeed(t, RunProduct, cfg)
}
