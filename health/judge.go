package health

import "time"

// History is what is known of one engine at the moment of judgement.
type History struct {
	Gaps     Shares        // observed gaps, prior included
	Silence  time.Duration // since its last token on any stream, pauses taken off
	Streams  int           // streams past their first token
	Bytes    float64       // prompt and accepted text over those streams
	Rumoured bool          // a fresh rumour says that it fails
}

// Decision is the outcome of Judge.
type Decision struct {
	Suspect   bool
	Threshold time.Duration // silence from which it is suspected
}

// Judge decides whether an engine's silence is long enough to resume its
// streams elsewhere.
func Judge(h History, p *Policy) Decision {
	if h.Streams == 0 {
		return Decision{Threshold: p.MaxSilence}
	}
	t := Threshold(h, p)
	return Decision{Suspect: h.Silence >= t, Threshold: t}
}

// Threshold is the shortest silence at which resuming costs less than waiting.
//
// Waiting from silence e until t pays if the engine is alive and speaks in
// between, which saves a false resume; it costs the callers t-e if the engine
// is dead. With f the prior that a gap is a failure and S the survival
// function of healthy gaps, resuming is right at the first e such that for
// each later t:
//
//	f * latency weight * streams * (t-e)  >=  (1-f) * (S(e)-S(t)) * cost of a false resume
//
// Looking at every t, not only at the next moment, keeps an engine with two
// usual gaps (steps and preemptions) from being suspected between the two.
func Threshold(h History, p *Policy) time.Duration {
	f := p.FailuresPerHour / time.Hour.Seconds() * h.Gaps.mean()
	if h.Rumoured {
		f *= p.RumourFactor
	}
	f = min(f, 0.5)
	wait := f * p.ResumeLatencyWeight * float64(h.Streams)
	extra := p.prefill(h.Bytes)
	// A false resume also delays its callers by the prefill.
	falseResume := (1 - f) * extra * (p.ExtraWorkWeight + p.ResumeLatencyWeight)
	s := h.Gaps.survival(p.TailExponent)
	for i := range buckets - 1 {
		e := edge(i)
		if e < p.MinSilence {
			continue
		}
		if e >= p.MaxSilence {
			break
		}
		if !waitingPays(i, &s, wait, falseResume) {
			return e
		}
	}
	return p.MaxSilence
}

func waitingPays(i int, s *[buckets]float64, wait, falseResume float64) bool {
	e := edge(i)
	for j := i + 1; j < buckets; j++ {
		cost := wait * (edge(j) - e).Seconds()
		gain := falseResume * (s[i] - s[j])
		if gain > cost {
			return true
		}
	}
	return false
}
