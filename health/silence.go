package health

import (
	"time"
)

// evaluateDomains finds the domains whose members are silent together: several members decode,
// and none of these has produced a token for longer than chance explains. Where engines can't
// be queried, such a domain is suspected at once; elsewhere its members are queried first.
// inUse holds all engines with open streams.
func (m *Monitor) evaluateDomains(inUse []*engine, t int64) {
	byDomain := map[*domain][]*engine{}
	for _, e := range inUse {
		if d := e.domain.Load(); d != nil {
			byDomain[d] = append(byDomain[d], e)
		}
	}
	for d, engines := range byDomain {
		m.evaluateDomain(d, engines, t)
	}
}

func (m *Monitor) evaluateDomain(d *domain, inUse []*engine, t int64) {
	if len(inUse) < minDomainDecoding || d.size() < minDomainSize {
		return
	}
	chance, decoding := 1.0, 0
	for _, e := range inUse {
		silence, ok := e.decodingSilence(t)
		if !ok {
			continue
		}
		if silence < minDomainSilence {
			return
		}
		decoding++
		chance *= m.survival(e, silence)
	}
	if decoding < minDomainDecoding || chance > maxChance {
		return
	}
	if m.RunQuerier == nil {
		m.domainCrashed(d, t, reasonCommonSilence, "")
		return
	}
	if d.queryDue(t) {
		go m.confirmSilence(d, inUse)
	}
}

// decodingSilence returns the silence of an engine whose streams wait for their next token, and
// false when no stream does.
func (e *engine) decodingSilence(t int64) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasOpenStreams() {
		return 0, false
	}
	h := e.history(t)
	return h.Silence, h.Streams > 0
}

// silentStreams selects the streams of a member of a crashed domain that are to be cancelled:
// streams that wait for their first token, and streams that are silent for
// crashedStreamSilence.
func (e *engine) silentStreams(t int64) evaluation {
	return e.selectStreams(ErrSuspect, func(s *Stream) bool {
		return !s.blocked.Load() && (s.lastToken.Load() == 0 || s.silence(t) >= crashedStreamSilence)
	})
}

// survival returns the probability that a healthy gap between tokens of an engine is longer
// than d, estimated from the engine's recorded gaps and the prior.
func (m *Monitor) survival(e *engine, d time.Duration) float64 {
	s := e.gaps.Shares().WithPrior(m.priorShares())
	return s.survival(m.policy.TailExponent)[bucketOf(d)]
}
