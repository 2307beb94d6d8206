package health

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against queries whose number grows with the number of routers or of servers: one per second
// of each server with work of this router, a sample of its domain, and none by a router without work
// there.
func TestEjectedServersAreQueriedSeldom(t *testing.T) {
	runFleet(t, func(fleet *fleetStub, m, other *Monitor, streams []*attempt) {
		for i := range 200 {
			for _, mon := range []*Monitor{m, other} {
				mon.SetFailureDomain(fmt.Sprint("a", 10+i), "llm", "a")
			}
		}
		otherFleet := newFleetStub()
		other.RunQuerier = otherFleet
		idle := 0
		dead := membersOf("a")
		for i := range 200 {
			dead = append(dead, fmt.Sprint("a", 10+i))
		}
		fleet.silence(time.Hour, dead...)
		timesOut(m, time.Second, except(streams, dead), nil) // until the domain is suspected
		fleet.queried()
		for range 3 {
			suspectNow(m, m.engine("a0")) // again
		}
		const span = 2
		timesOut(m, span*time.Second, except(streams, dead), nil)
		queried := fleet.queried()
		for _, id := range dead {
			n := queried[id]
			if n > span {
				t.Errorf("%s was queried %d times in %d s", id, n, span)
			}
			if !slices.Contains([]string{"a0", "a1", "a2", "a3"}, id) {
				idle += n
			}
		}
		if idle > span*domainSample {
			t.Errorf("%d queries of servers without work in %d s, at most %d", idle, span, span*domainSample)
		}
		if n := len(otherFleet.queried()); n > 0 {
			t.Errorf("a router without work there queried %d servers", n)
		}
	})
}

// Guards against a domain of which only some members answer, and whose other members get work.
func TestAnswersOfAFewDoNotReleaseTheirDomain(t *testing.T) {
	runFleet(t, func(fleet *fleetStub, m, other *Monitor, streams []*attempt) {
		dead := membersOf("a")
		fleet.silence(time.Hour, dead...)
		fleet.silence(time.Second, "a0", "a1")
		calls := 0
		m.OnDomainAnswers = func(string) { calls++ }
		timesOut(m, longBackoff-step, except(streams, dead), nil)
		for id, want := range map[string]State{"a0": Probing, "a1": Probing, "a2": Suspect, "a5": Suspect} {
			if got := m.State(id); got != want {
				t.Errorf("%s is %v, want %v", id, got, want)
			}
		}
		if calls != 0 || other.State("a5") != Suspect {
			t.Error("the other router was told that the domain answers")
		}
	})
}

// Guards against reports that go round for ever: a router passes on once for each crash that a domain
// answers, and not if it takes the domain for well.
func TestDomainAnswersAreToldOnce(t *testing.T) {
	runFleet(t, func(fleet *fleetStub, m, other *Monitor, streams []*attempt) {
		calls := 0
		other.OnDomainAnswers = func(string) { calls++ }
		other.HandleDomainAnswers("r3", "llm/a")
		if calls != 0 {
			t.Error("passed on although the domain was not suspected")
		}
		fleet.silence(time.Second, membersOf("a")...)
		timesOut(m, 2*time.Second, except(streams, membersOf("a")), nil)
		for range 3 {
			other.HandleDomainAnswers("r3", "llm/a")
		}
		if calls != 1 {
			t.Errorf("passed on %d times, want once", calls)
		}
	})
}
