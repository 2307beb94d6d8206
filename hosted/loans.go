package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/peer"
	"wigeondale/retrybudget"
	"wigeondale/settings"
)

const (
	// loanRound is how long a router waits for replies before it asks further routers. A call
	// takes a few milliseconds, or about ten if a connection has to be opened first.
	loanRound = 20 * time.Millisecond
	// loanTimeout ends a call for a loan. A loan of a later reply is lost.
	loanTimeout = 60 * time.Millisecond
	// shortNotice is the least time between two events that say that a service lacks budget.
	shortNotice = 10 * time.Second
)

// loans holds the retry budget of each service over the platform's window, and borrows budget from
// other routers for the retries that wait for it.
type loans struct {
	cfg    retrybudget.Config
	now    func() time.Duration
	nodes  func() int                // number of nodes that share the burst, 0 if not known
	others func() []string           // working nodes, without this one
	exists func(service string) bool // bounds the services for which others can ask
	ask    func(ctx context.Context, node string, r retrybudget.LoanRequest) (retrybudget.LoanReply, error)
	log    *event.Log
	m      loanMeters

	mu        sync.Mutex
	routers   retrybudget.Routers
	lenders   retrybudget.Lenders
	byService map[string]*serviceBudget
}

// serviceBudget is the budget of a service, with the retries that wait for it. It is guarded by
// loans.mu.
type serviceBudget struct {
	*retrybudget.Budget
	changed   chan struct{} // closed when there may be more budget
	borrowing bool
	shortAt   time.Duration // of the last event
}

func newLoans(h *settings.Hosted, now func() time.Duration, set *metrics.Set) *loans {
	if h.RetryWindowS == 0 {
		return nil
	}
	window := time.Duration(h.RetryWindowS) * time.Second
	return &loans{
		cfg:       retrybudget.Config{Share: budgetMargin * h.RetryShare, Burst: budgetMargin * h.RetryBurst, Window: window, Start: now()},
		now:       now,
		others:    func() []string { return nil },
		exists:    func(string) bool { return true },
		m:         newLoanMeters(set),
		routers:   retrybudget.Routers{Window: window},
		byService: map[string]*serviceBudget{},
	}
}

// of returns the budget of a service. The caller holds l.mu.
func (l *loans) of(service string) *serviceBudget {
	b := l.byService[service]
	if b == nil {
		b = &serviceBudget{Budget: retrybudget.New(l.cfg), changed: make(chan struct{})}
		l.byService[service] = b
	}
	return b
}

// sharing returns the number of nodes that share the burst. The caller holds l.mu.
func (l *loans) sharing(now time.Duration, known int) int { return l.routers.Update(now, known) }

func (l *loans) first(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.of(service)
	b.First(l.now())
	if b.Waiting() > 0 {
		b.notify()
	}
}

// notify lets the waiting retries try again to draw. The caller holds loans.mu.
func (b *serviceBudget) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (l *loans) draw(service string, started bool) bool {
	known := l.nodes()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drawFrom(l.of(service), known, started)
}

func (l *loans) drawFrom(b *serviceBudget, known int, started bool) bool {
	now := l.now()
	return b.Draw(now, l.sharing(now, known), started)
}

// await draws one retry as soon as there is budget, at most until the limit.
func (l *loans) await(ctx context.Context, service string, started bool, limit time.Duration) bool {
	known := l.nodes()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.of(service)
	if l.drawFrom(b, known, started) {
		return true
	}
	if limit <= 0 {
		return false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	b.Wait(started, 1)
	defer b.Wait(started, -1)
	l.borrow(service, b)
	for {
		changed := b.changed
		l.mu.Unlock()
		var ended bool
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		l.mu.Lock()
		switch {
		case ctx.Err() != nil:
			return false
		case l.drawFrom(b, known, started):
			l.m.awaited.Inc()
			return true
		case ended:
			l.short(service, b, started)
			return false
		}
	}
}

// short records that a retry found no budget in time. The caller holds l.mu.
func (l *loans) short(service string, b *serviceBudget, started bool) {
	l.m.short.Inc()
	now := l.now()
	if b.shortAt != 0 && now-b.shortAt < shortNotice {
		return
	}
	b.shortAt = now
	s := b.State(now, l.routers.Update(now, l.routers.Known()))
	l.log.Emit(event.RetryBudgetShort, "service", service, "started", started, "own", s.Own, "drawn", s.Drawn,
		"lent", s.Lent, "borrowed", s.Borrowed, "waiting", b.Waiting())
}

// borrow asks other routers for loans while retries wait. The caller holds l.mu.
func (l *loans) borrow(service string, b *serviceBudget) {
	if b.borrowing {
		return
	}
	b.borrowing = true
	go func() {
		for l.borrowRound(service, b) {
		}
	}()
}

// borrowRound asks some routers and waits for their replies, at most loanRound. It returns false if
// no retry waits any more.
func (l *loans) borrowRound(service string, b *serviceBudget) bool {
	others, known := l.others(), l.nodes()
	l.mu.Lock()
	if b.borrowing = b.Waiting() > 0; !b.borrowing {
		l.mu.Unlock()
		return false
	}
	now := l.now()
	candidates := l.lenders.Candidates(now, others)
	n, req := b.Ask(now, l.sharing(now, known), len(candidates))
	req.Service = service
	asked := retrybudget.Sample(candidates, n, rand.IntN)
	changed := b.changed
	l.mu.Unlock()
	replied := make(chan struct{}, n)
	for _, node := range asked {
		go func() {
			l.askOne(node, req, b, now)
			replied <- struct{}{}
		}()
	}
	l.awaitReplies(replied, n, changed)
	l.mu.Lock()
	defer l.mu.Unlock()
	b.notify() // budget of its own may have come back meanwhile
	return true
}

// awaitReplies waits for n replies, at most loanRound. Without an ask it waits for a change.
func (l *loans) awaitReplies(replied <-chan struct{}, n int, changed <-chan struct{}) {
	timer := time.NewTimer(loanRound)
	defer timer.Stop()
	if n == 0 {
		select {
		case <-changed:
		case <-timer.C:
		}
		return
	}
	for range n {
		select {
		case <-replied:
		case <-timer.C:
			return
		}
	}
}

// askOne asks one router for a loan and records its reply.
func (l *loans) askOne(node string, req retrybudget.LoanRequest, b *serviceBudget, sent time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), loanTimeout)
	defer stop()
	l.m.asked.Inc()
	reply, err := l.ask(ctx, node, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	answer := retrybudget.Lent
	remote, isRemote := errors.AsType[*peer.RemoteError](err)
	switch {
	case isRemote && remote.Code == peer.CodeNoHandler:
		answer = retrybudget.Unknown
	case err != nil:
		answer = retrybudget.Silent
	case !b.Granted(now, sent, req, reply):
		answer = retrybudget.Silent
	case reply.Granted < req.Count:
		answer = retrybudget.LentPart
	}
	l.lenders.Record(now, node, answer)
	if err == nil && reply.Granted > 0 {
		l.m.borrowed.Add(reply.Granted)
		b.notify()
	}
}

// lend handles another router's request for a loan.
func (l *loans) lend(r retrybudget.LoanRequest) (reply retrybudget.LoanReply, err error) {
	if err := r.Check(); err != nil {
		return reply, Error.Wrap(err)
	}
	if !l.exists(r.Service) {
		return reply, nil
	}
	known := l.nodes()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	reply.Granted = l.of(r.Service).Lend(now, l.sharing(now, known), r)
	l.m.lent.Add(reply.Granted)
	return reply, nil
}

// join has the loans answer and send the call over the mesh.
func (l *loans) join(mesh *peer.Mesh) {
	if l == nil {
		return
	}
	peer.HandleCall(mesh, retrybudget.CallLoan, func(_ context.Context, _ string, r retrybudget.LoanRequest) (retrybudget.LoanReply, error) {
		return l.lend(r)
	})
}

// state returns the part of the state dump about the retry budgets.
func (l *loans) state() any {
	if l == nil {
		return nil
	}
	known := l.nodes()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := map[string]retrybudget.State{}
	for service, b := range l.byService {
		out[service] = b.State(now, l.sharing(now, known))
	}
	return out
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
	l.log, l.nodes, l.others, l.ask = n.log, n.peers.budgetNodes, n.peers.otherNodes, n.peers.askLoan
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

// otherNodes returns the working nodes without this one.
func (p *peers) otherNodes() (out []string) {
	for _, id := range p.liveNodes() {
		if id != p.set.Node.ID {
			out = append(out, id)
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
