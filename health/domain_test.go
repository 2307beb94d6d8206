package health

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// runPatient is run with bounds for a single engine that lie beyond those of a
// domain.
func runPatient(t *testing.T, f func(m *Monitor)) {
	run(t, func(m *Monitor) {
		m.policy.MinSilence = 600 * time.Millisecond
		m.policy.MinPrefill = 10 * time.Second
		f(m)
	})
}

// place puts n engines of each named domain under the Monitor.
func place(m *Monitor, n int, domains ...string) {
	for _, d := range domains {
		for i := range n {
			m.SetFailureDomain(fmt.Sprintf("%s%d", d, i), "llm", d)
		}
	}
}

// Symptom: after a silent crash of a failure domain callers wait longer than they
// must, and prompts that were being read there are waited for until TCP gives up.
// Sequence: three engines decode in the domain, a fourth reads a prompt; all fall
// silent. Cause: each is judged alone.
func TestSilentDomainIsOneEvent(t *testing.T) {
	runPatient(t, func(m *Monitor) {
		place(m, 6, "a", "b")
		told := 0
		m.OnDomain = func(string) { told++ }
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
		if m.State("a5") == Healthy || m.State("b5") != Healthy || told != 1 {
			t.Errorf("idle member %v, other domain %v, told %d times", m.State("a5"), m.State("b5"), told)
		}
	})
}

// Symptom: every wave of resumes is taken for a crash, and its runs are moved once
// more. Sequence: two engines read prompts at the same moment, so that both pause
// beyond domainSilence. Cause: too few members speak for the domain.
func TestTwoPausesAreNoCrash(t *testing.T) {
	runPatient(t, func(m *Monitor) {
		place(m, 6, "a")
		s1, s2 := start(m, "a0", 100), start(m, "a1", 100)
		decode(60, s1, s2)
		time.Sleep(domainSilence + 20*time.Millisecond)
		synctest.Wait()
		if m.State("a5") != Healthy {
			t.Error("the domain is suspected")
		}
	})
}

// Symptom: copies and second tries go on being sent to a domain that crashed.
// Sequence: the connections of two members break at the same moment.
func TestFailuresAtOneMomentAreACrash(t *testing.T) {
	runPatient(t, func(m *Monitor) {
		place(m, 6, "a")
		live := start(m, "a4", 100)
		decode(10, live)
		m.Result("a0", errors.New("reset"))
		decode(int(domainWindow/step)+2, live)
		m.Result("a1", errors.New("reset"))
		if m.State("a5") != Healthy {
			t.Fatal("two failures far apart are taken for a crash")
		}
		m.Result("a2", errors.New("reset"))
		if m.State("a5") == Healthy || m.State("a4") != Healthy {
			t.Errorf("idle member %v, member that has just spoken %v", m.State("a5"), m.State("a4"))
		}
	})
}

// Symptom: a router that is cut off from a domain empties it for all routers.
// Cause: its word counts although others hear the domain's members.
func TestRumourDoesNotOutweighASignOfLife(t *testing.T) {
	runPatient(t, func(m *Monitor) {
		place(m, 6, "a")
		s := start(m, "a0", 100)
		decode(10, s)
		m.HandleDomainReport("llm/a")
		if m.State("a5") != Healthy {
			t.Fatal("believed against a member's own token")
		}
		time.Sleep(2 * aliveWithin)
		m.HandleDomainReport("llm/a")
		m.HandleDomainReport("llm/nowhere")
		if m.State("a5") == Healthy {
			t.Error("not believed although no member has spoken")
		}
	})
}
