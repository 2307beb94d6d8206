package health

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// buckets is the number of buckets. They cover gaps from 1 ms to about 16 s, with four
	// buckets to each doubling of the gap.
	buckets      = 60
	perDoubling  = 4
	smallestGap  = time.Millisecond
	maxSamples   = 4096 // samples at which all counts are halved
	priorSamples = 64   // weight of the shared prior, in samples of the engine itself

	tailShare    = 1.0 / maxSamples
	tailQuantile = 0.999 // quantile at which the assumed tail of unseen gaps begins
	preemptShare = 0.02  // share of the synthetic prior: gaps of four steps, for preemptions
	pauseShare   = 0.005 // share of the synthetic prior: gaps of ten steps, for pauses
)

// Gaps is a histogram of the gaps between an engine's tokens. All counts are halved when the
// histogram holds maxSamples samples, so that it follows an engine whose load changes. Add may
// be called from several goroutines.
type Gaps struct {
	n     atomic.Uint32
	count [buckets]atomic.Uint32
}

// Add records one gap. Gaps below 1 ms lie within the burst of tokens of one decode step and
// are no measure of silence, so they are ignored.
func (g *Gaps) Add(gap time.Duration) {
	if gap < smallestGap {
		return
	}
	g.count[bucketOf(gap)].Add(1)
	if g.n.Add(1) >= maxSamples {
		g.halveCounts()
	}
}

// halveCounts halves the counts. The count of a concurrent Add may be lost, which is harmless.
func (g *Gaps) halveCounts() {
	var n uint32
	for i := range g.count {
		half := g.count[i].Load() / 2
		g.count[i].Store(half)
		n += half
	}
	g.n.Store(n)
}

// bucketOf finds the bucket by the position of the highest bit and the next two bits of the
// gap in microseconds, without logarithms: this is the hot path. The first bucket is at 1 ms.
func bucketOf(gap time.Duration) int {
	us := uint64(gap / time.Microsecond)
	top := bits.Len64(us) - 1
	quarter := (us >> (top - 2)) & (perDoubling - 1)
	i := (top-firstBucketBit)*perDoubling + int(quarter)
	return min(max(i, 0), buckets-1)
}

// firstBucketBit is the position of the highest bit of 1000, which is 1 ms in microseconds.
// The numbers with this highest bit are 512 to 1023.
const firstBucketBit = 9

// bucketBound returns the upper bound of bucket i.
func bucketBound(i int) time.Duration {
	top := firstBucketBit + i/perDoubling
	quarter := uint64(i%perDoubling) + 1
	us := uint64(1)<<top + quarter<<(top-2)
	return time.Duration(us) * time.Microsecond
}

// Shares is a distribution of gaps: the weight of each bucket, and the number of samples in all.
type Shares struct {
	Samples float64
	Count   [buckets]float64
}

// Shares returns a copy of the counts.
func (g *Gaps) Shares() Shares {
	var s Shares
	for i := range g.count {
		c := float64(g.count[i].Load())
		s.Count[i] = c
		s.Samples += c
	}
	return s
}

// WithPrior returns the distribution with a prior added. The prior is scaled to a fixed number
// of samples, so that it dominates while an engine has few samples, and weighs less and less
// as the engine's own samples arrive.
func (s Shares) WithPrior(prior Shares) Shares {
	if prior.Samples == 0 {
		return s
	}
	scale := min(1, priorSamples/prior.Samples)
	for i := range s.Count {
		s.Count[i] += prior.Count[i] * scale
	}
	s.Samples += prior.Samples * scale
	return s
}

// syntheticPrior returns the prior that is used before any gap was observed anywhere.
func syntheticPrior(typical time.Duration) Shares {
	var s Shares
	s.Samples = priorSamples
	s.Count[bucketOf(typical)] = priorSamples * (1 - preemptShare - pauseShare)
	s.Count[bucketOf(4*typical)] += priorSamples * preemptShare
	s.Count[bucketOf(10*typical)] += priorSamples * pauseShare
	return s
}

// mean returns the mean gap in seconds.
func (s *Shares) mean() float64 {
	if s.Samples == 0 {
		return 0
	}
	var sum float64
	for i, c := range s.Count {
		sum += c * bucketBound(i).Seconds()
	}
	return sum / s.Samples
}

// survival returns, for each bucket bound, the probability that a healthy gap is longer than
// the bound. A small share of gaps is assumed to be longer than all gaps seen: without this
// share, the first gap longer than all earlier gaps would count as proof of a failure. The
// share is the same for all engines, since they share their samples through the prior; an
// engine with few samples is no likelier to pause than an engine with many. Within this share,
// longer gaps become rarer by a Pareto law with the given exponent.
func (s *Shares) survival(exponent float64) [buckets]float64 {
	scale := s.quantile(tailQuantile).Seconds()
	var out [buckets]float64
	above := s.Samples
	for i := range out {
		above -= s.Count[i]
		seen := max(above, 0) / max(s.Samples, 1)
		tail := math.Pow(min(1, scale/bucketBound(i).Seconds()), exponent)
		out[i] = (1-tailShare)*seen + tailShare*tail
	}
	return out
}

// quantile returns the bucket bound below which share q of the gaps lie.
func (s *Shares) quantile(q float64) time.Duration {
	var below float64
	for i, c := range s.Count {
		below += c
		if below >= q*s.Samples {
			return bucketBound(i)
		}
	}
	return bucketBound(buckets - 1)
}
