package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeondale/fleet"
)

// fakeEngine is an engine with a known load.
type fakeEngine struct{ reading, running, memory float64 }

func (e fakeEngine) Load(time.Time) float64       { return 0 }
func (e fakeEngine) Leaving() bool                { return false }
func (e fakeEngine) Hits([]uint64, time.Time) int { return 0 }
func (e fakeEngine) Reading() float64             { return e.reading }
func (e fakeEngine) Running() float64             { return e.running }
func (e fakeEngine) Memory() float64              { return e.memory }
func (e fakeEngine) ReportedAt() time.Time        { return time.Time{} }

func engines(loads ...fakeEngine) []Candidate {
	var out []Candidate
	for i, l := range loads {
		out = append(out, Candidate{Backend: &fleet.Backend{ID: fmt.Sprint("e", i)}, Live: l})
	}
	return out
}

func promptRouter(t testing.TB) *Router {
	r, err := New([]StepConfig{
		{Name: FilterServes}, {Name: FilterLeaving}, {Name: FilterExclude}, {Name: FilterMemory}, {Name: FilterBacklog},
		{Name: ScoreDelay}, {Name: PickBest},
	}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A prompt must be sent to the engine where it causes the least delay. If a stored copy, a run
// that generates tokens and a prompt that is being read all counted the same, first chunks
// would take twice as long as reading the prompt while other engines read nothing.
func TestPromptGoesWhereItDelaysLeast(t *testing.T) {
	req := PickRequest{FleetKnown: true, PromptTokens: 5000, MemoryTokens: 5600, Capacity: 55000, Backlog: 10000}
	for _, c := range []struct {
		name  string
		loads []fakeEngine
		want  string
	}{
		{"copies cost nothing", []fakeEngine{{0, 1, 5600}, {0, 0, 40000}}, "e1"},
		{"a prompt costs more than a run", []fakeEngine{{5000, 0, 5000}, {0, 1, 5600}}, "e1"},
		{"two runs cost more than a short prompt", []fakeEngine{{1000, 0, 1000}, {0, 2, 11200}}, "e0"},
		{"memory to the end", []fakeEngine{{0, 0, 50000}, {0, 3, 16800}}, "e1"},
		{"a long backlog", []fakeEngine{{6000, 0, 6000}, {0, 9, 40000}}, "e1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _, err := promptRouter(t).Pick(engines(c.loads...), req)
			if err != nil || got.Backend.ID != c.want {
				t.Errorf("got %s, %v, want %s", got.Backend.ID, err, c.want)
			}
		})
	}
}

// A prompt that alone is longer than the bound on the backlog must not be refused for ever
// although engines are idle. That happens if the new prompt counts towards the bound even
// at an engine that has no other prompt to read.
func TestIdleEngineTakesAnyPrompt(t *testing.T) {
	req := PickRequest{FleetKnown: true, PromptTokens: 30000, MemoryTokens: 31000, Capacity: 55000, Backlog: 10000}
	if _, _, err := promptRouter(t).Pick(engines(fakeEngine{}), req); err != nil {
		t.Error(err)
	}
	_, _, err := promptRouter(t).Pick(engines(fakeEngine{reading: 100}), req)
	if none, ok := errors.AsType[*NoCandidate](err); !ok || none.Reason != AllFull || !none.Retryable {
		t.Errorf("got %v", err)
	}
}

// BenchmarkPickEngine measures the choice among 200 engines.
func BenchmarkPickEngine(b *testing.B) {
	var loads []fakeEngine
	for i := range 200 {
		loads = append(loads, fakeEngine{float64(i%3) * 2000, float64(i % 5), float64(i%7) * 5000})
	}
	all, r := engines(loads...), promptRouter(b)
	req := PickRequest{FleetKnown: true, PromptTokens: 5000, MemoryTokens: 5600, Capacity: 55000, Backlog: 10000}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := r.Pick(all, req); err != nil {
			b.Fatal(err)
		}
	}
}

// fakeReportingEngine last reported its load some time ago; a negative age means never.
type fakeReportingEngine struct {
	fakeEngine
	age time.Duration
}

func (s fakeReportingEngine) ReportedAt() time.Time {
	if s.age < 0 {
		return time.Time{}
	}
	return time.Unix(1000, 0).Add(-s.age)
}

// An engine that reported recently must be preferred to an engine about which nothing is
// known. Some engines reported recently, others long ago or never. If an engine without a
// report counted as idle, it could turn out to be busy while engines that are known to be idle
// get no work.
func TestKnownEnginesGoFirst(t *testing.T) {
	never, old, recent := fakeReportingEngine{fakeEngine{}, -1}, fakeReportingEngine{fakeEngine{}, time.Minute}, fakeReportingEngine{fakeEngine{reading: 3000, memory: 3000}, time.Millisecond}
	req := PickRequest{FleetKnown: true, PromptTokens: 5000, MemoryTokens: 6000, Capacity: 55000, Now: time.Unix(1000, 0)}
	r, err := New([]StepConfig{
		{Name: FilterServes}, {Name: FilterLeaving}, {Name: FilterExclude}, {Name: FilterFresh}, {Name: FilterMemory},
		{Name: ScoreDelay}, {Name: PickBest},
	}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		loads []fakeReportingEngine
		want  string
	}{
		"one is known":   {[]fakeReportingEngine{never, old, recent}, "e2"},
		"none is known":  {[]fakeReportingEngine{{fakeEngine{reading: 5000}, -1}, old}, "e1"},
		"known and full": {[]fakeReportingEngine{never, {fakeEngine{memory: 54000}, 0}}, ""},
	} {
		var all []Candidate
		for i, l := range c.loads {
			all = append(all, Candidate{Backend: &fleet.Backend{ID: fmt.Sprint("e", i)}, Live: l})
		}
		if got, _, _ := r.Pick(all, req); got.Backend.ID != c.want {
			t.Errorf("%s: got %q, want %q", name, got.Backend.ID, c.want)
		}
	}
}

// Draw must select at random from all candidates that pass the filters, and must select each
// of them at most once.
func TestDrawTakesEachOnce(t *testing.T) {
	all := engines(make([]fakeEngine, 10)...)
	drawn := map[string]int{}
	r := promptRouter(t)
	for range 200 {
		once := map[string]bool{}
		for _, c := range r.Draw(all, PickRequest{FleetKnown: true, Exclude: map[string]bool{"e0": true}}, 4) {
			once[c.Backend.ID] = true
			drawn[c.Backend.ID]++
		}
		if len(once) != 4 {
			t.Fatalf("drew %v", once)
		}
	}
	if len(drawn) != 9 || drawn["e0"] != 0 {
		t.Errorf("drew %v", drawn)
	}
	if got := promptRouter(t).Draw(all, PickRequest{FleetKnown: true}, 20); len(got) != 10 {
		t.Errorf("drew %d of 10", len(got))
	}
}

// spreadEngine is an engine whose memory is an estimate with a variance.
type spreadEngine struct {
	fakeEngine
	spread float64
}

func (e spreadEngine) Spread() float64 { return e.spread }

// Guards against an engine that overflows since its runs become longer than expected, and against memory that is kept free
// although the sizes of all runs are bounds.
func TestMemoryIsKeptForLongerRuns(t *testing.T) {
	for _, c := range []struct {
		engine, request float64 // variances
		need            int
		fits            bool
	}{
		{0, 0, 10000, true}, {0, 0, 10001, false}, {1000 * 1000, 0, 7600, true}, {1000 * 1000, 0, 7700, false},
		{0, 1000 * 1000, 7700, false}, {800 * 800, 600 * 600, 7600, true}, {800 * 800, 600 * 600, 7700, false},
	} {
		candidate := Candidate{Live: spreadEngine{fakeEngine{memory: 45000}, c.engine}}
		req := PickRequest{Capacity: 55000, MemoryTokens: c.need, MemorySpread: c.request}
		if got := fitsMemory(&candidate, &req); got != c.fits {
			t.Errorf("%+v: fits %v", c, got)
		}
	}
}
