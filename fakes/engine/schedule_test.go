package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeondale/fleet"
)

// Symptom: a stream that another router follows is cancelled.
// Sequence: a second reader takes over, then the first one's connection ends.
// Cause: the linger time was started by a reader that no longer counts.
func TestLingerStartsWithTheLastReader(t *testing.T) {
	req := request("r", 1, 10)
	req.Ext.LingerMS = 100
	s := newStream(req)
	first, t0 := attached(s), time.Now()
	second := attached(s)
	s.detach(first, t0)
	if s.abandoned(t0.Add(time.Hour)) {
		t.Fatal("abandoned with a reader attached")
	}
	s.detach(second, t0)
	if s.abandoned(t0.Add(99*time.Millisecond)) || !s.abandoned(t0.Add(100*time.Millisecond)) {
		t.Fatal("the linger time is not kept")
	}
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	now := time.Now()
	c := newCache(2, 0, rand.New(rand.NewPCG(1, 1)))
	c.use([]uint64{1, 2}, now)
	if hits := c.use([]uint64{1, 3}, now); hits != 1 {
		t.Fatalf("%d hits", hits)
	}
	if hits := c.use([]uint64{1, 2}, now); hits != 1 {
		t.Fatalf("%d hits: block 2 should have been evicted", hits)
	}
	if len(c.after(0, now.Add(-time.Second))) != 0 {
		t.Fatal("events are not late")
	}
	if last := c.after(5, now); len(last) != 1 || last[0].Type != "stored" || last[0].Block != "0000000000000002" {
		t.Fatalf("%+v", last)
	}
}

func TestPriorityThenArrival(t *testing.T) {
	e := start(t, func(c *Config) { c.MaxRunning = 1; c.MaxWaiting = 3 })
	e.mu.Lock()
	for i, p := range []int{0, 1, 0, 1} {
		req := request(fmt.Sprint("r", i), 1, 10)
		req.Priority = p
		e.enqueue(newStream(req))
	}
	var order string
	for _, s := range e.waiting {
		order += s.key.request
	}
	e.mu.Unlock()
	if order != "r1r3r0r2" {
		t.Fatal(order)
	}
}

// Symptom: an old holder's order undoes a newer one.
// Sequence: an order with fence 5, then one with fence 4.
// Cause: the old holder was paused while its lease lapsed.
func TestStaleFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := start(t, func(c *Config) { c.ChecksFence = checks })
		e.apply(OrderRequest{Fence: 5, Desired: []fleet.ModelRef{v1}})
		if _, ok := e.apply(OrderRequest{Fence: 4, Leaving: true}); ok == checks {
			t.Errorf("checks %v: stale order taken: %v", checks, ok)
		}
	}
}
