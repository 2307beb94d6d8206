package routing

import (
	"math/rand/v2"
	"testing"

	"wigeondale/fleet"
)

func starts(domain string, numbers ...int64) []Candidate {
	var out []Candidate
	for _, n := range numbers {
		out = append(out, Candidate{Backend: fleet.Backend{FailureDomain: domain, Started: n}})
	}
	return out
}

// Symptom: the same drafts are resumed at each crash. Sequence: failure domains
// crash one after the other. Cause: work is placed in the one that is due.
func TestOldestDomain(t *testing.T) {
	join := func(parts ...[]Candidate) (all []Candidate) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	for _, c := range []struct {
		name string
		all  []Candidate
		want string
	}{
		{"after a first start", join(starts("a", 1, 4, 7, 10), starts("b", 2, 5, 8, 11), starts("c", 3, 6, 9, 12)), ""},
		{"one crashed", join(starts("a", 20, 21, 22, 23), starts("b", 2, 5, 8, 11), starts("c", 3, 6, 9, 12)), ""},
		{"two crashed", join(starts("a", 20, 21, 22, 23), starts("b", 30, 31, 32, 33), starts("c", 3, 6, 9, 12)), "c"},
		{"some outlived the crash", join(starts("a", 1, 21, 22, 23, 24), starts("b", 2, 31, 32, 33, 34), starts("c", 3, 6, 9, 12, 13)), "c"},
		{"a single domain", starts("a", 1, 2, 3), ""},
		{"starts not known", join(starts("a", 0, 0), starts("b", 0, 0)), ""},
	} {
		got, _ := oldestDomain(c.all)
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// Symptom: a copy is lost together with its run. Cause: both lie in one domain.
func TestCopyLiesInAnotherDomain(t *testing.T) {
	r, err := New([]StepConfig{
		{Name: FilterServes}, {Name: FilterLeaving}, {Name: FilterExclude}, {Name: FilterOtherDomain}, {Name: FilterHealthy},
		{Name: ScoreLoad, Weight: 1}, {Name: PickBest},
	}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	all := []Candidate{
		{Backend: fleet.Backend{ID: "same", FailureDomain: "a"}},
		{Backend: fleet.Backend{ID: "suspect", FailureDomain: "b"}},
		{Backend: fleet.Backend{ID: "good", FailureDomain: "b"}, EstLoad: 9},
	}
	ask := Ask{OtherDomain: "a", FleetKnown: true, Healthy: func(id string) bool { return id != "suspect" }}
	for range 20 {
		if c, _, err := r.Pick(all, ask); err != nil || c.Backend.ID != "good" {
			t.Fatalf("got %s, %v", c.Backend.ID, err)
		}
	}
	ask.Healthy = func(string) bool { return false }
	if _, _, err := r.Pick(all, ask); err == nil {
		t.Error("a copy at a replica under suspicion")
	}
}

// Symptom: engines idle while prompts are read one after the other elsewhere.
func TestBestTakesAnIdleOneAtRandom(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	n := map[int]int{}
	for range 3000 {
		n[best{}.Choose([]float64{0.5, 1, 0.99, 1, 0.9}, nil, rng)]++
	}
	if n[0]+n[4] != 0 || min(n[1], n[2], n[3]) < 800 {
		t.Errorf("got %v", n)
	}
}
