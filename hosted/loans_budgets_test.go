package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"wigeondale/settings"
)

// budgetFleet simulates the retry budgets of a fleet of routers, without requests and servers.
type budgetFleet struct {
	t       *testing.T
	h       *settings.Hosted
	loans   *loanFleet
	rng     *rand.Rand
	start   time.Time
	weights []float64 // of the routers in the traffic; 0 if not running

	mu       sync.Mutex
	running  map[string]*budgets // guarded by mu, as what follows
	requests []time.Duration
	retries  []time.Duration
	ctx      context.Context
	stop     context.CancelFunc
	waiting  sync.WaitGroup
}

// newBudgetFleet returns a fleet whose routers run for so long that each has its part of the burst. It must be called in a
// synctest bubble.
func newBudgetFleet(t *testing.T, routers int, window int) *budgetFleet {
	f := &budgetFleet{
		t: t, h: &settings.Hosted{}, loans: newLoanFleet(routers), rng: rand.New(rand.NewPCG(1, uint64(routers))), start: time.Now(),
		running: map[string]*budgets{},
	}
	f.h.SetDefaults()
	f.h.RetryWindowS = float64(window)
	f.ctx, f.stop = context.WithCancel(t.Context())
	f.loans.router = func(name string) *loans {
		f.mu.Lock()
		defer f.mu.Unlock()
		if b := f.running[name]; b != nil {
			return b.loans
		}
		return nil
	}
	for i := range routers {
		f.boot(i)
		f.weights = append(f.weights, 1)
		if l := f.budgets(i).loans; l != nil {
			l.cfg.Start = 0
		}
	}
	return f
}

func (f *budgetFleet) now() time.Duration { return time.Since(f.start) + time.Hour }

// boot starts the router i, with nothing left of an earlier life.
func (f *budgetFleet) boot(i int) {
	b := newBudgets(f.h, func() int { return len(f.loans.names) })
	if b.loans = newLoans(f.h, f.now, nil); b.loans != nil {
		f.loans.join(f.loans.names[i], b.loans)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[f.loans.names[i]] = b
}

func (f *budgetFleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[f.loans.names[i]] = nil
}

func (f *budgetFleet) budgets(i int) *budgets {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[f.loans.names[i]]
}

// close ends the fleet and waits until it borrows no more.
func (f *budgetFleet) close() {
	f.stop()
	f.waiting.Wait()
	time.Sleep(time.Second)
}

// draw returns a router at random, by the weights of the running ones.
func (f *budgetFleet) draw() int {
	for {
		i := f.rng.IntN(len(f.weights))
		if f.budgets(i) != nil && f.rng.Float64() < f.weights[i] {
			return i
		}
	}
}

// traffic sends requests at a rate for a time. It calls each with the time since the beginning.
func (f *budgetFleet) traffic(perSecond float64, d time.Duration, each func(at time.Duration)) {
	for from := f.now(); ; {
		time.Sleep(time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second)))
		at := f.now() - from
		if at > d {
			return
		}
		b := f.budgets(f.draw())
		f.mu.Lock()
		f.requests = append(f.requests, f.now())
		f.mu.Unlock()
		b.First(modelService)
		if each != nil {
			each(at)
		}
	}
}

// interrupt has a retry wait for budget at router i, as generation does. It calls done with the time that it waited.
func (f *budgetFleet) interrupt(i int, started bool, limit time.Duration, done func(time.Duration, bool)) {
	b, from, limit := f.budgets(i), f.now(), limit
	f.waiting.Go(func() {
		for {
			got := b.Take(modelService) || b.Await(f.ctx, modelService, started, 100*time.Millisecond)
			dead := f.budgets(i) != b
			if got && !dead {
				f.mu.Lock()
				f.retries = append(f.retries, f.now())
				f.mu.Unlock()
			}
			if waited := f.now() - from; got || dead || waited >= limit {
				done(waited, got && !dead)
				return
			}
			if b.loans == nil {
				time.Sleep(75 * time.Millisecond) // of 100 ms, as drawn by generation
			}
		}
	})
}

// mostOver returns by how much the retries of any window exceed share for each request plus burst.
func (f *budgetFleet) mostOver(share, burst float64) (most float64, at time.Duration) {
	const window = 10 * time.Second
	most = -burst
	var r0, r1, q0, q1 int
	for _, from := range f.retries { // each window that begins just before a retry
		for ; r0 < len(f.retries) && f.retries[r0] < from; r0++ {
		}
		for ; r1 < len(f.retries) && f.retries[r1] < from+window; r1++ {
		}
		for ; q0 < len(f.requests) && f.requests[q0] < from; q0++ {
		}
		for ; q1 < len(f.requests) && f.requests[q1] < from+window; q1++ {
		}
		if over := float64(r1-r0) - share*float64(q1-q0) - burst; over > most {
			most, at = over, from-time.Hour
		}
	}
	return most, at
}

// crash interrupts n started answers at random routers at once and returns the share that has budget within 100 ms.
func (f *budgetFleet) crash(n int) float64 {
	var mu sync.Mutex
	inTime, all := 0, 0
	for range n {
		f.interrupt(f.draw(), true, time.Second, func(waited time.Duration, got bool) {
			mu.Lock()
			defer mu.Unlock()
			all++
			if got && waited <= 100*time.Millisecond {
				inTime++
			}
		})
	}
	f.waiting.Wait()
	return float64(inTime) / float64(all)
}
