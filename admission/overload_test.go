package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// Interactive requests must not miss their deadlines while batch requests run for minutes, and
// batch requests must run even while interactive ones want every slot. Batch requests must not
// get the last slots. But they must not be left without any slot either, in order to reserve
// slots for interactive requests. In the first part more batch requests than slots arrive,
// then an interactive one and a resume; in the second part, interactive requests fill every
// slot, then more requests of both priorities arrive.
func TestDraftsLeaveRoomForLookups(t *testing.T) {
	interactive := Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive}
	batch := Ticket{Account: "a", Cost: 1}
	resume := Ticket{Account: "a", Cost: 1, Resume: true}
	bubble.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // until all have ended
		c := newReservingController()
		served := make(chan string, 40)
		for range 10 {
			admitInBackground(c, batch, "draft", served)
		}
		if len(served) != 8 {
			t.Errorf("%d batch requests run, want 8", len(served))
		}
		admitInBackground(c, interactive, "lookup", served)
		admitInBackground(c, resume, "resume", served)
		if len(served) != 10 {
			t.Errorf("%d of 10 slots used: an interactive request or a resume waits", len(served))
		}
	})
	bubble.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		c := newReservingController()
		interactiveServed, batchServed := make(chan string, 60), make(chan string, 60)
		for range 30 {
			admitInBackground(c, interactive, "lookup", interactiveServed)
		}
		for range 20 {
			admitInBackground(c, batch, "draft", batchServed)
		}
		time.Sleep(150 * time.Millisecond) // one round of service
		synctest.Wait()
		if len(batchServed) != 2 || len(interactiveServed) != 18 {
			t.Errorf("served %d batch and %d interactive requests, want 2 and 18", len(batchServed), len(interactiveServed))
		}
	})
}

// newReservingController returns a controller with ten slots, of which new batch work may use
// eight.
func newReservingController() *Controller {
	c := NewController(Config{
		Capacity:      func(string) int { return 10 },
		BatchCapacity: func(string) int { return 8 },
	}, nil, nil)
	c.SetLimits(map[string]Limit{"a": noLimit})
	return c
}

// Callers must not be refused only after they have waited for seconds, and started batch
// requests must not be aborted at their deadline. Both happen if the router estimates the wait
// from the rate at which all work ends, including interactive requests, and ignores the time
// that a batch request needs. Batch requests of two seconds, with a deadline of five, arrive
// at twice the rate at which they can be served, and interactive requests run alongside.
func TestRefusalsComeAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const service, deadline = 2 * time.Second, 5 * time.Second
		c := newTestController(28, map[string]Limit{"a": noLimit})
		c.cfg.BatchCapacity = func(string) int { return 24 }
		var immediate, late, cut, served atomic.Int32
		admit := func(tk Ticket, took time.Duration) {
			start := time.Now()
			tk.Deadline = start.Add(deadline)
			release, err := c.Admit(context.Background(), tk)
			switch {
			case err == nil:
				time.Sleep(took)
				release(tk.Cost)
				if time.Since(start) > deadline {
					cut.Add(1)
				}
				served.Add(1)
			case time.Since(start) < time.Millisecond:
				immediate.Add(1)
			default:
				late.Add(1)
			}
		}
		for i := range 600 { // 24 batch requests a second, of which 12 can be served
			go admit(Ticket{Account: "a", Cost: 600}, service)
			if i%2 == 0 {
				go admit(Ticket{Account: "a", Cost: 100, Priority: fleet.Interactive}, service/10)
			}
			time.Sleep(time.Second / 24)
		}
		time.Sleep(time.Minute)
		t.Logf("served %d, refused at once %d, late %d, cut %d", served.Load(), immediate.Load(), late.Load(), cut.Load())
		if late.Load()*10 > immediate.Load() || cut.Load() > 0 || immediate.Load() == 0 {
			t.Errorf("refused at once %d, late %d, cut %d", immediate.Load(), late.Load(), cut.Load())
		}
	})
}

// After an overload, batch requests must not be late for another ten seconds. That happens if
// the queue has grown to the longest wait that its tickets allow, and is served first; a short
// queue keeps the slots just as full. Batch requests of two seconds with a deadline of five
// arrive at twice the rate at which they can be served, then at three quarters of that rate.
func TestQueueIsNoLongerThanOfUse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const service, deadline, slots = 2 * time.Second, 5 * time.Second, 24
		c := newTestController(slots, map[string]Limit{"a": noLimit})
		var during, after, late atomic.Int32
		admit := func(served *atomic.Int32, expectedWait time.Duration) {
			start := time.Now()
			release, err := c.Admit(context.Background(), Ticket{Account: "a", Cost: 600, Deadline: start.Add(deadline)})
			if err != nil {
				return
			}
			served.Add(1)
			if time.Since(start) > expectedWait {
				late.Add(1)
			}
			time.Sleep(service)
			release(600)
		}
		const rate = slots * time.Second / service // requests per second that can be served
		for range 20 * 2 * rate {
			go admit(&during, deadline)
			time.Sleep(time.Second / (2 * rate))
		}
		time.Sleep(2 * time.Second)
		for range 10 * rate * 3 / 4 {
			go admit(&after, service/10)
			time.Sleep(time.Second * 4 / (3 * rate))
		}
		time.Sleep(time.Minute)
		t.Logf("late %d of %d, served %d", late.Load(), after.Load(), during.Load())
		if full := int32(20 * rate); during.Load() < full*95/100 {
			t.Errorf("%d served of %d that there were slots for", during.Load(), full)
		}
		if late.Load()*10 > after.Load() || after.Load() == 0 {
			t.Errorf("%d of %d were late two seconds after the overload", late.Load(), after.Load())
		}
	})
}

// Near full load, batch requests must not queue for ever while slots stay empty. Two
// interactive requests run within the reserve of two slots, and batch requests arrive. The
// running interactive requests use the reserve, so the batch requests may use all other slots.
// The fault is that the router keeps the reserve empty although interactive requests already
// use as many slots.
func TestReserveHoldsLookupsThatRun(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		c := newReservingController()
		interactiveServed, batchServed := make(chan string, 10), make(chan string, 20)
		for range 2 {
			admitInBackground(c, Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive}, "lookup", interactiveServed)
		}
		for range 12 {
			admitInBackground(c, Ticket{Account: "a", Cost: 1}, "draft", batchServed)
		}
		if len(batchServed) != 8 {
			t.Errorf("%d batch requests run alongside two interactive ones, want 8", len(batchServed))
		}
	})
}

// Interactive requests must not queue behind batch requests that run for minutes. Interactive
// requests need more slots than there are, and so do batch requests, which don't end. Batch
// requests must not get their whole share while interactive requests wait.
func TestDraftsYieldWhileLookupsWait(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newReservingController()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var batchStarted atomic.Int32
		run := func(tk Ticket, started *atomic.Int32, took time.Duration) {
			release, err := c.Admit(ctx, tk)
			if err != nil {
				return
			}
			started.Add(1)
			time.Sleep(took)
			release(1)
		}
		var interactiveStarted atomic.Int32
		for range 100 {
			go run(Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive}, &interactiveStarted, 100*time.Millisecond)
		}
		synctest.Wait()
		for range 20 {
			go run(Ticket{Account: "a", Cost: 1}, &batchStarted, time.Minute)
		}
		time.Sleep(550 * time.Millisecond) // interactive requests wait until then
		synctest.Wait()
		if batchStarted.Load() == 0 || batchStarted.Load() > int32(batchShare(8)) {
			t.Errorf("%d batch requests run while interactive ones wait, want a quarter of 8 at most", batchStarted.Load())
		}
		cancel()
		time.Sleep(2 * time.Minute) // until all have ended
	})
}

// If all replicas of a model are leaving or down, a request must not wait for minutes, until
// its deadline, for a free slot that there can't be. A ticket is queued while the pool has no
// capacity; another one arrives later, and one after capacity is back.
func TestPoolWithoutReplicas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		var capacity atomic.Int64
		c := NewController(Config{Capacity: func(string) int { return int(capacity.Load()) }}, nil, nil)
		c.SetLimits(map[string]Limit{"a": {}})
		ticket := Ticket{Account: "a", Cost: 1, Deadline: time.Now().Add(10 * time.Minute)}
		got := make(chan string, 3)
		admitInBackground(c, ticket, "first", got)
		time.Sleep(c.cfg.MaxCapacityWait + recheckInterval)
		synctest.Wait()
		admitInBackground(c, ticket, "late", got)
		if len(got) != 2 {
			t.Fatalf("%d of 2 tickets answered", len(got))
		}
		for _, want := range []string{"first:no-replica", "late:no-replica"} {
			if g := <-got; g != want {
				t.Errorf("got %q, want %q", g, want)
			}
		}
		capacity.Store(1)
		admitInBackground(c, ticket, "back", got)
		if g := <-got; g != "back" {
			t.Errorf("with capacity back: got %q", g)
		}
	})
}
