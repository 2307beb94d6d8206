package admission

import (
	"sync"
	"time"
)

// LossHistory remembers when a run was lost with its engine, and says from it how much of an
// engine's memory is well spent on copies.
//
// The load that it answers: memory is short. A copy spares the reading of a prompt if
// its run is lost, and takes the place of a run if not. Where failure domains crash each
// few seconds, copies are worth most of the memory in a burst; in a burst without any
// crash a run is turned away for each copy.
type LossHistory struct {
	mu   sync.Mutex
	last time.Time
}

const (
	// leastCopies and mostCopies bound the part of the memory that copies may take,
	// beside runs: some are always kept for the first crash, and prompts need room.
	leastCopies = 0.4
	mostCopies  = 0.8
	// lossFresh is how long after a loss the next one is expected soon, and lossOld when
	// nothing is expected of it any more.
	lossFresh = 12 * time.Second
	lossOld   = 40 * time.Second
)

// NewLossHistory returns a Losses that expects engines to fail until it saw for a while that
// they don't: the first crash comes without a warning.
func NewLossHistory(now time.Time) *LossHistory { return &LossHistory{last: now} }

// RecordLoss takes in that a run was lost.
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
	old := min(max(float64(age-lossFresh)/float64(lossOld-lossFresh), 0), 1)
	return mostCopies - old*(mostCopies-leastCopies)
}
