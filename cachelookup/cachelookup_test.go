package cachelookup

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// fakeLister is a Lister that answers from the table cached, after a delay. Querying a backend
// server without an entry gives an error.
type fakeLister struct {
	mu      sync.Mutex
	cached  map[string]map[string]int
	queries map[string]int
	delay   time.Duration
}

func (l *fakeLister) CachedParts(ctx context.Context, b fleet.Backend) (map[string]int, error) {
	l.mu.Lock()
	l.queries[b.ID]++
	h, ok := l.cached[b.ID]
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(l.delay):
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

// Only leading parts count: a part of a prompt is of use only together with all parts before
// it.
func TestMostOfTheLeadingPartsWins(t *testing.T) {
	l := &fakeLister{queries: map[string]int{}, cached: map[string]map[string]int{
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

// All routers die and hundreds of clients reconnect at once. Each engine must be queried only
// once for many clients: if each client caused a query of every engine, the queries would slow
// down the engines.
func TestEachIsAskedOnceForMany(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := &fakeLister{queries: map[string]int{}, cached: map[string]map[string]int{"a": {"p": 1}}, delay: 5 * time.Millisecond}
		f := New(l, Config{})
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() { f.Find(t.Context(), ids("a", "b"), []string{"p"}) })
		}
		wg.Wait()
		if l.queries["a"] != 1 || l.queries["b"] != 1 {
			t.Errorf("queried %v", l.queries)
		}
		time.Sleep(3 * time.Second)
		f.Find(t.Context(), ids("a"), []string{"p"})
		if l.queries["a"] != 2 {
			t.Errorf("an old result was used: queried %v", l.queries)
		}
	})
}

// A client that reconnected must not wait longer than the timeout of one query for an engine
// that doesn't answer.
func TestSilentOneIsNotWaitedFor(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		l := &fakeLister{queries: map[string]int{}, cached: map[string]map[string]int{"a": {"p": 1}}, delay: time.Hour}
		start := time.Now()
		New(l, Config{}).Find(t.Context(), ids("a"), []string{"p"})
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("took %v", elapsed)
		}
	})
}

// When a client reconnects to a large fleet, its router must not query every replica: the router
// would open thousands of connections at once.
func TestFewAreAskedInALargeFleet(t *testing.T) {
	l := &fakeLister{queries: map[string]int{}, cached: map[string]map[string]int{}}
	var all []fleet.Backend
	for i := range 1000 {
		all = append(all, fleet.Backend{ID: strconv.Itoa(i)})
	}
	New(l, Config{MaxCandidates: 20}).Find(t.Context(), all, []string{"p"})
	if len(l.queries) != 20 {
		t.Errorf("%d were queried", len(l.queries))
	}
}
