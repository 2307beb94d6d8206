package hosted

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wigeondale/peer"
	"wigeondale/retrybudget"
)

// loanFleet connects the retry budgets of simulated routers. A call takes latency each way.
type loanFleet struct {
	latency time.Duration
	dial    time.Duration // in addition, before a call
	names   []string
	router  func(name string) *loans // nil if it doesn't run or isn't reached
	older   func(name string) bool   // of the previous release, which doesn't know the call
	cut     func(a, b string) bool   // reports whether the link between two routers is cut
	loses   func() bool              // draws whether a reply is lost
}

func newLoanFleet(routers int) *loanFleet {
	f := &loanFleet{latency: 1400 * time.Microsecond, older: func(string) bool { return false },
		cut: func(a, b string) bool { return false }, loses: func() bool { return false }}
	if routers > 24 { // there are links to a few routers only, so nearly each call opens a connection
		f.dial = 4 * f.latency
	}
	for i := range routers {
		f.names = append(f.names, fmt.Sprint("r", i))
	}
	return f
}

// join connects the budget of a router with the others.
func (f *loanFleet) join(name string, l *loans) {
	l.nodes = func() int { return len(f.names) }
	others := slices.DeleteFunc(slices.Clone(f.names), func(n string) bool { return n == name })
	l.others = func() []string { return others }
	l.ask = func(ctx context.Context, node string, r retrybudget.LoanRequest) (reply retrybudget.LoanReply, err error) {
		time.Sleep(f.dial + f.latency)
		to := f.router(node)
		switch {
		case f.older(node):
			return reply, &peer.RemoteError{Code: peer.CodeNoHandler}
		case to == nil, f.cut(name, node):
			<-ctx.Done()
			return reply, ctx.Err()
		}
		reply, err = to.lend(r)
		time.Sleep(f.latency)
		if f.loses() {
			<-ctx.Done()
			return reply, ctx.Err()
		}
		return reply, err
	}
}

// newBudgets returns the retry budgets of a router of f that has run for a window. All routers run, also those without a
// request so far.
func (f *silenceFleet) newBudgets(n int) *budgets {
	if f.budgets == nil {
		f.newAllBudgets()
	}
	return f.budgets[n]
}

func (f *silenceFleet) newAllBudgets() {
	fleet := newLoanFleet(f.plan.routers)
	byName := map[string]*loans{}
	fleet.router = func(name string) *loans { return byName[name] }
	for _, name := range fleet.names {
		b := newBudgets(f.hosted, func() int { return f.plan.routers })
		b.loans = newLoans(f.hosted, func() time.Duration { return time.Since(f.start) + time.Hour }, nil)
		b.loans.cfg.Start = 0
		byName[name] = b.loans
		fleet.join(name, b.loans)
		f.budgets = append(f.budgets, b)
	}
}
