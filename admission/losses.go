package admission

import (
	"sync"
	"time"
)

// LossHistory records when a run was last lost with its engine, and derives from that time how
// much of an engine's memory may be used for copies: the saved state of runs of other engines,
// from which those runs can continue.
//
// It balances the use of scarce memory. If the run of a copy is lost, the copy saves reading
// the prompt again; if not, the copy takes the space of another run. When failure domains
// crash every few seconds, copies are worth most of the memory even in a burst; in a burst
// without any crash, each copy causes a run to be refused.
type LossHistory struct {
	mu   sync.Mutex
	last time.Time
}

const (
	// minCopyShare and maxCopyShare bound the part of the memory that copies may use alongside
	// runs: some copies are always kept for the first crash, and prompts need space as well.
	minCopyShare = 0.4
	maxCopyShare = 0.8
	// recentLossAge is the age up to which a loss means that the next loss is expected soon.
	// oldLossAge is the age from which a loss has no influence.
	recentLossAge = 12 * time.Second
	oldLossAge    = 40 * time.Second
)

// NewLossHistory returns a history that starts as if a run had just been lost, since the first
// crash comes without a warning. If no loss follows for a while, copies get less memory.
func NewLossHistory(now time.Time) *LossHistory { return &LossHistory{last: now} }

// RecordLoss records that a run was lost, because its engine crashed or its connection broke.
// Recent losses raise the part of the memory that copies may use; see CopyShare.
func (l *LossHistory) RecordLoss(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = now
}

// CopyShare returns the part of an engine's memory up to which copies are kept there:
// maxCopyShare until recentLossAge after the latest loss, minCopyShare from oldLossAge on, and
// a linear transition in between.
func (l *LossHistory) CopyShare(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := now.Sub(l.last)
	old := min(max(float64(age-recentLossAge)/float64(oldLossAge-recentLossAge), 0), 1)
	return maxCopyShare - old*(maxCopyShare-minCopyShare)
}
