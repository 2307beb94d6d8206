package admission

import "sync"

// RetryBudget bounds retries, and hedges, to a share of first tries. When a
// whole replica set fails, every request would otherwise be sent again and
// again, and the load that broke it would grow by as many times.
type RetryBudget struct {
	mu    sync.Mutex
	share float64
	burst float64
	level float64
}

// NewRetryBudget returns a budget that earns share of a retry for each first
// try and holds at most burst, with which it starts.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst, level: burst}
}

// Resize changes what the budget holds at most, as routers come and go that
// share it. It never holds less than one retry.
func (b *RetryBudget) Resize(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = max(burst, 1)
	b.level = min(b.level, b.burst)
}

// First counts a first try.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.share, b.burst)
}

// Overdraw draws one retry also when none is left, up to depth below. It is for
// work that is already paid for; what was overdrawn is earned before others draw.
func (b *RetryBudget) Overdraw(depth float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level-1 < -depth {
		return false
	}
	b.level--
	return true
}

// Take draws one retry; false means that the budget is spent: give up.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
