package hosted

import (
	"testing"
	"time"

	"wigeondale/clock"
	"wigeondale/rollout"
)

// startTrial starts a node and the trial of a version with four replicas in two domains.
func startTrial(t *testing.T) (*testNode, *serviceRollout) {
	f := newFleet(t)
	f.startVersion("app", "v1", 2)
	n := f.startServingNode()
	f.store.OrderRollout("app", "v2", rolloutTime)
	f.startVersion("app", "v2", 4)
	var ro *serviceRollout
	await(t, "the trial", func() bool {
		ro = n.rollouts.of("app")
		return ro != nil && ro.Stage() == rollout.Trial && n.rollouts.ready(ro).New == 4
	})
	return n, ro
}

// Guards against a trial that fails for lack of replicas after a domain was silent: replicas that
// answer again get work, but a router with few requests sends them none for a long time.
func TestReplicasThatAnswerAgainAreReady(t *testing.T) {
	n, ro := startTrial(t)
	n.mon.HandleDomainReport("elsewhere", "app/d1")
	if got := n.rollouts.ready(ro).New; got != 2 {
		t.Errorf("%d replicas of the version are ready while a domain is suspected, want 2", got)
	}
	n.mon.HandleDomainAnswers("elsewhere", "app/d1")
	if got := n.rollouts.ready(ro).New; got != 4 {
		t.Errorf("%d replicas of the version are ready after the silence, want 4", got)
	}
}

// Guards against a version that is rolled back because one failure domain was silent: while its
// replicas were suspected, the version seemed to have a single domain, whose evidence suffices.
func TestSilentDomainIsNoFaultOfAVersion(t *testing.T) {
	n, ro := startTrial(t)
	observe := func(domain string, ofNew bool, took time.Duration) {
		key := rollout.CountKey{Route: "look", Domain: domain, Grade: rollout.GradeOf(took)}
		for range 20 {
			ro.Observe(key, ofNew, clock.SinceBoot())
		}
	}
	observe("", false, 5*time.Millisecond)
	observe("d0", true, 5*time.Millisecond)
	observe("d1", true, time.Second)
	n.mon.HandleDomainReport("elsewhere", "app/d1")
	if got := n.rollouts.ready(ro); got.New != 2 || got.Domains != 2 {
		t.Errorf("%d replicas of the version are ready, want 2; it is in %d domains, want 2", got.New, got.Domains)
	}
	for begun := time.Now(); time.Since(begun) < 1500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
		if verdict, bad := ro.Verdict(); bad {
			t.Fatalf("rolled back: %v", verdict)
		}
	}
}
