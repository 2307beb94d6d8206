package health

import (
	"math"
	"time"
)

// History is the input for the evaluation of one engine.
type History struct {
	Gaps         Shares        // observed gaps, including the prior
	Silence      time.Duration // time since the engine's last token on any stream, without pauses of this process
	Streams      int           // streams that have received their first token
	Bytes        float64       // prompt and accepted text over those streams
	PeerReported bool          // another router currently reports that the engine fails
}

// Decision is the result of evaluating a History.
type Decision struct {
	Suspect   bool
	Threshold time.Duration // silence from which the engine is suspected
}

// Evaluate decides whether an engine has been silent for long enough to resume its streams
// elsewhere.
func Evaluate(h History, p *Policy) Decision {
	if h.Streams == 0 {
		return Decision{Threshold: p.MaxSilence}
	}
	t := Threshold(h, p)
	return Decision{Suspect: h.Silence >= t, Threshold: t}
}

// Threshold returns the silence after which resuming is expected to cost least.
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
// The sum must include the wait for an engine that merely pauses: a caller waits for it just as
// for a dead one. Without that term, a pause that occurs once among thousands of gaps is far
// likelier than a failure and is always waited out, so that the threshold is the longest gap in
// the histogram, and deployments with opposite weights resume at the same silence.
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
	from := bucketBound(0).Seconds()
	for i := range buckets - 1 {
		to := bucketBound(i + 1).Seconds()
		if from > high {
			break
		}
		c.search(bucket{from, to, s[i], s[i+1]}, low, high)
		from = to
	}
	return time.Duration(c.best * float64(time.Second))
}

const (
	// maxFailureShare is the largest prior that a gap is a failure. It keeps a peer report,
	// which multiplies the prior, from making every silence count as a failure.
	maxFailureShare = 0.5
	// substeps divides a bucket, whose bounds are up to 25% apart, so that
	// small differences of the weights have an effect.
	substeps = 4
)

// bucket is a range of silences in seconds, with the survival, the probability that a healthy
// gap is longer, at both ends. Gaps are assumed to be evenly distributed within a bucket.
type bucket struct{ from, to, survivalFrom, survivalTo float64 }

// costs is the state of the search for the silence of least cost, in seconds and units of cost.
type costs struct {
	f, latency, resume float64
	waited             float64 // cost of waiting out the healthy gaps below the bucket
	best, least        float64
}

// search computes the cost of several silences of one bucket that lie between low and high, and
// records the silence of least cost in c.
func (c *costs) search(b bucket, low, high float64) {
	width, mass := b.to-b.from, b.survivalFrom-b.survivalTo
	if b.to >= low {
		for j := range substeps {
			share := float64(j) / substeps
			e := b.from + share*width
			if e >= low && e <= high {
				c.try(e, c.waitedIn(share*mass, b.from, e), b.survivalFrom-share*mass)
			}
		}
	}
	c.waited += c.waitedIn(mass, b.from, b.to)
}

// waitedIn returns the cost of waiting out the given share of the healthy gaps, whose lengths
// are evenly distributed between from and to.
func (c *costs) waitedIn(share, from, to float64) float64 {
	return c.latency * (1 - c.f) * share * (from + to) / 2
}

func (c *costs) try(e, waited, survival float64) {
	remaining := c.f + (1-c.f)*survival
	cost := c.waited + waited + remaining*(c.latency*e+c.resume)
	if cost < c.least {
		c.best, c.least = e, cost
	}
}
