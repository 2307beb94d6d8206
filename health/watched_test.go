package health

import (
	"fmt"
	"testing"
	"time"
)

// monitorWithEngines returns a monitor that knows n engines in three failure domains, of which the
// first used ones have an open stream.
func monitorWithEngines(n, used int) (*Monitor, []*Stream) {
	m := NewMonitor(DefaultPolicy(), nil, nil)
	var open []*Stream
	for i := range n {
		id := fmt.Sprint("e", i)
		m.SetFailureDomain(id, "llm", fmt.Sprint("d", i%3))
		if i < used {
			open = append(open, m.Watch(id, Work{PromptBytes: 1000}, func(error) {}))
		}
	}
	return m, open
}

// The processor time of a router must not grow with the number of engines that it knows. It
// does if each tick locks all engines and not just the engines in use. In the test 3,000
// engines are known, and a few have streams; there are a hundred ticks a second.
func TestTickLooksAtEnginesInUseOnly(t *testing.T) {
	m, open := monitorWithEngines(3000, 4)
	now := m.sinceEpoch(time.Now())
	if got := len(m.inUse(now)); got != 4 {
		t.Fatalf("a tick checks %d engines, want the 4 in use", got)
	}
	open[0].Close()
	if got := len(m.inUse(now)); got != 3 {
		t.Fatalf("a tick checks %d engines, want the 3 in use", got)
	}
	m.Late(open[0].engine.id) // not enough to suspect it
	m.ejectEngine(open[0].engine, Suspect, now)
	if got := len(m.inUse(now)); got != 4 {
		t.Fatalf("a tick checks %d engines, want also the recently suspected one", got)
	}
	if got := len(m.inUse(now + int64(m.policy.MassSilence))); got != 3 {
		t.Fatalf("a tick checks %d engines, want not the one suspected long ago", got)
	}
}

// A forgotten engine must not be checked by ticks any more: otherwise it counts as one of many
// engines that fell silent together.
func TestForgottenEngineIsNotLookedAt(t *testing.T) {
	m, _ := monitorWithEngines(1, 0)
	now := m.sinceEpoch(time.Now())
	m.ejectEngine(m.engine("e0"), Suspect, now)
	m.Forget("e0")
	if got := len(m.inUse(now)); got != 0 {
		t.Fatalf("a tick checks %d engines, want none", got)
	}
}

// BenchmarkTick measures one tick with few of many known engines in use.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 3000} {
		b.Run(fmt.Sprintf("%d known", n), func(b *testing.B) {
			m, _ := monitorWithEngines(n, 5)
			b.ReportAllocs()
			for b.Loop() {
				m.Tick(time.Now())
			}
		})
	}
}
