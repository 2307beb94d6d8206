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
