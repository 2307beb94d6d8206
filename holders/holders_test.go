package holders

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fleet"
)

// lists answers from a table; a missing entry is an error.
type lists struct {
	mu    sync.Mutex
	held  map[string]map[string]int
	asked map[string]int
	slow  time.Duration
}

func (l *lists) CachedParts(ctx context.Context, b fleet.Backend) (map[string]int, error) {
	l.mu.Lock()
	l.asked[b.ID]++
	h, ok := l.held[b.ID]
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(l.slow):
	}
	if !ok {
		return nil, errors.New("no answer")
	}
	return h, nil
}

func ids(names ...string) []fleet.Backend {
	var out []fleet.Backend
	for _, n := range names {
		out = append(out, fleet.Backend{ID: n})
	}
	return out
}

// A part of a prompt is of use only with all parts before it.
func TestMostOfTheLeadingPartsWins(t *testing.T) {
	l := &lists{asked: map[string]int{}, held: map[string]map[string]int{
		"tail": {"p2": 900}, "head": {"p1": 10}, "both": {"p1": 10, "p2": 50},
	}}
	id, n := New(l, Config{}).Find(t.Context(), ids("tail", "head", "both", "down"), []string{"p1", "p2"})
	if id != "both" || n != 60 {
		t.Errorf("got %s with %d", id, n)
	}
	if id, n := New(l, Config{}).Find(t.Context(), ids("tail"), []string{"p1"}); n != 0 {
		t.Errorf("got %s with %d", id, n)
	}
}

// Symptom: engines are slowed by questions. Sequence: all routers die; hundreds of
// clients come back at once. Cause: each asks every engine.
func TestEachIsAskedOnceForMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &lists{asked: map[string]int{}, held: map[string]map[string]int{"a": {"p": 1}}, slow: 5 * time.Millisecond}
		f := New(l, Config{})
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() { f.Find(t.Context(), ids("a", "b"), []string{"p"}) })
		}
		wg.Wait()
		if l.asked["a"] != 1 || l.asked["b"] != 1 {
			t.Errorf("asked %v", l.asked)
		}
		time.Sleep(3 * time.Second)
		f.Find(t.Context(), ids("a"), []string{"p"})
		if l.asked["a"] != 2 {
			t.Errorf("an old answer was used: asked %v", l.asked)
		}
	})
}

// Symptom: a client that came back waits for a silent engine.
func TestSilentOneIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &lists{asked: map[string]int{}, held: map[string]map[string]int{"a": {"p": 1}}, slow: time.Hour}
		began := time.Now()
		New(l, Config{}).Find(t.Context(), ids("a"), []string{"p"})
		if took := time.Since(began); took > time.Second {
			t.Errorf("took %v", took)
		}
	})
}

// Symptom: a node opens thousands of connections at once. Sequence: a client comes
// back in a large fleet. Cause: every replica is asked.
func TestFewAreAskedInALargeFleet(t *testing.T) {
	l := &lists{asked: map[string]int{}, held: map[string]map[string]int{}}
	var all []fleet.Backend
	for i := range 1000 {
		all = append(all, fleet.Backend{ID: strconv.Itoa(i)})
	}
	New(l, Config{MaxCandidates: 20}).Find(t.Context(), all, []string{"p"})
	if len(l.asked) != 20 {
		t.Errorf("%d were asked", len(l.asked))
	}
}
