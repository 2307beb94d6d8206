package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/retrybudget"
	"wigeondale/settings"
)

// loans holds the retry budget of each service over the platform's window, and borrows budget from
// other routers for the retries that wait for it.
type loans struct {
	cfg    retrybudget.Config
	now    func() time.Duration
	nodes  func() int                // number of nodes that share the burst, 0 if not known
	others func() []string           // nodes that are asked for loans
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
	window := h.RetryWindow()
	if window == 0 {
		return nil
	}
	return &loans{
		cfg:       retrybudget.Config{Share: budgetMargin * h.RetryShare, Burst: budgetMargin * h.RetryBurst, Window: window, Start: now(), Rank: rand.Uint32},
		now:       now,
		others:    func() []string { return nil },
		exists:    func(string) bool { return true },
		m:         newLoanMeters(set),
		routers:   retrybudget.Routers{Window: window},
		byService: map[string]*serviceBudget{},
	}
}

// update puts changed settings in force.
func (l *loans) update(h *settings.Hosted) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.cfg.Share, l.cfg.Burst = budgetMargin*h.RetryShare, budgetMargin*h.RetryBurst
	if window := h.RetryWindow(); window != 0 && window != l.cfg.Window {
		l.cfg.Window, l.cfg.Start, l.routers.Window = window, now, window
	}
	for _, b := range l.byService {
		b.Reconfigure(l.cfg)
		l.notify(b)
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
	l.notify(b)
}

// notify lets the waiting retries try again to draw if there is budget for one. The caller holds l.mu.
func (l *loans) notify(b *serviceBudget) {
	now := l.now()
	if b.Waiting() == 0 || !b.Available(now, l.routers.Last(now)) {
		return
	}
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
	reply = l.of(r.Service).Lend(now, l.sharing(now, known), r)
	l.m.lent.Add(reply.Granted)
	return reply, nil
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
