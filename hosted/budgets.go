package hosted

import (
	"context"
	"sync"
	"time"

	"wigeondale/admission"
	"wigeondale/generation"
	"wigeondale/settings"
)

// admitAll admits all requests: the platform sets no limits for accounts.
type admitAll struct{}

func (admitAll) Admit(context.Context, generation.Ticket) (func(), error) { return nil, nil }

// budgets holds one retry budget for each service. The platform bounds the retries of all
// nodes together: by a share of the requests, and by a burst that is divided among the nodes.
// If the window is known in which the platform counts, loans keeps the budgets instead.
type budgets struct {
	nodes func() int
	loans *loans // nil if the window isn't known

	mu           sync.Mutex
	share, burst float64 // guarded by mu, as what follows; of all nodes
	byService    map[string]*admission.RetryBudget
}

// budgetMargin is the part of the platform's bound that is used. The rest is a reserve
// for nodes that don't know the number of nodes yet, and for uneven shares of the nodes.
const budgetMargin = 0.8

const (
	// minBurst is the least burst of a node. It lets a node retry a request even if the
	// platform's burst, divided among many nodes, would be less than one retry.
	minBurst = 2
	// continueDepth is the largest debt of a retry budget, in retries. Only retries of started
	// responses may put the budget into debt. They need the debt because the crash of a
	// failure domain interrupts several responses at one node at the same time.
	continueDepth = 6
)

func newBudgets(h *settings.Hosted, nodes func() int) *budgets {
	return &budgets{nodes: nodes, share: budgetMargin * h.RetryShare, burst: budgetMargin * h.RetryBurst, byService: map[string]*admission.RetryBudget{}}
}

// update puts changed settings in force. Whether the window is known is only read at the start.
func (b *budgets) update(h *settings.Hosted) {
	if b.loans != nil {
		b.loans.update(h)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.burst = budgetMargin*h.RetryShare, budgetMargin*h.RetryBurst
	for _, budget := range b.byService {
		budget.SetShare(b.share)
	}
}

func (b *budgets) of(service string) *admission.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := max(b.burst/float64(b.nodes()), minBurst)
	budget := b.byService[service]
	if budget == nil {
		budget = admission.NewRetryBudget(b.share, burst)
		b.byService[service] = budget
	}
	budget.Resize(burst)
	return budget
}

// First implements relay.Budgets.
func (b *budgets) First(service string) {
	if b.loans != nil {
		b.loans.first(service)
		return
	}
	b.of(service).First()
}

// Continue implements generation.RetryBudget. Without a window, the budget may go into debt.
func (b *budgets) Continue(service string) bool {
	if b.loans != nil {
		return b.loans.draw(service, true)
	}
	return b.of(service).Overdraw(continueDepth)
}

// Take implements generation.RetryBudget.
func (b *budgets) Take(service string) bool {
	if b.loans != nil {
		return b.loans.draw(service, false)
	}
	return b.of(service).Take()
}

// Await implements generation.RetryBudget. Without a window there are no loans.
func (b *budgets) Await(ctx context.Context, service string, started bool, limit time.Duration) bool {
	return b.loans != nil && b.loans.await(ctx, service, started, limit)
}
