package generation

import "time"

// drawBudget draws from the retry budget for one more attempt that arrives at a backend
// server. The first try to continue a started answer may use more of the budget than other
// retries, since the answer is truncated if it can't be continued. While a silent attempt is kept it may not.
func (x *run) drawBudget() bool {
	if x.firstAfterLoss && x.kept == nil {
		return x.Budget.Continue(x.service())
	}
	return x.Budget.Take(x.service())
}

// budgetRetryInterval is how long a retry waits for a loan of retry budget. If there are no loans,
// it is how often a started answer tries again to draw from the budget, which grows with the first
// try of each other request.
const budgetRetryInterval = 100 * time.Millisecond

// awaitBudget waits for retry budget that other routers lend. It returns an empty event if the
// attempt may go on. Without budget, a request that has not started is given up. A started answer
// goes on waiting, since it represents work already paid for.
//
// If attempts were not bounded by the budget, each router would try one outdated replica
// address after the other when replicas crash while the store is unreachable, and a service
// that has lost half of its replicas would receive several times as many arrivals as requests.
func (x *run) awaitBudget() string {
	begun := time.Now()
	if x.Budget.Await(x.searching(), x.service(), x.started(), min(budgetRetryInterval, x.waitLeft())) {
		return ""
	}
	if x.interrupted() {
		return "none"
	}
	x.logNoFurtherAttempt(CodeRetryBudget, x.waitErr)
	if !x.started() {
		return x.giveUp(CodeRetryBudget, x.waitErr)
	}
	x.delay = max(budgetRetryInterval-time.Since(begun), minPickDelay)
	return "none"
}
