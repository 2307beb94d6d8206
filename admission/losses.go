package admission

import "sync"

// Losses learns how many runs are lost with their engines, and from it how much of an
// engine's memory is well spent on copies.
//
// The load that it answers: memory is short. A copy spares the reading of a prompt if
// its run is lost, and takes the place of a run if not. Where failure domains crash each
// few seconds a fifth of the runs are lost and each copy pays; in a burst without any
// crash a run is turned away for each copy. With a fixed share of 0.6 of the memory the
// drafts of a burst of four and a half times the usual load were worth 0.04 less than
// with 0.4, and those of one with two crashes 0.04 less than with 0.8 (three seeds each).
type Losses struct {
	mu    sync.Mutex
	share float64 // of runs that go on after a loss, among all that begin
}

// NewLosses returns a Losses that expects engines to fail until it saw that they don't:
// the first crash comes without a warning.
func NewLosses() *Losses { return &Losses{share: (mostCopies - leastCopies) / copiesPerLoss} }

const (
	// lossWeight is the weight of the latest run: some thirty make most of the share.
	lossWeight = 0.03
	// leastCopies and mostCopies bound the part of the memory that copies may take,
	// beside runs: some are always kept for the first crash, and prompts need room.
	leastCopies = 0.4
	mostCopies  = 0.8
	// copiesPerLoss is how fast the part grows with the share of runs that are lost:
	// with a fifth of them copies may take all they can.
	copiesPerLoss = 2
)

// Began takes in that a run began, or went on after a loss.
func (l *Losses) Began(afterLoss bool) {
	lost := 0.0
	if afterLoss {
		lost = 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share += lossWeight * (lost - l.share)
}

// CopyShare is the part of an engine's memory up to which copies are kept there.
func (l *Losses) CopyShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(leastCopies+copiesPerLoss*l.share, mostCopies)
}
