package directory

import (
	"time"

	"wigeondale/fleet"
	"wigeondale/routing"
)

const (
	// defaultBatch is assumed until an engine's reports tell more.
	defaultBatch = 64
	minBatch     = 4
	maxBatch     = 4096
	// shrinkFactor bounds how much one report can take off.
	shrinkFactor = 0.75
	// growShare is the share of what an engine is thought to take at which it
	// shows that it may take more, as nothing waits; growFactor is what it is
	// then given.
	growShare  = 0.85
	growFactor = 1.25
	// growPause is how long a figure that a queue showed is not raised: each try
	// costs requests that wait at the engine.
	growPause = 30 * time.Second
	// queueShare is what urgent work is sent on top, as a share: a short queue
	// at the engine fills a place at its next step instead of after our next
	// look.
	queueShare = 0.125
)

// batchSize learns how many requests an engine runs at once.
//
// What goes wrong without it: with too high a figure, requests queue at the
// engine, where a client account's share and a deadline count for nothing, and
// lookups meet drafts that can't be refused any more; with too low a one, the
// engine idles while callers are refused. Engines do not say how many they
// take, but a report in which some wait shows it: just those that run.
type batchSize struct {
	known  float64
	queued bool      // in the last report
	shown  time.Time // when the last report with a queue came
}

func (b *batchSize) observe(rep fleet.LoadReport, now time.Time) {
	running, before := float64(rep.Running), b.value()
	wasQueued := b.queued
	b.queued = rep.Waiting > 0
	switch {
	case b.queued:
		b.shown = now
		if running < before && !wasQueued {
			return // a burst that the engine's next step may take in
		}
		b.known = max(running, b.known*shrinkFactor)
	case running >= before*growShare && now.Sub(b.shown) > growPause:
		b.known = max(running*growFactor, before)
	}
	if b.known > 0 {
		b.known = min(max(b.known, minBatch), maxBatch)
	}
}

// restart keeps the figure for a new incarnation, which most often runs on the
// same VM: by the first guess, a whole failure domain that comes back would be
// overfilled. It may grow at once.
func (b *batchSize) restart() { *b = batchSize{known: b.known} }

func (b *batchSize) value() float64 {
	if b.known == 0 {
		return defaultBatch
	}
	return b.known
}

// take is how many requests an engine is to have at once, where only a share
// of its places is to be filled. The whole is a little more than the places.
func (b *batchSize) take(share float64) float64 {
	if share >= 1 {
		return b.value()*(1+queueShare) + 1
	}
	return b.value() * share
}

// LearnedCapacity is Capacity where each candidate takes as many requests as
// its reports showed, or the share of them that is given: what is left over is
// for more urgent work.
func LearnedCapacity(candidates []routing.Candidate, share float64, now time.Time) int {
	return capacity(candidates, now, func(r *record) float64 { return r.takes(share) })
}

func (r *record) takes(share float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batch.take(share)
}

// capacity sums what is left at each candidate of what it takes.
func capacity(candidates []routing.Candidate, now time.Time, takes func(*record) float64) int {
	var sum float64
	taking := false
	for _, c := range candidates {
		r, ok := c.Live.(*record)
		if !ok || r.Leaving() {
			continue
		}
		taking = true
		ours := float64(r.own.requests.Load()) / milli
		others := r.Load(now) - ours
		sum += max(takes(r)-others, 0)
	}
	if !taking {
		return 0
	}
	return max(int(sum), 1)
}

// Slots sums what the candidates take, whoever has it now: perBackend each,
// or what their reports showed when that is 0.
func Slots(candidates []routing.Candidate, perBackend float64) int {
	var sum float64
	for _, c := range candidates {
		r, ok := c.Live.(*record)
		switch {
		case !ok || r.Leaving():
		case perBackend > 0:
			sum += perBackend
		default:
			sum += r.takes(1)
		}
	}
	return int(sum)
}
