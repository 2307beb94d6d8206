package hosted

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
)

// loanSizes are numbers of routers.
var loanSizes = []int{8, 66, 300, 985}

const loanStreams = 31.8 // requests per second of the fleets below

// crashes returns the share of interrupted answers that have budget within 100 ms, in several fleets.
func crashes(t *testing.T, fleets, routers, window, answers int, trouble func(*budgetFleet)) float64 {
	sum := 0.0
	for seed := range fleets {
		bubble.Test(t, func(t *testing.T) {
			f := newBudgetFleet(t, routers, window)
			f.rng = rand.New(rand.NewPCG(uint64(seed), uint64(routers)))
			defer f.close()
			f.traffic(loanStreams, 12*time.Second, nil)
			trouble(f)
			sum += f.crash(answers) / float64(fleets)
		})
	}
	return sum
}

func (f *budgetFleet) noTrouble() {}

// Guards against answers that are late because their router's part of the retry budget is spent while budget lies unused at
// other routers. A fifth of the backend servers crashes and interrupts 75 answers, for which the fleet has 120 retries.
func TestInterruptedAnswersUseTheBudgetOfAllRouters(t *testing.T) {
	for _, routers := range loanSizes {
		got := crashes(t, 10, routers, 10, 75, (*budgetFleet).noTrouble)
		t.Logf("%d routers: %.3f have budget within 100 ms; of 100 answers %.3f", routers, got, crashes(t, 10, routers, 10, 100, (*budgetFleet).noTrouble))
		if got < 0.99 {
			t.Errorf("%d routers: %.3f of the interrupted answers have budget within 100 ms", routers, got)
		}
	}
}

// The cause of the fault above: without a window each router has two retries, and the others wait.
func TestEvenPartsLeaveBudgetUnused(t *testing.T) {
	if got := crashes(t, 10, 66, 0, 75, (*budgetFleet).noTrouble); got > 0.95 {
		t.Errorf("%.3f have budget within 100 ms", got)
	} else {
		t.Logf("%.3f have budget within 100 ms", got)
	}
}

// Guards against interrupted answers that wait while routers are dead, cut off, older or lose replies: a fifth of the routers
// died with the servers and isn't known to be dead yet, a fifth is of the previous release, a tenth of the replies are lost.
func TestInterruptedAnswersFindLendersInTrouble(t *testing.T) {
	for _, routers := range loanSizes[1:] {
		got := crashes(t, 10, routers, 10, 25, func(f *budgetFleet) {
			f.loans.older = func(name string) bool { return f.number(name)%5 == 1 }
			f.loans.loses = f.chance(0.1)
			for i := 0; i < routers; i += 5 {
				f.kill(i)
			}
		})
		t.Logf("%d routers: %.3f have budget within 100 ms", routers, got)
		if got < 0.97 {
			t.Errorf("%d routers: %.3f of the interrupted answers have budget within 100 ms", routers, got)
		}
	}
}

const maxScarcity = 350 * 100 // routers, times requests per second, in a test of scarcity

// Guards against more retries than the fleet's budget in a window of any position, with much more demand than budget, whatever
// happens to routers, links, replies and traffic.
func TestNoWindowExceedsTheRetryBudget(t *testing.T) {
	for _, routers := range loanSizes {
		for _, perSecond := range []float64{loanStreams, 150} {
			if perSecond*float64(routers) > maxScarcity {
				continue // takes half a minute
			}
			bubble.Test(t, func(t *testing.T) { playScarcity(t, routers, perSecond) })
		}
	}
}

func playScarcity(t *testing.T, routers int, perSecond float64) {
	f := newBudgetFleet(t, routers, 10)
	defer f.close()
	for i := range f.weights { // a few routers have most of the traffic
		f.weights[i] = 1 / float64(1+i%20)
	}
	f.loans.loses = f.chance(0.1)
	f.loans.cut = func(a, b string) bool { return f.halfCut(f.number(a), f.number(b)) }
	f.traffic(perSecond, 12*time.Second, nil)
	for range 150 {
		f.interrupt(f.draw(), true, 5*time.Second, func(time.Duration, bool) {})
	}
	f.traffic(perSecond, 20*time.Second, func(at time.Duration) {
		f.interrupt(f.draw(), f.rng.IntN(2) == 0, 200*time.Millisecond, func(time.Duration, bool) {})
		if f.rng.Float64()*perSecond < 1 { // once a second
			i := f.rng.IntN(routers)
			f.kill(i)
			time.AfterFunc(2*time.Second, func() { f.boot(i) })
		}
		if f.rng.Float64()*perSecond < 0.1 { // traffic moves to other routers
			f.rng.Shuffle(routers, func(i, j int) { f.weights[i], f.weights[j] = f.weights[j], f.weights[i] })
		}
	})
	f.waiting.Wait()
	over, at := f.mostOver(f.h.RetryShare, f.h.RetryBurst)
	used, _ := f.mostOver(budgetMargin*f.h.RetryShare, budgetMargin*f.h.RetryBurst)
	t.Logf("%d routers, %.0f/s: %d requests, %d retries; at most %.0f beyond the budget, %.0f beyond the part that is used", routers, perSecond,
		len(f.requests), len(f.retries), over, used)
	if over > 0 {
		t.Errorf("%d routers, %.0f/s: %.0f retries beyond the budget in the window from %v", routers, perSecond, over, at)
	}
}

func (f *budgetFleet) number(name string) (i int) {
	fmt.Sscanf(name, "r%d", &i)
	return i
}

// halfCut reports whether a and b are on the two sides of a cut, which lasts for three of ten seconds.
func (f *budgetFleet) halfCut(a, b int) bool {
	return f.now()%(10*time.Second) < 3*time.Second && a%2 != b%2
}

// chance returns a draw with a probability, from a source of its own since calls run side by side.
func (f *budgetFleet) chance(p float64) func() bool {
	rng := rand.New(rand.NewPCG(2, 2))
	return func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return rng.Float64() < p
	}
}

// Guards against budget that is of no use because each of many routers holds a fraction of a retry: more answers are
// interrupted than the fleet has budget for.
func TestFractionsAreCollected(t *testing.T) {
	for _, routers := range loanSizes {
		const answers = 400
		got := answers * crashes(t, 1, routers, 10, answers, (*budgetFleet).noTrouble)
		t.Logf("%d routers: %.0f answers have budget within 100 ms", routers, got)
		if burst := 120.0; got < burst/2 {
			t.Errorf("%d routers: %.0f answers have budget within 100 ms, the burst is %.0f", routers, got, burst)
		}
	}
}

// Guards against calls without end to routers of the previous release, which answer them with an error.
func TestOlderRoutersAreAskedOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newBudgetFleet(t, 66, 10)
		defer f.close()
		var mu sync.Mutex
		asked := map[string]int{}
		f.loans.older = func(name string) bool {
			mu.Lock()
			defer mu.Unlock()
			asked[name]++
			return true
		}
		for range 5 { // of which the first two find budget of their own
			f.interrupt(0, true, time.Second, func(time.Duration, bool) {})
			f.waiting.Wait()
		}
		if len(asked) == 0 {
			t.Error("no router was asked")
		}
		for name, n := range asked {
			if n > 1 {
				t.Errorf("%s was asked %d times", name, n)
			}
		}
	})
}
