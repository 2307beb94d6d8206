package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fleet"
)

// links is a model of the links of one router to the backend servers of one service.
type links struct {
	backends []fleet.Backend
	cut      bool            // to all of them
	down     map[string]bool // backend servers that are down themselves
	state    service
	now      time.Time
	probes   int
}

func newLinks(backends, domains int) *links {
	l := &links{down: map[string]bool{}, now: time.Unix(1000, 0)}
	for i := range backends {
		l.backends = append(l.backends, fleet.Backend{ID: fmt.Sprint("b", i), FailureDomain: fmt.Sprint("d", i%domains)})
	}
	return l
}

func (l *links) works(id string) bool { return !l.cut && !l.down[id] }

// connect opens a connection for a request.
func (l *links) connect(b fleet.Backend) {
	if l.works(b.ID) {
		l.state.connected(b.ID, l.now)
		return
	}
	l.state.fail(b.ID, l.now)
}

// step lets time pass, with one request's connection if traffic is set, and sends the due probes.
func (l *links) step(d time.Duration, traffic int) {
	l.now = l.now.Add(d)
	if traffic >= 0 {
		l.connect(l.backends[traffic%len(l.backends)])
	}
	for _, b := range l.state.due(func() []fleet.Backend { return l.backends }, l.now) {
		l.probes++
		if l.works(b.ID) {
			l.state.connected(b.ID, l.now.Add(time.Millisecond))
			continue
		}
		l.state.probeFailed(b.ID, l.now.Add(ProbeTimeout))
	}
}

// Guards against a cut that is not noticed within the stable window, one that outlasts the return
// of the links by a second, and the failures of single backend servers that are taken for a cut.
func TestCutIsNoticedAndEnds(t *testing.T) {
	const step = 50 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "backends")
		l := newLinks(n, rapid.IntRange(1, 4).Draw(t, "domains"))
		next := func() int { return rapid.IntRange(0, n-1).Draw(t, "backend") }
		down := rapid.IntRange(0, (n-1)/2).Draw(t, "down")
		for i := range down {
			l.down[l.backends[i].ID] = true
		}
		for range rapid.IntRange(1, 3).Draw(t, "cuts") {
			for range 60 {
				l.step(step, next())
			}
			if n > 2*sampleSize && down < sampleSize && l.state.phase == cut {
				t.Fatal("the failures of a few backend servers are taken for a cut")
			}
			l.cut = true
			for range 40 {
				l.step(step, next())
			}
			if n > 1 && l.state.phase != cut {
				t.Fatalf("the cut is not noticed after 2 s with %d backend servers, %d down", n, down)
			}
			l.cut = false
			for range 20 {
				l.step(step, -1)
			}
			if down == 0 && l.state.phase == cut {
				t.Fatal("the cut lasts a second longer than that of the links")
			}
		}
	})
}

// Guards against probes that go on while nothing fails, and many of them during a cut.
func TestProbesAreFew(t *testing.T) {
	l := newLinks(36, 3)
	for i := range 200 {
		l.step(50*time.Millisecond, i)
	}
	if l.probes != 0 {
		t.Errorf("%d probes although every connection opens", l.probes)
	}
	l.cut = true
	for i := range 200 { // 10 s
		l.step(50*time.Millisecond, i)
	}
	if most := sampleSize + 10*4*probesInCut; l.probes > most {
		t.Errorf("%d probes in a cut of 10 s, at most %d", l.probes, most)
	}
}

// Guards against a sample that comes from the failure domain that failed.
func TestSampleSpreadsOverDomains(t *testing.T) {
	l := newLinks(12, 3)
	failed := map[string]time.Time{"b0": l.now, "b3": l.now}
	for range 50 {
		var domains []string
		for _, b := range sample(l.backends, failed, sampleSize) {
			if _, bad := failed[b.ID]; bad {
				t.Fatalf("%s failed already", b.ID)
			}
			domains = append(domains, b.FailureDomain)
		}
		slices.Sort(domains)
		if len(slices.Compact(domains)) != sampleSize {
			t.Fatalf("domains %v", domains)
		}
	}
}

// Guards against a report about backend servers that is sent before it is known whether the fault is
// in the router's own links.
func TestReportWaitsForTheCheck(t *testing.T) {
	b := []fleet.Backend{{ID: "b0"}, {ID: "b1"}, {ID: "b2"}}
	m := New(Config{Backends: func(string) []fleet.Backend { return b }})
	s := m.service("s")
	s.phase, s.open = checking, 1
	called := make(chan bool, 1)
	m.AfterCheck("s", func(cutOff bool) { called <- cutOff })
	select {
	case <-called:
		t.Fatal("called during the check")
	default:
	}
	m.connected("s", "b2", time.Now())
	if <-called {
		t.Error("cut off although a connection opened")
	}
}
