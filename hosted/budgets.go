package hosted

import (
	"context"
	"sync"

	"wigeondale/admission"
	"wigeondale/generation"
	"wigeondale/settings"
)

// openDoor admits all requests: the platform sets no limits of accounts.
type openDoor struct{}

func (openDoor) Admit(context.Context, generation.Ticket) (func(), error) { return nil, nil }

// budgets hold one retry budget for each service. The platform bounds the sum
// over all nodes: a share of the requests, and a burst that the nodes divide.
type budgets struct {
	share float64
	burst func() float64 // of one node

	mu    sync.Mutex
	known map[string]*admission.RetryBudget
}

// budgetMargin is the part of the platform's bound that is used. The rest is for
// nodes that don't know yet how many they are, and for uneven shares.
const budgetMargin = 0.8

const (
	// minBurst keeps a node of many able to try a request once more.
	minBurst = 2
	// continueDepth is how far answers that have begun may overdraw: a crash of a failure
	// domain hits several at one node.
	continueDepth = 6
)

func newBudgets(h *settings.Hosted, nodes func() int) *budgets {
	return &budgets{
		share: budgetMargin * h.RetryShare,
		burst: func() float64 { return max(budgetMargin*h.RetryBurst/float64(nodes()), minBurst) },
		known: map[string]*admission.RetryBudget{},
	}
}

func (b *budgets) of(service string) *admission.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.burst()
	one := b.known[service]
	if one == nil {
		one = admission.NewRetryBudget(b.share, burst)
		b.known[service] = one
	}
	one.Resize(burst)
	return one
}

// First implements relay.Budgets.
func (b *budgets) First(service string) { b.of(service).First() }

// Continue implements generation.RetryBudget.
func (b *budgets) Continue(service string) bool { return b.of(service).Overdraw(continueDepth) }

// Take implements generation.RetryBudget.
func (b *budgets) Take(service string) bool { return b.of(service).Take() }
