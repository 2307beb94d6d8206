package retrybudget

import (
	"math"
	"time"
)

// Load: a fifth of the backend servers crash and interrupt 100 streams at 66 routers at the same
// moment. Some routers have four or five of the streams, which is more than their part of the
// budget, and others have none. At 985 routers with a burst of 120 retries, the part of a router is
// 0.12 of a retry, so that one retry has to be borrowed from nine routers or more.

const (
	// Keep is how long a borrower may keep a loan before it uses it. The lender counts the loan as
	// drawn for this time in addition to the window, so a longer time makes unused loans cost more.
	Keep = time.Second

	// startedShare is the part of a router's budget that only retries of started answers may use.
	// A request that has not started can be refused, a started answer that isn't continued is cut.
	startedShare = 0.25

	// maxAsks is how many routers are asked at a time. It covers one retry at 985 routers with a
	// burst of 120 in one round, with a reserve for routers that have lent their part already.
	maxAsks = 16

	// minPassOn is the least time that must be left of a loan that is lent on.
	minPassOn = 100 * time.Millisecond

	// minYield bounds the estimate of what a router lends, so that the number of asks is finite.
	minYield = 0.01

	// A router may send asksAtOnce asks at once and asksPerSecond in the long run. An ask and its
	// reply take about 250 bytes, so a fleet whose budget is spent sends 1 KB/s for each router.
	// With 64 asks at once, 69 of 100 answers at 985 routers had budget within 100 ms.
	asksAtOnce    = 256
	asksPerSecond = 4
)

// reserve returns the part of a budget that retries of requests that have not started must leave.
func reserve(most float64, started bool) float64 {
	if started {
		return 0
	}
	return startedShare * most
}

// lendable returns how much of the asked retries a router lends. It keeps what the retries that wait
// here need, and what it is likely to draw while the loan lasts, going by its own retries of the
// window. For requests that have not started it also keeps the reserve.
func lendable(own level, waiting int, window time.Duration, asked float64, started bool) float64 {
	need := float64(waiting) + own.drawn*Keep.Seconds()/window.Seconds()
	return max(min(asked, own.left-max(need, reserve(own.most, started))), 0)
}

// lendsHoldings reports whether a router at which retries of started answers wait lends all that it
// holds to another such router. If more retries wait than there is budget, and a part is a small
// fraction, each would hold a fraction that is of no use: of 400 answers at 985 routers, 25 had
// budget within 100 ms although there was budget for 220. So those of low rank give theirs up.
func lendsHoldings(started int, rank uint32, r LoanRequest) bool {
	return started > 0 && r.Started && r.Rank > rank
}

// plan returns how many routers are asked, and for how much each, if need retries are missing and a
// router is expected to lend yield. One router more than necessary is asked, because some are dead,
// cut off, or have nothing left. If it lends too, the surplus serves the next retry, or is lost to
// the fleet for a window; without it, 83 of 100 answers at 985 routers had budget within 100 ms, in
// place of 100, because they needed more rounds.
func plan(need, yield float64, routers, allowed int) (asks int, each float64) {
	asks = min(int(math.Ceil(need/max(yield, minYield)))+1, maxAsks, routers, allowed)
	if need <= tolerance || asks <= 0 {
		return 0, 0
	}
	return asks, min(need/float64(max(asks-1, 1)), MaxCount)
}

// nextYield returns the estimate of what a router lends after one has lent granted of asked. What a
// router that lent all would have lent beyond that is unknown, so the estimate grows step by step.
func nextYield(yield, granted, asked float64) float64 {
	if granted >= asked-tolerance {
		return max(yield, min(2*granted, MaxCount))
	}
	return max((yield+granted)/2, minYield)
}
