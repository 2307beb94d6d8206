package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeondale/fleet"
)

// busy is an engine with a known load.
type busy struct{ reading, running, held float64 }

func (b busy) Load(time.Time) float64       { return 0 }
func (b busy) Leaving() bool                { return false }
func (b busy) Hits([]uint64, time.Time) int { return 0 }
func (b busy) Reading() float64             { return b.reading }
func (b busy) Running() float64             { return b.running }
func (b busy) Memory() float64              { return b.held }
func (b busy) ReportedAt() time.Time        { return time.Time{} }

func engines(loads ...busy) []Candidate {
	var out []Candidate
	for i, l := range loads {
		out = append(out, Candidate{Backend: fleet.Backend{ID: fmt.Sprint("e", i)}, Live: l})
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

// Symptom: first pieces come after twice the time that a prompt takes, while engines read
// none. Sequence: prompts come to engines of which some read a prompt, some make tokens for
// runs, some keep copies. Cause: a copy, a run and a prompt weighed the same.
func TestPromptGoesWhereItDelaysLeast(t *testing.T) {
	ask := PickRequest{FleetKnown: true, PromptTokens: 5000, MemoryTokens: 5600, Capacity: 55000, Backlog: 10000}
	for _, c := range []struct {
		name  string
		loads []busy
		want  string
	}{
		{"copies cost nothing", []busy{{0, 1, 5600}, {0, 0, 40000}}, "e1"},
		{"a prompt costs more than a run", []busy{{5000, 0, 5000}, {0, 1, 5600}}, "e1"},
		{"two runs cost more than a short prompt", []busy{{1000, 0, 1000}, {0, 2, 11200}}, "e0"},
		{"memory to the end", []busy{{0, 0, 50000}, {0, 3, 16800}}, "e1"},
		{"a long backlog", []busy{{6000, 0, 6000}, {0, 9, 40000}}, "e1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _, err := promptRouter(t).Pick(engines(c.loads...), ask)
			if err != nil || got.Backend.ID != c.want {
				t.Errorf("got %s, %v, want %s", got.Backend.ID, err, c.want)
			}
		})
	}
}

// Symptom: a prompt that is longer than the bound is refused for ever, although engines
// idle. Cause: the bound on the backlog counts the prompt itself.
func TestIdleEngineTakesAnyPrompt(t *testing.T) {
	ask := PickRequest{FleetKnown: true, PromptTokens: 30000, MemoryTokens: 31000, Capacity: 55000, Backlog: 10000}
	if _, _, err := promptRouter(t).Pick(engines(busy{}), ask); err != nil {
		t.Error(err)
	}
	_, _, err := promptRouter(t).Pick(engines(busy{reading: 100}), ask)
	if none, ok := errors.AsType[*NoCandidate](err); !ok || none.Reason != AllFull || !none.Retryable {
		t.Errorf("got %v", err)
	}
}

// BenchmarkPickEngine measures the choice among 200 engines.
func BenchmarkPickEngine(b *testing.B) {
	var loads []busy
	for i := range 200 {
		loads = append(loads, busy{float64(i%3) * 2000, float64(i % 5), float64(i%7) * 5000})
	}
	all, r := engines(loads...), promptRouter(b)
	ask := PickRequest{FleetKnown: true, PromptTokens: 5000, MemoryTokens: 5600, Capacity: 55000, Backlog: 10000}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := r.Pick(all, ask); err != nil {
			b.Fatal(err)
		}
	}
}

// seen is a busy engine that said so some time ago; with an age below zero it never did.
type seen struct {
	busy
	age time.Duration
}

func (s seen) ReportedAt() time.Time {
	if s.age < 0 {
		return time.Time{}
	}
	return time.Unix(1000, 0).Add(-s.age)
}

// Symptom: prompts go to engines that are busy, while idle ones are known. Sequence: some
// engines said lately what they have, others long ago or never. Cause: an engine of which
// nothing is known looks idle.
func TestKnownEnginesGoFirst(t *testing.T) {
	never, old, late := seen{busy{}, -1}, seen{busy{}, time.Minute}, seen{busy{reading: 3000, held: 3000}, time.Millisecond}
	ask := PickRequest{FleetKnown: true, PromptTokens: 5000, MemoryTokens: 6000, Capacity: 55000, Now: time.Unix(1000, 0)}
	r, err := New([]StepConfig{
		{Name: FilterServes}, {Name: FilterLeaving}, {Name: FilterExclude}, {Name: FilterFresh}, {Name: FilterMemory},
		{Name: ScoreDelay}, {Name: PickBest},
	}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		loads []seen
		want  string
	}{
		"one is known":   {[]seen{never, old, late}, "e2"},
		"none is known":  {[]seen{{busy{reading: 5000}, -1}, old}, "e1"},
		"known and full": {[]seen{never, {busy{held: 54000}, 0}}, ""},
	} {
		var all []Candidate
		for i, l := range c.loads {
			all = append(all, Candidate{Backend: fleet.Backend{ID: fmt.Sprint("e", i)}, Live: l})
		}
		if got, _, _ := r.Pick(all, ask); got.Backend.ID != c.want {
			t.Errorf("%s: got %q, want %q", name, got.Backend.ID, c.want)
		}
	}
}

// Who is asked is drawn from all that might be chosen, each at most once.
func TestDrawTakesEachOnce(t *testing.T) {
	all := engines(make([]busy, 10)...)
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
