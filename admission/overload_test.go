package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fleet"
)

// Symptom: lookups miss their deadlines while drafts run for minutes, or no
// draft runs at all while lookups want every place.
// Sequence: more drafts than places, then a lookup and a resume; and the other
// way round, lookups in every place, then more of both.
// Cause: drafts were given the last places; or none, to spare them for lookups.
func TestDraftsLeaveRoomForLookups(t *testing.T) {
	lookup := Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive}
	draft := Ticket{Account: "a", Cost: 1}
	resume := Ticket{Account: "a", Cost: 1, Resume: true}
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute) // until all have ended
		c := reserving()
		served := make(chan string, 40)
		for range 10 {
			queueUp(c, draft, "draft", served)
		}
		if len(served) != 8 {
			t.Errorf("%d drafts run, want 8", len(served))
		}
		queueUp(c, lookup, "lookup", served)
		queueUp(c, resume, "resume", served)
		if len(served) != 10 {
			t.Errorf("%d of 10 places taken: a lookup or a resume waits", len(served))
		}
	})
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		c := reserving()
		lookups, drafts := make(chan string, 60), make(chan string, 60)
		for range 30 {
			queueUp(c, lookup, "lookup", lookups)
		}
		for range 20 {
			queueUp(c, draft, "draft", drafts)
		}
		time.Sleep(150 * time.Millisecond) // one round of service
		synctest.Wait()
		if len(drafts) != 2 || len(lookups) != 18 {
			t.Errorf("served %d drafts and %d lookups, want 2 and 18", len(drafts), len(lookups))
		}
	})
}

// reserving has ten places, of which new batch work takes eight.
func reserving() *Controller {
	c := NewController(Config{
		Capacity:      func(string) int { return 10 },
		BatchCapacity: func(string) int { return 8 },
	}, nil, nil)
	c.SetLimits(map[string]Limit{"a": wide})
	return c
}

// Symptom: callers wait for seconds and are refused then, and started drafts
// are cut at their deadline.
// Sequence: drafts of two seconds, with a deadline of five, arrive at twice the
// rate at which they can be served; lookups run beside them.
// Cause: the wait was judged by the rate at which all work ends, lookups too,
// and the time that a draft needs was left out.
func TestRefusalsComeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service, deadline = 2 * time.Second, 5 * time.Second
		c := controller(28, map[string]Limit{"a": wide})
		c.cfg.BatchCapacity = func(string) int { return 24 }
		var prompt, late, cut, served atomic.Int32
		admit := func(tk Ticket, took time.Duration) {
			began := time.Now()
			tk.Deadline = began.Add(deadline)
			release, err := c.Admit(context.Background(), tk)
			switch {
			case err == nil:
				time.Sleep(took)
				release(tk.Cost)
				if time.Since(began) > deadline {
					cut.Add(1)
				}
				served.Add(1)
			case time.Since(began) < time.Millisecond:
				prompt.Add(1)
			default:
				late.Add(1)
			}
		}
		for i := range 600 { // 24 drafts a second, of which 12 can be served
			go admit(Ticket{Account: "a", Cost: 600}, service)
			if i%2 == 0 {
				go admit(Ticket{Account: "a", Cost: 100, Priority: fleet.Interactive}, service/10)
			}
			time.Sleep(time.Second / 24)
		}
		time.Sleep(time.Minute)
		t.Logf("served %d, refused at once %d, late %d, cut %d", served.Load(), prompt.Load(), late.Load(), cut.Load())
		if late.Load()*10 > prompt.Load() || cut.Load() > 0 || prompt.Load() == 0 {
			t.Errorf("refused at once %d, late %d, cut %d", prompt.Load(), late.Load(), cut.Load())
		}
	})
}

// Symptom: for ten seconds after an overload every draft is late.
// Sequence: drafts of two seconds with a deadline of five arrive at twice the
// rate at which they can be served; then at three quarters of it.
// Cause: the queue had grown to all that its tickets could wait, and was served
// first. A short queue keeps the places as full.
func TestQueueIsNoLongerThanOfUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service, deadline, places = 2 * time.Second, 5 * time.Second, 24
		c := controller(places, map[string]Limit{"a": wide})
		var during, after, late atomic.Int32
		admit := func(served *atomic.Int32, usual time.Duration) {
			began := time.Now()
			release, err := c.Admit(context.Background(), Ticket{Account: "a", Cost: 600, Deadline: began.Add(deadline)})
			if err != nil {
				return
			}
			served.Add(1)
			if time.Since(began) > usual {
				late.Add(1)
			}
			time.Sleep(service)
			release(600)
		}
		const rate = places * time.Second / service // a second
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
			t.Errorf("%d served of %d that there were places for", during.Load(), full)
		}
		if late.Load()*10 > after.Load() || after.Load() == 0 {
			t.Errorf("%d of %d were late two seconds after the overload", late.Load(), after.Load())
		}
	})
}

// Symptom: near full load drafts queue for ever while places stay empty.
// Sequence: two lookups run within the reserve of two places; drafts arrive.
// Cause: lookups counted against the drafts' share, and the reserve was kept
// empty besides.
func TestReserveHoldsLookupsThatRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		c := reserving()
		lookups, drafts := make(chan string, 10), make(chan string, 20)
		for range 2 {
			queueUp(c, Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive}, "lookup", lookups)
		}
		for range 12 {
			queueUp(c, Ticket{Account: "a", Cost: 1}, "draft", drafts)
		}
		if len(drafts) != 8 {
			t.Errorf("%d drafts run beside two lookups, want 8", len(drafts))
		}
	})
}

// Symptom: lookups queue behind drafts that run for minutes. Sequence: lookups
// want more than every place and so do drafts, which don't end. Cause: drafts
// were given their whole share while lookups wait.
func TestDraftsYieldWhileLookupsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := reserving()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var drafts atomic.Int32
		run := func(tk Ticket, began *atomic.Int32, took time.Duration) {
			release, err := c.Admit(ctx, tk)
			if err != nil {
				return
			}
			began.Add(1)
			time.Sleep(took)
			release(1)
		}
		var lookups atomic.Int32
		for range 100 {
			go run(Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive}, &lookups, 100*time.Millisecond)
		}
		synctest.Wait()
		for range 20 {
			go run(Ticket{Account: "a", Cost: 1}, &drafts, time.Minute)
		}
		time.Sleep(550 * time.Millisecond) // lookups wait until then
		synctest.Wait()
		if drafts.Load() == 0 || drafts.Load() > 8/batchEvery {
			t.Errorf("%d drafts run while lookups wait, want a quarter of 8 at most", drafts.Load())
		}
		cancel()
		time.Sleep(2 * time.Minute) // until all have ended
	})
}

// Symptom: a request waits for minutes, until its deadline, for a model whose
// replicas are all leaving or down.
// Sequence: a ticket queues while the pool has no capacity; another comes later,
// and one after capacity is back.
// Cause: the queue waited for a place without asking whether any can come free.
func TestPoolWithoutReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		var capacity atomic.Int64
		c := NewController(Config{Capacity: func(string) int { return int(capacity.Load()) }}, nil, nil)
		c.SetLimits(map[string]Limit{"a": {}})
		ticket := Ticket{Account: "a", Cost: 1, Deadline: time.Now().Add(10 * time.Minute)}
		got := make(chan string, 3)
		queueUp(c, ticket, "first", got)
		time.Sleep(c.cfg.MaxCapacityWait + recheckInterval)
		synctest.Wait()
		queueUp(c, ticket, "late", got)
		if len(got) != 2 {
			t.Fatalf("%d of 2 tickets answered", len(got))
		}
		for _, want := range []string{"first:no-replica", "late:no-replica"} {
			if g := <-got; g != want {
				t.Errorf("got %q, want %q", g, want)
			}
		}
		capacity.Store(1)
		queueUp(c, ticket, "back", got)
		if g := <-got; g != "back" {
			t.Errorf("with capacity back: got %q", g)
		}
	})
}
