package hosted

import (
	"testing"
	"time"

	"wigeondale/retrybudget"
)

// Guards against retry budget that routers don't lend over their links, and against a router of the previous release, or
// without the setting, that is asked for a loan again and again. The third node answers the call with an error.
func TestNodesLendRetryBudget(t *testing.T) {
	f := newFleet(t)
	f.retryWindows = map[string]int{"n1": 600, "n2": 600}
	f.configure(key)
	nodes := []*testNode{f.startNode("n1"), f.startNode("n2"), f.startNode("n3")}
	for _, n := range nodes {
		await(t, "links", func() bool { return len(n.peers.liveNodes()) == len(nodes) && n.table.Get() != nil })
		if l := n.peers.loans; l != nil {
			l.mu.Lock()
			l.cfg.Start -= l.cfg.Window // as if it had been running
			l.mu.Unlock()
		}
	}
	borrower, lender := nodes[0].peers.loans, nodes[1].peers.loans
	for borrower.draw("llm", true) {
	}
	if n := nodes[2].peers.loans; n != nil {
		t.Fatal("n3 has loans")
	}
	const drawn = 20
	for range drawn {
		if !borrower.await(t.Context(), "llm", true, 5*time.Second) {
			t.Fatal("no loan")
		}
	}
	unknown := retrybudget.LoanRequest{Service: "no such service", Count: 1}
	if reply, err := lender.lend(unknown); err != nil || reply.Granted != 0 || len(lender.byService) != 1 {
		t.Errorf("lent %v of a service that the configuration doesn't have, %v", reply, err)
	}
	lender.mu.Lock()
	defer lender.mu.Unlock()
	if lent := lender.of("llm").State(lender.now(), 3).Lent; lent < drawn {
		t.Errorf("lent %v of %d", lent, drawn)
	}
	borrower.mu.Lock()
	defer borrower.mu.Unlock()
	if got := borrower.lenders.Candidates(borrower.now(), []string{"n3"}); len(got) != 0 {
		t.Error("the node without the call may be asked again")
	}
}
