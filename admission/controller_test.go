package admission

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// noLimit is a limit that is never reached.
var noLimit = Limit{TokensPerSecond: 1e9, Burst: 1e9}

func newTestController(capacity int, limits map[string]Limit) *Controller {
	c := NewController(Config{Capacity: func(string) int { return capacity }}, nil, nil)
	c.SetLimits(limits)
	return c
}

func reasonOf(err error) Reason {
	var r *Refused
	if !errors.As(err, &r) {
		return ""
	}
	return r.Reason
}

// admitInBackground starts an Admit that may wait. It sends name to served when the ticket is
// admitted, and the name with the reason if it is refused.
func admitInBackground(c *Controller, t Ticket, name string, served chan<- string) {
	go func() {
		release, err := c.Admit(context.Background(), t)
		if err != nil {
			served <- name + ":" + string(reasonOf(err))
			return
		}
		served <- name
		time.Sleep(100 * time.Millisecond)
		release(t.Cost)
	}()
	synctest.Wait()
}

// The requests of a small account must not wait behind hundreds of requests of a large
// account. The large account queues up to 200 tickets, then small accounts queue one each.
// Whatever the tickets cost, all small tickets must have been served after at most one more
// ticket of the large account.
func TestLargeAccountDoesNotStarveSmall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		small := rapid.IntRange(1, 5).Draw(rt, "small accounts")
		greedy := rapid.IntRange(1, 200).Draw(rt, "greedy tickets")
		cost := rapid.Float64Range(1, 5000).Draw(rt, "greedy cost")
		q, big := newQueue(), &account{id: "big"}
		for i := range greedy {
			q.push(&waiter{acct: big, seq: uint64(i), ticket: Ticket{Cost: cost}}, time.Time{})
		}
		for range rapid.IntRange(0, greedy-1).Draw(rt, "served before") {
			q.pop(time.Time{})
		}
		for i := range small {
			q.push(&waiter{acct: &account{id: fmt.Sprint("small", i)}, seq: uint64(1000 + i), ticket: Ticket{Cost: 1}}, time.Time{})
		}
		for left, n := small, 1; left > 0; n++ {
			if w := q.pop(time.Time{}); w.acct != big {
				left--
			}
			if n > small+1 {
				rt.Fatalf("%d small tickets still wait after %d were served", left, n)
			}
		}
	})
}

// An account that pauses now and then must not be served before all others each time it
// returns. One account is served for a while, then a second one queues as many tickets of the
// same cost. From then on both must be served equally.
func TestIdleAccountSavesUpNothing(t *testing.T) {
	q, steady, newcomer := newQueue(), &account{id: "steady"}, &account{id: "newcomer"}
	for i := range 100 {
		q.push(&waiter{acct: steady, seq: uint64(i), ticket: Ticket{Cost: 10}}, time.Time{})
	}
	for range 50 {
		q.pop(time.Time{})
	}
	for i := range 50 {
		q.push(&waiter{acct: newcomer, seq: uint64(100 + i), ticket: Ticket{Cost: 10}}, time.Time{})
	}
	ahead := 0
	for range 90 {
		if q.pop(time.Time{}).acct == newcomer {
			ahead++
		} else {
			ahead--
		}
		if ahead > 2 || ahead < -2 {
			t.Fatalf("one account is %d tickets ahead", ahead)
		}
	}
}

// Under load, started answers must not be dropped, interactive requests must not be late
// because of batch requests, and batch requests must still run. There is one slot; one ticket
// of each class is queued in the worst order.
func TestOrderOfClasses(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newTestController(1, map[string]Limit{"a": noLimit})
		served := make(chan string, 10)
		admitInBackground(c, Ticket{Account: "a", Cost: 1}, "first", served)
		admitInBackground(c, Ticket{Account: "a", Cost: 1}, "draft", served)
		admitInBackground(c, Ticket{Account: "a", Cost: 1, Resume: true}, "draft-resume", served)
		for i := range 3 {
			admitInBackground(c, Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive}, fmt.Sprint("lookup", i), served)
		}
		admitInBackground(c, Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive, Resume: true}, "lookup-resume", served)
		want := []string{"first", "lookup-resume", "lookup0", "lookup1", "draft-resume", "lookup2", "draft"}
		for i, w := range want {
			if got := <-served; got != w {
				t.Errorf("grant %d: %s, want %s", i, got, w)
			}
		}
		time.Sleep(time.Second)
	})
}

// A caller must not wait in a queue for an answer that comes too late anyway. Service takes
// 100 ms on one slot, ten tickets wait, and a caller has 300 ms. The ticket of this caller
// must be refused at once, with a time to come back. A resume may be refused for its deadline
// too, but never because the queue is full or for lack of tokens. An interactive request with
// the same deadline must be served.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newTestController(1, map[string]Limit{"a": noLimit})
		served := make(chan string, 20)
		admitInBackground(c, Ticket{Account: "a", Cost: 1}, "warm", served)
		time.Sleep(time.Second)
		for i := range 11 {
			admitInBackground(c, Ticket{Account: "a", Cost: 1}, fmt.Sprint(i), served)
		}
		start := time.Now()
		_, err := c.Admit(t.Context(), Ticket{Account: "a", Cost: 1, Deadline: start.Add(300 * time.Millisecond)})
		if reasonOf(err) != ReasonDeadline || !time.Now().Equal(start) {
			t.Errorf("after %v: %v", time.Since(start), err)
		}
		var r *Refused
		if errors.As(err, &r) && (r.RetryAfter < 500*time.Millisecond || r.RetryAfter > 2*time.Second) {
			t.Errorf("Retry-After %v at a queue of one second", r.RetryAfter)
		}
		admitInBackground(c, Ticket{Account: "a", Cost: 1, Priority: fleet.Interactive, Deadline: start.Add(300 * time.Millisecond)}, "lookup", served)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		close(served)
		for s := range served {
			if s == "lookup:deadline" {
				t.Error("an interactive request with enough time was refused")
			}
		}
		if c.count(false) != 0 || c.count(true) != 0 || c.accounts["a"].waiting != 0 {
			t.Errorf("left over: running %d, waiting %d", c.count(false), c.count(true))
		}
	})
}

// If slots or tokens leak, the router refuses work after an incident although nothing runs.
// Here the contexts and deadlines of the tickets end at the very moment at which the tickets
// are admitted.
func TestNothingLeaksWhenWaitersGiveUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newTestController(2, map[string]Limit{"a": {TokensPerSecond: 1e-9, Burst: 1000}})
		for i := range 40 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7)*50*time.Millisecond)
			go func() {
				defer cancel()
				release, err := c.Admit(ctx, Ticket{Account: "a", Cost: 10, Deadline: time.Now().Add(time.Duration(20+i%5*50) * time.Millisecond)})
				if err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
				release(0)
				release(0)
			}()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		a := c.accounts["a"]
		if c.count(false) != 0 || a.running != 0 || a.waiting != 0 || c.count(true) != 0 {
			t.Errorf("running %d/%d, waiting %d/%d", c.count(false), a.running, a.waiting, c.count(true))
		}
		if a.tokens.level < 999.9 || a.tokens.level > 1000.1 {
			t.Errorf("tokens %g, want all 1000 back", a.tokens.level)
		}
	})
}

// Requests for an idle model must not wait behind requests for a saturated one. One pool has
// no capacity and a ticket waits for it. A ticket of another pool must run at once, and the
// waiting ticket must run when capacity returns, even without any release.
func TestSaturatedPoolHoldsUpNoOther(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var capacity atomic.Int64
		c := NewController(Config{Capacity: func(p string) int {
			if p == "idle" {
				return 1
			}
			return int(capacity.Load())
		}}, nil, nil)
		c.SetLimits(map[string]Limit{"a": noLimit})
		served := make(chan string, 2)
		admitInBackground(c, Ticket{Account: "a", Pool: "full"}, "full", served)
		admitInBackground(c, Ticket{Account: "a", Pool: "idle"}, "idle", served)
		if got := <-served; got != "idle" {
			t.Errorf("first served: %s", got)
		}
		capacity.Store(1)
		if got := <-served; got != "full" {
			t.Errorf("then: %s", got)
		}
		time.Sleep(time.Second)
	})
}

// A queue that one account has filled must not keep all other accounts out: the ticket with
// the highest start tag is dropped for a ticket that would be served before it.
func TestFullQueueMakesRoomByTurn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := NewController(Config{MaxQueue: 5, Capacity: func(string) int { return 1 }}, nil, nil)
		c.SetLimits(map[string]Limit{"big": noLimit, "small": noLimit})
		served := make(chan string, 20)
		for i := range 6 {
			admitInBackground(c, Ticket{Account: "big", Cost: 100}, fmt.Sprint("big", i), served)
		}
		_, err := c.Admit(t.Context(), Ticket{Account: "big", Cost: 100})
		if reasonOf(err) != ReasonQueueFull {
			t.Errorf("one more of the large account: %v", err)
		}
		admitInBackground(c, Ticket{Account: "small", Cost: 100}, "small", served)
		want := []string{"big0", "big5:queue-full", "big1", "small", "big2"}
		for i, w := range want {
			if got := <-served; got != w {
				t.Errorf("grant %d: %s, want %s", i, got, w)
			}
		}
		time.Sleep(time.Second)
	})
}

// An account must not exceed its limit by stating a lower cost than it uses, and a long
// generation must be admitted eventually. When the work ends, the router charges its actual
// cost. A resulting debt must delay the account's next new request.
func TestBucketSettles(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newTestController(9, map[string]Limit{"a": {TokensPerSecond: 100, Burst: 200}})
		release, err := c.Admit(t.Context(), Ticket{Account: "a", Cost: 150})
		if err != nil {
			t.Fatal(err)
		}
		release(400) // 250 more than estimated: 200 in debt
		_, err = c.Admit(t.Context(), Ticket{Account: "a", Cost: 100})
		var r *Refused
		if !errors.As(err, &r) || r.Reason != ReasonRate || r.RetryAfter.Round(time.Millisecond) != 3*time.Second {
			t.Errorf("in debt: %v", err)
		}
		if _, err = c.Admit(t.Context(), Ticket{Account: "a", Cost: 100, Resume: true}); err != nil {
			t.Errorf("a resume was refused: %v", err)
		}
		time.Sleep(5 * time.Second)
		if _, err = c.Admit(t.Context(), Ticket{Account: "a", Cost: 10_000}); err != nil {
			t.Errorf("a cost above the burst with a full bucket: %v", err)
		}
		if _, err = c.Admit(t.Context(), Ticket{Account: "b"}); reasonOf(err) != ReasonUnknownAccount {
			t.Errorf("unknown account: %v", err)
		}
	})
}

// In a partition, the parts of the fleet must not each grant the whole limit. For any demands
// and any partition of the fleet into parts that reach only their own members, the sum of the
// parts' shares must be at most MaxOvershoot times the limit. If no peer is unreachable, the
// sum must be the limit itself.
func TestShareOvershootIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "nodes")
		parts := rapid.IntRange(1, n).Draw(t, "parts")
		limit := rapid.Float64Range(1, 1e6).Draw(t, "limit")
		demand := make([]float64, n)
		part := make([]int, n)
		for i := range n {
			demand[i] = rapid.Float64Range(0, limit).Draw(t, "demand")
			part[i] = rapid.IntRange(0, parts-1).Draw(t, "part")
		}
		var sum float64
		for i := range n {
			var reachable, unreachable []float64
			for j := range n {
				switch {
				case j == i:
				case part[j] == part[i]:
					reachable = append(reachable, demand[j])
				default:
					unreachable = append(unreachable, demand[j])
				}
			}
			sum += LimitShare(limit, demand[i], reachable, unreachable)
		}
		if sum > limit*MaxOvershoot*1.000001 {
			t.Fatalf("%d parts use %g of %g", parts, sum, limit)
		}
		if parts == 1 && sum < limit*0.999999 {
			t.Fatalf("a complete fleet uses %g of %g", sum, limit)
		}
	})
}

// The retries of a failing fleet must not multiply its load: they are limited to a share of
// first tries.
func TestRetryBudgetIsAShare(t *testing.T) {
	b := NewRetryBudget(0.1, 5)
	taken := 0
	for range 1000 {
		b.First()
		for range 3 {
			if b.Take() {
				taken++
			}
		}
	}
	if taken < 95 || taken > 105 {
		t.Errorf("%d retries for 1000 first tries, want a tenth and the burst", taken)
	}
}

func TestDemandFollowsAndSplits(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := newTestController(1000, map[string]Limit{"a": {TokensPerSecond: 1000}})
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			_, _ = c.Admit(t.Context(), Ticket{Account: "a", Cost: 50})
		}
		if d := c.Demand()["a"]; d < 450 || d > 550 {
			t.Errorf("demand %g, want about 500", d)
		}
		c.SetPeerDemand([]PeerDemand{{Node: "p", Demand: map[string]float64{"a": 500}}})
		if r := c.accounts["a"].rate(); r < 450 || r > 550 {
			t.Errorf("rate with a peer of equal demand %g, want about 500", r)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	c := newTestController(1<<30, map[string]Limit{"a": noLimit})
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		release, err := c.Admit(ctx, Ticket{Account: "a", Cost: 1})
		if err != nil {
			b.Fatal(err)
		}
		release(1)
	}
}

func BenchmarkBytesPerAccount(b *testing.B) {
	const n = 10_000
	limits := map[string]Limit{}
	for i := range n {
		limits[fmt.Sprint("account", i)] = noLimit
	}
	peers := make([]PeerDemand, 8)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := newTestController(1, limits)
		c.SetPeerDemand(peers)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/account")
		runtime.KeepAlive(c)
	}
}
