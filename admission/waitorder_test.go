package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/schedule"
)

// orderSim plays requests against a WaitQueue and a server with slots and memory, on a clock of its own. Each waiting
// request polls every pollStep, in a new random order each time.
type orderSim struct {
	queue   *WaitQueue
	now     time.Time
	rng     *rand.Rand
	window  int // requests at the head that try to get a server
	waiting []*simRequest
	fits    func(r *simRequest) bool
	granted func(r *simRequest)
	next    int
}

type simRequest struct {
	schedule.Item
	promised time.Duration // expected wait when it arrived
	known    bool
	charge   *Charge
}

const pollStep = 10 * time.Millisecond

func newOrderSim(s Sharing, window int) *orderSim {
	return &orderSim{queue: NewSharedWaitQueue(s), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), window: window}
}

func (s *orderSim) arrive(priority int, account string, cost float64) {
	s.next++
	r := &simRequest{Item: schedule.Item{
		ID: fmt.Sprint("r", s.next), Stage: schedule.New, Priority: priority, Account: account, Cost: cost, FirstTry: s.now, QueuedAt: s.now,
	}}
	pos := s.queue.Poll(r.Item, s.now)
	r.promised, r.known = s.queue.ExpectedWait(priority, pos.Ahead+1, pos.Peers, s.now)
	s.waiting = append(s.waiting, r)
}

// step polls each waiting request once.
func (s *orderSim) step() {
	s.now = s.now.Add(pollStep)
	s.rng.Shuffle(len(s.waiting), func(i, j int) { s.waiting[i], s.waiting[j] = s.waiting[j], s.waiting[i] })
	polled := s.waiting
	s.waiting = nil
	for _, r := range polled {
		if pos := s.queue.Poll(r.Item, s.now); pos.Ahead < s.window && !pos.Held && s.fits(r) {
			r.charge = s.queue.RecordGrant(r.ID, s.now)
			s.granted(r)
			continue
		}
		s.waiting = append(s.waiting, r)
	}
}

// slots makes a slot free every interval, which any request can use.
func (s *orderSim) slots(interval time.Duration) {
	free := s.now
	s.fits = func(*simRequest) bool {
		if s.now.Before(free) {
			return false
		}
		free = free.Add(interval)
		return true
	}
}

// Guards against a priority that is never served while more urgent requests fill all slots: within 5 s each priority with
// waiting requests must get a grant. All priorities wait at any time, and a slot becomes free every 40 to 160 ms.
func TestNoPriorityStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.IntRange(2, schedule.Priorities).Draw(t, "priorities")
		s := newOrderSim(rapid.SampledFrom([]Sharing{ShareByArrival, ShareByAccount}).Draw(t, "sharing"), rapid.IntRange(1, 5).Draw(t, "window"))
		s.slots(time.Duration(rapid.IntRange(40, 160).Draw(t, "slot ms")) * time.Millisecond)
		last := make([]time.Time, priorities)
		for p := range last {
			last[p] = s.now
			s.arrive(p, "a", 1)
		}
		s.granted = func(r *simRequest) {
			if gap := s.now.Sub(last[r.Priority]); gap > schedule.Window {
				t.Fatalf("priority %d got no grant for %v", r.Priority, gap)
			}
			last[r.Priority] = s.now
			s.arrive(r.Priority, "a", float64(rapid.IntRange(1, 9000).Draw(t, "cost")))
		}
		for range 700 {
			s.step()
		}
		for p, at := range last {
			if gap := s.now.Sub(at); gap > schedule.Window {
				t.Fatalf("priority %d got no grant for %v", p, gap)
			}
		}
	})
}

// Guards against a client account that gets more by sending more: of five accounts that all send more than their
// share, one sends ten times as much. The others must get within 3% of the part of the capacity that they got before. Real costs differ from expected
// ones, and are known a second after the grant.
func TestHeavyAccountTakesNothingFromOthers(t *testing.T) {
	used := func(factor int) (share float64) {
		var others, all float64
		s := newOrderSim(ShareByAccount, 3)
		s.slots(200 * time.Millisecond)
		type run struct {
			r    *simRequest
			real float64
			ends time.Time
		}
		var running []run
		s.granted = func(r *simRequest) {
			real := r.Cost * (0.2 + 0.8*s.rng.Float64())
			running = append(running, run{r, real, s.now.Add(time.Second)})
			all += real
			if r.Account != "a0" {
				others += real
			}
		}
		for i := range 3000 {
			if i%60 == 0 { // each account sends 1.7 a second, of 5 slots
				for a := range 5 {
					n := 1
					if a == 0 {
						n = factor
					}
					for range n {
						if len(s.waiting) < 400 {
							s.arrive(5, fmt.Sprint("a", a), 2000+float64(s.rng.IntN(8000)))
						}
					}
				}
			}
			s.step()
			for len(running) > 0 && !running[0].ends.After(s.now) {
				running[0].r.charge.Settle(running[0].real)
				running = running[1:]
			}
			s.giveUp(1500 * time.Millisecond)
		}
		return others / all
	}
	even, uneven := used(1), used(10)
	t.Logf("the others used %.3f, and %.3f when one account sends ten times as much", even, uneven)
	if math.Abs(uneven-even) > 0.03*even {
		t.Errorf("the others used %.3f, and %.3f when one account sends ten times as much", even, uneven)
	}
}

// giveUp removes the requests that have waited for longer than d.
func (s *orderSim) giveUp(d time.Duration) {
	var left []*simRequest
	for _, r := range s.waiting {
		if s.now.Sub(r.FirstTry) > d {
			s.queue.Remove(r.ID, s.now)
			continue
		}
		left = append(left, r)
	}
	s.waiting = left
}

// Guards against a large urgent request that small less urgent ones pass for as long as they arrive, because each of them fits
// into the room that becomes free first. The server has 30,000 tokens of memory, the large request needs 20,000, the others
// 5,000 each, for two seconds.
func TestLargeUrgentRequestIsServed(t *testing.T) {
	s := newOrderSim(ShareByArrival, 3)
	memory, served := 30000.0, time.Time{}
	type run struct {
		cost float64
		ends time.Time
	}
	var running []run
	s.fits = func(r *simRequest) bool { return r.Cost <= memory }
	s.granted = func(r *simRequest) {
		memory -= r.Cost
		running = append(running, run{r.Cost, s.now.Add(2 * time.Second)})
		if r.Priority == 0 {
			served = s.now
		}
	}
	start, small := s.now, 0
	for i := range 1200 {
		if i%20 == 0 {
			s.arrive(2, "a", 5000)
		}
		if i == 300 {
			start = s.now
			s.arrive(0, "a", 20000)
		}
		s.step()
		for len(running) > 0 && !running[0].ends.After(s.now) {
			if running[0].cost == 5000 {
				small++
			}
			memory += running[0].cost
			running = running[1:]
		}
	}
	if served.IsZero() || served.Sub(start) > schedule.Window {
		t.Errorf("served after %v", served.Sub(start))
	}
	if small < 12 { // 15 could run in the first three and the last five seconds together
		t.Errorf("only %d small requests were served", small)
	}
}

// Guards against a slot that a less urgent request takes since it polls first, although an urgent one could use it.
func TestSlotGoesToTheUrgentRequest(t *testing.T) {
	s := newOrderSim(ShareByArrival, 3)
	free, order := false, []int(nil)
	s.fits = func(*simRequest) bool { return free }
	s.granted = func(r *simRequest) {
		order = append(order, r.Priority)
		free = false
	}
	for range 50 {
		s.arrive(2, "a", 5000)
		s.arrive(0, "a", 5000)
		s.step()
		for range 2 {
			free = true
			s.step()
		}
	}
	for i, p := range order {
		if p != []int{0, 2}[i%2] {
			t.Fatalf("grant %d went to priority %d", i, p)
		}
	}
}

// Guards against a less urgent request that is promised a wait which urgent requests use up: a slot becomes free every 100 ms,
// and of ten requests a second that arrive six are urgent. The wait of the others must be as long as was promised.
func TestPromisedWaitCountsUrgentArrivals(t *testing.T) {
	s := newOrderSim(ShareByArrival, 3)
	s.slots(100 * time.Millisecond)
	var promised, real [3]time.Duration
	s.granted = func(r *simRequest) {
		if r.known {
			promised[r.Priority] += r.promised
			real[r.Priority] += s.now.Sub(r.FirstTry)
		}
	}
	for i := range 20000 {
		if s.rng.Float64() < 0.06 {
			s.arrive(0, "a", 1)
		}
		if s.rng.Float64() < 0.04 && len(s.waiting) < 12 {
			s.arrive(2, "a", 1)
		}
		if i%100 == 0 && len(s.waiting) < 5 {
			s.arrive(2, "a", 1)
		}
		s.step()
	}
	for _, p := range []int{0, 2} {
		t.Logf("priority %d: %.2f of the promised wait", p, float64(real[p])/float64(promised[p]))
	}
	if r := float64(real[2]) / float64(promised[2]); r < 0.75 || r > 1.25 {
		t.Errorf("less urgent requests waited %.2f of what was promised", r)
	}
}
