package directory

import (
	"time"

	"wigeondale/fleet"
	"wigeondale/routing"
)

const (
	// defaultBatch is assumed until an engine's reports show more.
	defaultBatch = 64
	minBatch     = 4
	maxBatch     = 4096
	// shrinkFactor bounds how much one report can reduce the estimate.
	shrinkFactor = 0.75
	// growShare is the share of the estimate at which an engine without a queue shows
	// that it may run more requests; growFactor is the factor by which the estimate
	// then grows.
	growShare  = 0.85
	growFactor = 1.25
	// growPause is how long an estimate that a queue confirmed is not raised: each
	// attempt to raise it makes requests wait at the engine.
	growPause = 30 * time.Second
	// queueShare is how much urgent work is sent beyond the estimate, as a share of it:
	// a short queue at the engine fills a free slot at the engine's next step instead
	// of after this router's next poll.
	queueShare = 0.125
)

// batchSize estimates how many requests an engine runs at once.
//
// With too high a value, requests queue at the engine, where a client account's share
// and a deadline have no effect, and calls wait behind long generations that can no
// longer be refused. With too low a value, the engine idles while requests are refused.
// Engines do not report how many they run at most, but a report in which some requests
// wait shows it: it is the number that run.
type batchSize struct {
	learned     float64   // 0 until reports have shown a value
	hadQueue    bool      // the last report had requests waiting
	queueSeenAt time.Time // time of the last report with requests waiting
}

func (b *batchSize) observe(rep fleet.LoadReport, now time.Time) {
	running, before := float64(rep.Running), b.value()
	wasQueued := b.hadQueue
	b.hadQueue = rep.Waiting > 0
	switch {
	case b.hadQueue:
		b.queueSeenAt = now
		if running < before && !wasQueued {
			return // a burst, which the engine's next step may start to run
		}
		b.learned = max(running, b.learned*shrinkFactor)
	case running >= before*growShare && now.Sub(b.queueSeenAt) > growPause:
		b.learned = max(running*growFactor, before)
	}
	if b.learned > 0 {
		b.learned = min(max(b.learned, minBatch), maxBatch)
	}
}

// restart keeps the estimate for a new incarnation, which usually runs on the same VM:
// with the default, a whole failure domain that comes back would be overloaded. The
// estimate may grow at once.
func (b *batchSize) restart() { *b = batchSize{learned: b.learned} }

func (b *batchSize) value() float64 {
	if b.learned == 0 {
		return defaultBatch
	}
	return b.learned
}

// limit is how many requests an engine should have at once when the given share of its
// slots may be used. For the full share it is a little more than the slots.
func (b *batchSize) limit(share float64) float64 {
	if share >= 1 {
		return b.value()*(1+queueShare) + 1
	}
	return b.value() * share
}

// LearnedCapacity is like Capacity, but each candidate takes as many requests as its
// reports showed, or the given share of them: the rest is left for more urgent work.
func LearnedCapacity(candidates []routing.Candidate, share float64, now time.Time) int {
	return capacity(candidates, now, func(r *record) float64 { return r.requestLimit(share) })
}

func (r *record) requestLimit(share float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batch.limit(share)
}

// capacity sums the remaining free capacity of each candidate.
func capacity(candidates []routing.Candidate, now time.Time, limit func(*record) float64) int {
	var sum float64
	accepting := false
	for _, c := range candidates {
		r, ok := c.Live.(*record)
		if !ok || r.Leaving() {
			continue
		}
		accepting = true
		local := float64(r.local.requests.Load()) / milli
		peers := r.Load(now) - local
		sum += max(limit(r)-peers, 0)
	}
	if !accepting {
		return 0
	}
	return max(int(sum), 1)
}

// Slots sums the slots of all candidates, whichever router uses them now: perBackend
// for each candidate or, when that is 0, the number that its reports showed.
func Slots(candidates []routing.Candidate, perBackend float64) int {
	var sum float64
	for _, c := range candidates {
		r, ok := c.Live.(*record)
		switch {
		case !ok || r.Leaving():
		case perBackend > 0:
			sum += perBackend
		default:
			sum += r.requestLimit(1)
		}
	}
	return int(sum)
}
