package soak

import (
	"context"
	"os"
	"testing"
	"time"

	"wigeondale/daemon"
)

// childEnv makes the test's own program run as a router.
const childEnv = "WIGEON_SOAK_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// seeds are played on each run of CI: a few that cover every kind of fault, and
// those that ever failed, each with a line on its cause.
var (
	seeds        = []uint64{1, 7}
	productSeeds = []uint64{1}
)

// What is checked here depends on no clock's figure: answers are whole or surely
// not, requests run as often as they may, refusals are true, no process goes back
// to an older configuration, and work ends when nobody waits.
func TestSeeds(t *testing.T) {
	for _, seed := range seeds {
		play(t, Run, Config{Seed: seed, Nodes: 3, Engines: 6, Services: 4, Clients: 6, FaultTime: 5 * time.Second})
	}
}

// The same with replicas that start again under their names, and with entries of other
// programs in the store.
func TestLifetimeSeeds(t *testing.T) {
	for _, seed := range []uint64{3} {
		play(t, Run, Config{Seed: seed, Nodes: 3, Engines: 6, Services: 4, Clients: 6, FaultTime: 5 * time.Second, Restarts: true})
	}
}

// The same with new versions, good and bad ones, that are ordered beside the faults. Seeds
// that failed once:
//
// 8002: a router that had heard of no answer ended the trial of a bad version, which got all
// requests then.
//
// 8003: a trial began late and ended before the version turned bad.
func TestRolloutSeeds(t *testing.T) {
	for seed, length := range map[uint64]time.Duration{8002: 20 * time.Second, 8003: 15 * time.Second} {
		play(t, Run, Config{Seed: seed, Nodes: 4, Engines: 6, Services: 4, Clients: 12, FaultTime: length, Rollouts: true})
	}
}

// The same with requests that make each replica crash that runs them.
func TestCrasherSeeds(t *testing.T) {
	play(t, Run, Config{Seed: 9001, Nodes: 3, Engines: 10, Services: 8, Clients: 6, FaultTime: 8 * time.Second, CrashingRequests: true})
}

// The same on the product's own interface.
func TestProductSeeds(t *testing.T) {
	for _, seed := range productSeeds {
		play(t, RunProduct, Config{Seed: seed, Nodes: 3, Engines: 6, Services: 2, Clients: 6, FaultTime: 5 * time.Second})
	}
}

// Seeds that failed once, played as they were.
//
// 5002: a killed router was told to end in the millisecond of its next launch, which
// counted as a bad end.
func TestSeedsThatFailedOnTheProductsInterface(t *testing.T) {
	for _, seed := range []uint64{5002} {
		play(t, RunProduct, Config{Seed: seed, Nodes: 4, Engines: 6, Services: 4, Clients: 12, FaultTime: 8 * time.Second})
	}
}

func play(t *testing.T, run func(context.Context, Config) (*Report, error), cfg Config) {
	t.Helper()
	if testing.Short() {
		t.Skip("plays some seconds of faults")
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Wigeond, cfg.Env, cfg.Dir, cfg.Out = self, []string{childEnv + "=1"}, t.TempDir(), t.Output()
	report, err := run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	report.Print(t.Output(), cfg.Dir)
	if len(report.Violations) > 0 {
		t.Errorf("seed %d: %d promises broken", cfg.Seed, len(report.Violations))
	}
}
