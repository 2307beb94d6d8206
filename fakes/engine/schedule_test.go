package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeondale/fleet"
)

// When a second reader has taken a stream over and the connection of the first reader ends,
// the linger time must not start. Otherwise the stream is cancelled although another router
// still reads it.
func TestLingerStartsWithTheLastReader(t *testing.T) {
	req := request("r", 1, 10)
	req.Ext.LingerMS = 100
	s := newStream(req)
	first, t0 := attachReader(s), time.Now()
	second := attachReader(s)
	s.detach(first, t0)
	if s.abandoned(t0.Add(time.Hour)) {
		t.Fatal("abandoned although a reader is attached")
	}
	s.detach(second, t0)
	if s.abandoned(t0.Add(99*time.Millisecond)) || !s.abandoned(t0.Add(100*time.Millisecond)) {
		t.Fatal("the linger time is not kept")
	}
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	now := time.Now()
	c := newCache(2, 0, rand.New(rand.NewPCG(1, 1)))
	c.lookUpAndStore([]uint64{1, 2}, now)
	if hits := c.lookUpAndStore([]uint64{1, 3}, now); hits != 1 {
		t.Fatalf("%d hits", hits)
	}
	if hits := c.lookUpAndStore([]uint64{1, 2}, now); hits != 1 {
		t.Fatalf("%d hits: block 2 should have been evicted", hits)
	}
	if len(c.eventsAfter(0, now.Add(-time.Second))) != 0 {
		t.Fatal("eventsAfter returned events that happened after until")
	}
	if last := c.eventsAfter(5, now); len(last) != 1 || last[0].Type != "stored" || last[0].Block != "0000000000000002" {
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

// An order with an older fencing number (4) must not undo a newer order (5). The older
// order comes from a router that was paused until its lease on orders expired. Engines that
// don't check the fencing number follow the older order.
func TestStaleFence(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := start(t, func(c *Config) { c.ChecksFence = checks })
		e.applyOrder(OrderRequest{Fence: 5, Desired: []fleet.ModelRef{v1}})
		if _, ok := e.applyOrder(OrderRequest{Fence: 4, Leaving: true}); ok == checks {
			t.Errorf("checks %v: stale order followed: %v", checks, ok)
		}
	}
}
