package health

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// runWithLongBounds calls run with bounds on the silence of a single engine that are longer
// than the bounds on a domain, so that only the evaluation of the domain can suspect an engine
// that soon.
func runWithLongBounds(t *testing.T, f func(m *Monitor)) {
	run(t, func(m *Monitor) {
		m.policy.MinSilence = 600 * time.Millisecond
		m.policy.MinPrefill = 10 * time.Second
		f(m)
	})
}

// addDomains adds n engines of each named domain to the Monitor.
func addDomains(m *Monitor, n int, domains ...string) {
	for _, d := range domains {
		for i := range n {
			m.SetFailureDomain(fmt.Sprintf("%s%d", d, i), "llm", d)
		}
	}
}

// After a silent crash of a failure domain, its members must be evaluated together. If each is
// evaluated by itself, callers wait longer than necessary, and for a prompt that was being
// read there they wait until TCP gives up. In the test three engines of the domain decode and
// a fourth reads a prompt when all fall silent.
func TestSilentDomainIsOneEvent(t *testing.T) {
	runWithLongBounds(t, func(m *Monitor) {
		addDomains(m, 6, "a", "b")
		calls := 0
		m.OnDomain = func(string) { calls++ }
		var dead, alive []*attempt
		for i := range 3 {
			dead = append(dead, start(m, fmt.Sprintf("a%d", i), 100))
			alive = append(alive, start(m, fmt.Sprintf("b%d", i), 100))
		}
		prefill := start(m, "a3", 100)
		decode(60, append(dead, alive...)...)
		decode(9, alive...)
		for _, s := range append(dead, prefill) {
			if !errors.Is(s.cause(), ErrSuspect) {
				t.Errorf("%s: cause %v", s.engine.id, s.cause())
			}
		}
		for _, s := range alive {
			if s.cause() != nil {
				t.Errorf("%s: cause %v", s.engine.id, s.cause())
			}
		}
		if m.State("a5") == Healthy || m.State("b5") != Healthy || calls != 1 {
			t.Errorf("idle member %v, other domain %v, OnDomain called %d times", m.State("a5"), m.State("b5"), calls)
		}
	})
}

// Two engines that read prompts at the same moment both pause for longer than
// minDomainSilence. Two members are too few to show that the domain crashed: otherwise each
// wave of resumes, which makes engines read prompts, is taken for a crash and the runs are
// moved once more.
func TestTwoPausesAreNoCrash(t *testing.T) {
	runWithLongBounds(t, func(m *Monitor) {
		addDomains(m, 6, "a")
		s1, s2 := start(m, "a0", 100), start(m, "a1", 100)
		decode(60, s1, s2)
		time.Sleep(minDomainSilence + 20*time.Millisecond)
		synctest.Wait()
		if m.State("a5") != Healthy {
			t.Error("the domain is suspected")
		}
	})
}

// When the connections of two members break at the same moment, their domain must count as
// crashed, so that no more copies and second attempts are sent to the other members, which
// crashed too.
func TestFailuresAtOneMomentAreACrash(t *testing.T) {
	runWithLongBounds(t, func(m *Monitor) {
		addDomains(m, 6, "a")
		live := start(m, "a4", 100)
		decode(10, live)
		m.Result("a0", errors.New("reset"))
		decode(int(domainFailureWindow/step)+2, live)
		m.Result("a1", errors.New("reset"))
		if m.State("a5") != Healthy {
			t.Fatal("two failures far apart are taken for a crash of the domain")
		}
		m.Result("a2", errors.New("reset"))
		if m.State("a5") == Healthy || m.State("a4") != Healthy {
			t.Errorf("idle member %v, member with a recent token %v", m.State("a5"), m.State("a4"))
		}
	})
}

// A router that receives tokens from a member of a domain must ignore another router's report
// that the domain crashed. Otherwise a router that is isolated from the domain makes all
// routers avoid the domain.
func TestRumourDoesNotOutweighASignOfLife(t *testing.T) {
	runWithLongBounds(t, func(m *Monitor) {
		addDomains(m, 6, "a")
		s := start(m, "a0", 100)
		decode(10, s)
		m.HandleDomainReport("r2", "llm/a")
		if m.State("a5") != Healthy {
			t.Fatal("the report is believed in spite of a member's recent token")
		}
		time.Sleep(2 * activityWindow)
		m.HandleDomainReport("r2", "llm/a")
		m.HandleDomainReport("r2", "llm/nowhere")
		if m.State("a5") == Healthy {
			t.Error("the report is not believed although no member has been active")
		}
	})
}
