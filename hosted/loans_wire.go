package hosted

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/clock"
	"wigeondale/peer"
	"wigeondale/retrybudget"
)

// join has the loans answer and send the call over the mesh.
func (l *loans) join(mesh *peer.Mesh) {
	if l == nil {
		return
	}
	peer.HandleCall(mesh, retrybudget.CallLoan, func(_ context.Context, _ string, r retrybudget.LoanRequest) (retrybudget.LoanReply, error) {
		return l.lend(r)
	})
}

// loanMeters are the metrics of loans.
type loanMeters struct {
	asked, awaited, short *metrics.Counter
	borrowed, lent        *metrics.FloatCounter
}

func newLoanMeters(set *metrics.Set) loanMeters {
	if set == nil {
		set = metrics.NewSet()
	}
	return loanMeters{
		asked:    set.NewCounter("wigeon_retry_loans_asked_total"),
		awaited:  set.NewCounter("wigeon_retry_budget_awaited_total"),
		short:    set.NewCounter("wigeon_retry_budget_short_total"),
		borrowed: set.NewFloatCounter("wigeon_retry_loans_borrowed_total"),
		lent:     set.NewFloatCounter("wigeon_retry_loans_lent_total"),
	}
}

// newLoans returns the loans of a node, or nil if the window isn't known.
func (n *node) newLoans() *loans {
	l := newLoans(n.set.Hosted, clock.SinceBoot, n.meter)
	if l == nil {
		return nil
	}
	l.log, l.nodes, l.others, l.ask = n.log, n.peers.budgetNodes, n.peers.linkedNodes, n.peers.askLoan
	l.exists = func(service string) bool { t := n.table.Get(); return t != nil && t.HasService(service) }
	return l
}

// budgetNodes returns how many nodes share the retry budgets, or 0 while none is known. A node that
// is cut off from the store goes on retrying, so the nodes of the mesh count too.
func (p *peers) budgetNodes() int {
	p.mu.Lock()
	registered, mesh := len(p.addrs), p.mesh
	p.mu.Unlock()
	if mesh == nil || registered == 0 {
		return registered
	}
	return max(registered, mesh.AliveMembers())
}

// linkedNodes returns the working nodes to which this node has a link. A call to another node would
// open a link, over which both nodes exchange what they know of all nodes, and which carries every
// flood while it lasts: in a fleet of 66 nodes whose servers crashed every three seconds, loans from
// any node tripled the number of links that were opened, and requests were late on full network links.
func (p *peers) linkedNodes() (out []string) {
	mesh := p.currentMesh()
	if mesh == nil {
		return nil
	}
	for _, m := range mesh.Members() {
		if m.Linked && m.Alive && !m.Suspect && !m.Leaving {
			out = append(out, m.ID)
		}
	}
	return out
}

func (p *peers) askLoan(ctx context.Context, node string, r retrybudget.LoanRequest) (reply retrybudget.LoanReply, err error) {
	mesh := p.currentMesh()
	if mesh == nil {
		return reply, peer.ErrNoRoute
	}
	return peer.Call[retrybudget.LoanRequest, retrybudget.LoanReply](ctx, mesh, node, retrybudget.CallLoan, r)
}
