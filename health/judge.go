package health

import (
	"math"
	"time"
)

// History is what is known of one engine at the moment of judgement.
type History struct {
	Gaps         Shares        // observed gaps, prior included
	Silence      time.Duration // since its last token on any stream, pauses taken off
	Streams      int           // streams past their first token
	Bytes        float64       // prompt and accepted text over those streams
	PeerReported bool          // a fresh rumour says that it fails
}

// Decision is the outcome of Judge.
type Decision struct {
	Suspect   bool
	Threshold time.Duration // silence from which it is suspected
}

// Evaluate decides whether an engine's silence is long enough to resume its
// streams elsewhere.
func Evaluate(h History, p *Policy) Decision {
	if h.Streams == 0 {
		return Decision{Threshold: p.MaxSilence}
	}
	t := Threshold(h, p)
	return Decision{Suspect: h.Silence >= t, Threshold: t}
}

// Threshold is the silence after which resuming is expected to cost least.
//
// For each silence e at which the streams could be resumed, the cost for one
// stream is, with f the prior that a gap is a failure, S the survival function
// of healthy gaps and p the prefill of the stream elsewhere:
//
//	C(e) =  latency weight * (healthy gaps up to e, each waited out)
//	     + (f + (1-f)*S(e)) * (latency weight * (e+p) + extra weight * n*p)
//
// The prefill of one stream takes engine time from the n streams that its new
// engine serves at once, so it counts n times; n is taken from this engine.
//
// What goes wrong if the wait for a paused engine is left out of the sum: a pause that
// comes once among thousands of gaps is far likelier than a failure, so it is waited out
// whatever the weights, and the threshold is the longest gap in memory. One would notice that
// deployments with opposite weights resume at the same silence. A caller waits
// for a paused engine just as for a dead one.
func Threshold(h History, p *Policy) time.Duration {
	f := p.FailuresPerHour / time.Hour.Seconds() * h.Gaps.mean()
	if h.PeerReported {
		f *= p.PeerReportFactor
	}
	f = min(f, maxFailureShare)
	n := float64(max(h.Streams, 1))
	prefill := p.prefill(h.Bytes / n)
	resume := prefill * (p.ResumeLatencyWeight + n*p.ExtraWorkWeight)
	s := h.Gaps.survival(p.TailExponent)
	c := costs{f: f, latency: p.ResumeLatencyWeight, resume: resume, least: math.Inf(1), best: p.MaxSilence.Seconds()}
	low, high := p.MinSilence.Seconds(), p.MaxSilence.Seconds()
	from := edge(0).Seconds()
	for i := range buckets - 1 {
		to := edge(i + 1).Seconds()
		if from > high {
			break
		}
		c.search(bucket{from, to, s[i], s[i+1]}, low, high)
		from = to
	}
	return time.Duration(c.best * float64(time.Second))
}

const (
	// maxFailureShare keeps a rumour from making any silence a failure.
	maxFailureShare = 0.5
	// substeps divides a bucket, whose edges are up to 25% apart, so that
	// small differences of the weights show.
	substeps = 4
)

// bucket is a range of silences in seconds, with the survival at its ends.
// Gaps are taken as even within it.
type bucket struct{ from, to, survivalFrom, survivalTo float64 }

// costs is the state of the search over silences, in seconds and cost.
type costs struct {
	f, latency, resume float64
	waited             float64 // cost of the healthy gaps below the bucket
	best, least        float64
}

// search tries the silences of one bucket that lie within the bounds.
func (c *costs) search(b bucket, low, high float64) {
	width, gone := b.to-b.from, b.survivalFrom-b.survivalTo
	if b.to >= low {
		for j := range substeps {
			share := float64(j) / substeps
			e := b.from + share*width
			if e >= low && e <= high {
				c.try(e, c.waitedIn(share*gone, b.from, e), b.survivalFrom-share*gone)
			}
		}
	}
	c.waited += c.waitedIn(gone, b.from, b.to)
}

// waitedIn is the cost of waiting out a share of the gaps.
func (c *costs) waitedIn(share, from, to float64) float64 {
	return c.latency * (1 - c.f) * share * (from + to) / 2
}

func (c *costs) try(e, waited, survival float64) {
	left := c.f + (1-c.f)*survival
	cost := c.waited + waited + left*(c.latency*e+c.resume)
	if cost < c.least {
		c.best, c.least = e, cost
	}
}
