//go:build !race

package hosted

import "testing"

// Guards against the same fault in a fleet where each router has few links, and queries three engines before it chooses one:
// the urgent stream of one router competes with the less urgent ones of 58 others. Excluded under the race detector for
// its duration.
func TestUrgentStreamsAreServedInALargeFleet(t *testing.T) {
	checkUrgentStreams(t, replaySize{routers: 59, engines: 180, domains: 9, linked: 6, seeds: 1, work: customerWork})
}

// Guards against the same fault as TestHeavyAccountIsHeldToItsShare in a larger fleet with few links.
func TestHeavyAccountIsHeldToItsShareInALargeFleet(t *testing.T) {
	checkHeavyAccount(t, replaySize{routers: 16, engines: 48, domains: 3, linked: 6, seeds: 3, work: customerWork})
}
