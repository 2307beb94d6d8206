package directory

import (
	"time"

	"wigeondale/fleet"
	"wigeondale/routing"
)

const (
	// defaultBatch is the estimated number of requests that an engine runs at once, until
	// the engine's reports have shown a value.
	defaultBatch = 64
	minBatch     = 4
	maxBatch     = 4096
	// shrinkFactor bounds how much one report can reduce the estimate: the new estimate is
	// at least shrinkFactor times the old estimate.
	shrinkFactor = 0.75
	// An engine that has no queue and runs at least growShare of the estimate may be
	// able to run more requests than estimated. The estimate then becomes growFactor
	// times the number of requests that it runs.
	growShare  = 0.85
	growFactor = 1.25
	// growPause is the time after a report with a queue during which the estimate is
	// not raised, because each attempt to raise the estimate makes requests wait at the
	// engine.
	growPause = 30 * time.Second
	// queueShare is the number of urgent requests sent beyond the estimate, as a share
	// of the estimate. They form a short queue at the engine, from which the engine
	// fills a free slot at its next step instead of after this router's next poll.
	queueShare = 0.125
)

// batchSize estimates how many requests an engine runs at once.
//
// With too high a value, requests queue at the engine, where a client account's share
// and a deadline have no effect, and calls wait behind long generations that can no
// longer be refused. With too low a value, the engine idles while requests are refused.
// Engines do not report how many requests they run at most. But in a report in which
// some requests wait, the number of running requests is that maximum.
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
			// The waiting requests may be a burst that the engine starts to run at its next
			// step. So a first report with a queue does not show that the engine can't run
			// more requests, and the estimate is not reduced.
			return
		}
		b.learned = max(running, b.learned*shrinkFactor)
	case running >= before*growShare && now.Sub(b.queueSeenAt) > growPause:
		b.learned = max(running*growFactor, before)
	}
	if b.learned > 0 {
		b.learned = min(max(b.learned, minBatch), maxBatch)
	}
}

// restart keeps the estimate for a new incarnation of the engine, because the new
// incarnation usually runs on the same VM. If each estimate returned to the default, a
// whole failure domain whose engines start again would be overloaded. restart clears the
// time of the last queue, so that the estimate may grow at once.
func (b *batchSize) restart() { *b = batchSize{learned: b.learned} }

func (b *batchSize) value() float64 {
	if b.learned == 0 {
		return defaultBatch
	}
	return b.learned
}

// limit is how many requests an engine should have at once when the given share of its
// slots may be used. For the full share the limit is a little more than the number of
// slots, see queueShare.
func (b *batchSize) limit(share float64) float64 {
	if share >= 1 {
		return b.value()*(1+queueShare) + 1
	}
	return b.value() * share
}

// LearnedCapacity is like Capacity, but with a limit for each candidate instead of
// perBackend. The limit is the given share of the number of requests that the candidate
// runs at once according to its reports. Until the reports have shown that number,
// defaultBatch is used. A share below 1 leaves the rest of the slots for more urgent work.
func LearnedCapacity(candidates []routing.Candidate, share float64, now time.Time) int {
	return capacity(candidates, now, func(r *record) float64 { return r.requestLimit(share) })
}

func (r *record) requestLimit(share float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.batch.limit(share)
}

// capacity sums the capacity of the candidates that are not leaving. The capacity of a
// candidate is its limit minus the load of other routers there, and 0 if that load is
// higher than the limit. The result is at least 1 if any candidate is not leaving, and 0
// otherwise.
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

// Slots sums the slots of all candidates that are not leaving, including the slots that
// other routers use now. Each candidate counts with perBackend slots or, if perBackend is
// 0, with the limit on requests that follows from its reports (batchSize.limit).
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
