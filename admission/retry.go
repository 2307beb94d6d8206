package admission

import "sync"

// RetryBudget limits retries and hedges to a share of first tries. When all replicas fail, each
// request would otherwise be sent again and again, and multiply the load that caused the failure.
type RetryBudget struct {
	mu    sync.Mutex
	share float64
	burst float64
	level float64
}

// NewRetryBudget returns a budget that grows by share of a retry with each first try, up to
// burst retries. It starts with burst retries.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst, level: burst}
}

// Resize changes the maximum number of retries in the budget, when the number of routers that
// share it changes. The maximum is at least one retry.
func (b *RetryBudget) Resize(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = max(burst, 1)
	b.level = min(b.level, b.burst)
}

// SetShare changes by how much the budget grows with each first try.
func (b *RetryBudget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// First records a first try, from which the budget grows.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.share, b.burst)
}

// Overdraw draws one retry even if none is left, down to a debt of depth retries. It is meant
// for work that is already paid for. A debt must be made up by first tries before other
// retries can draw.
func (b *RetryBudget) Overdraw(depth float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level-1 < -depth {
		return false
	}
	b.level--
	return true
}

// Take draws one retry; false means that the budget is spent and the request must not be retried.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
