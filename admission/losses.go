package admission

import (
	"sync"
	"time"
)

// LossHistory records when a run was last lost with its engine, and derives from it how much of an
// engine's memory copies may use.
//
// It balances the use of scarce memory. A copy saves reading the prompt again if its run is lost,
// and takes the space of another run if not. When failure domains crash every few seconds, copies
// are worth most of the memory even in a burst; in a burst without any crash, each copy causes a
// run to be refused.
type LossHistory struct {
	mu   sync.Mutex
	last time.Time
}

const (
	// minCopyShare and maxCopyShare bound the part of the memory that copies may use alongside
	// runs: some copies are always kept for the first crash, and prompts need space as well.
	minCopyShare = 0.4
	maxCopyShare = 0.8
	// recentLossAge is the age up to which a loss means that the next one is expected soon, and
	// oldLossAge the age from which it has no influence.
	recentLossAge = 12 * time.Second
	oldLossAge    = 40 * time.Second
)

// NewLossHistory returns a history that expects engines to fail until it has seen no loss for a while:
// the first crash comes without a warning.
func NewLossHistory(now time.Time) *LossHistory { return &LossHistory{last: now} }

// RecordLoss records that a run was lost.
func (l *LossHistory) RecordLoss(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = now
}

// CopyShare is the part of an engine's memory up to which copies are kept there.
func (l *LossHistory) CopyShare(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := now.Sub(l.last)
	old := min(max(float64(age-recentLossAge)/float64(oldLossAge-recentLossAge), 0), 1)
	return maxCopyShare - old*(maxCopyShare-minCopyShare)
}
