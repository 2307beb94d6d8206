package health

import (
	"time"

	"wigeondale/event"
)

// minMassEngines is how many engines must be in use before the silence of many engines at once
// is attributed to this process or its network.
const minMassEngines = 4

// evaluation is the result of evaluating one engine.
type evaluation struct {
	engine  *engine
	silence time.Duration
	suspect bool
	streams []*Stream // to cancel; causes holds the cause of each
	causes  []error
}

// selectStreams selects the open streams of e for which lost returns true, to be cancelled with
// cause.
func (e *engine) selectStreams(cause error, lost func(*Stream) bool) evaluation {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := evaluation{engine: e}
	for _, s := range e.streams {
		if s.cancelled || !lost(s) {
			continue
		}
		v.streams = append(v.streams, s)
		v.causes = append(v.causes, cause)
	}
	return v
}

// openStreams selects all open streams of e, those that were reported silent too.
func (e *engine) openStreams(cause error) evaluation {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := evaluation{engine: e}
	for _, s := range e.streams {
		v.streams = append(v.streams, s)
		v.causes = append(v.causes, cause)
	}
	return v
}

// Tick evaluates every engine with open streams. Run calls it regularly; tests may call it
// directly.
func (m *Monitor) Tick(now time.Time) {
	t := m.sinceEpoch(now)
	if m.pausedBefore(t) {
		return
	}
	engines := m.inUse(t)
	m.evaluateDomains(engines, t)
	for _, v := range m.limitMassSuspicion(m.evaluateAll(engines, t)) {
		m.applyEvaluation(v, t)
	}
}

// pausedBefore reports whether this process did not run for a while before t, because it was
// frozen by the host or got no processor time. The process receives no tokens then, and
// without this check every engine would seem to fail at once. The time between two ticks more
// than PauseGap apart is no evidence against an engine, so that time is excluded from every
// silence.
func (m *Monitor) pausedBefore(t int64) bool {
	gap := time.Duration(t - m.lastTick.Swap(t))
	if gap <= m.policy.PauseGap {
		return false
	}
	m.pauseEnd.Store(t)
	m.pauses.Inc()
	pause := gap + min(gap, m.policy.PauseGrace)
	for _, e := range m.list() {
		e.discountPause(pause)
	}
	return true
}

func (m *Monitor) list() []*engine {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]*engine, 0, len(m.engines))
	for _, e := range m.engines {
		out = append(out, e)
	}
	return out
}

// tickResult is the result of evaluating all engines in one tick.
type tickResult struct {
	watched     int // engines with open streams, or suspected recently
	recent      int // engines among the watched that were suspected recently
	evaluations []evaluation
}

func (m *Monitor) evaluateAll(engines []*engine, t int64) tickResult {
	var sum tickResult
	for _, e := range engines {
		v, open := m.evaluateEngine(e, t)
		recent := e.suspectSince(t, m.policy.MassSilence)
		if open || recent {
			sum.watched++
		}
		if recent {
			sum.recent++
		}
		if v.suspect || len(v.streams) > 0 {
			sum.evaluations = append(sum.evaluations, v)
		}
	}
	return sum
}

// evaluateEngine evaluates an engine and its streams; ok is false if the engine has no open
// stream.
func (m *Monitor) evaluateEngine(e *engine, t int64) (v evaluation, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.hasOpenStreams() {
		return v, false
	}
	h := e.history(t)
	v = evaluation{engine: e, silence: h.Silence}
	h.PeerReported = t < e.peerReportUntil
	d := Decision{Threshold: m.policy.MaxSilence}
	if m.policy.FixedTimeout > 0 {
		m.evaluateFixedTimeout(&v, t)
		return v, true
	}
	// Below the lower bound no suspicion is possible: skip the arithmetic.
	if v.silence >= m.policy.MinSilence && h.Streams > 0 {
		d.Threshold = m.threshold(e, &h, t)
		d.Suspect = v.silence >= d.Threshold && m.silenceConfirmed(e, v.silence, t)
	}
	v.suspect = d.Suspect
	m.evaluateStreams(&v, d, h.Streams > 0, t)
	return v, true
}

// copiedShare sets the assumed cost of a run that is resumed from a copy of its state: reading
// 1/copiedShare of the run's prompt. This accounts for what the copy lacks and for the wait.
const copiedShare = 4

// evaluateStreams evaluates each stream of an engine; decoding is true if some stream of the
// engine waits for its next token, so that the tokens of this stream show whether the engine
// is alive.
func (m *Monitor) evaluateStreams(v *evaluation, d Decision, decoding bool, t int64) {
	alive := decoding && !d.Suspect
	for _, s := range v.engine.streams {
		if cause := m.evaluateStream(s, d, alive, t); cause != nil {
			v.streams = append(v.streams, s)
			v.causes = append(v.causes, cause)
		}
	}
}

func (m *Monitor) evaluateStream(s *Stream, d Decision, alive bool, t int64) error {
	if s.cancelled || s.blocked.Load() {
		return nil
	}
	silence := s.silence(t)
	if s.lastToken.Load() == 0 {
		bound := m.policy.PrefillBound(s.work.PromptBytes, alive)
		if silence >= confirmedPrefillBounds*bound || (silence >= bound && m.silenceConfirmed(s.engine, 0, t)) {
			return ErrNoFirstToken
		}
		if d.Suspect {
			return ErrSuspect
		}
		return nil
	}
	if d.Suspect {
		return ErrSuspect
	}
	if alive && silence >= m.policy.stallBound(d.Threshold) && m.silenceConfirmed(s.engine, silence, t) {
		return ErrStalled
	}
	return nil
}

// evaluateFixedTimeout applies the fixed timeout, the baseline that measurements compare with:
// each stream is cancelled by its own silence, after the same timeout, and no engine is suspected.
func (m *Monitor) evaluateFixedTimeout(v *evaluation, t int64) {
	for _, s := range v.engine.streams {
		if s.cancelled || s.blocked.Load() {
			continue
		}
		bound, cause := m.policy.FixedTimeout, ErrStalled
		if s.lastToken.Load() == 0 {
			bound, cause = m.policy.PrefillBound(s.work.PromptBytes, true), ErrNoFirstToken
		}
		if s.silence(t) >= bound {
			v.streams = append(v.streams, s)
			v.causes = append(v.causes, cause)
		}
	}
}

// limitMassSuspicion drops suspicions while more than MaxEjectedShare of the engines in use is
// silent together: then this process's own network is the likelier cause, and resuming all
// streams elsewhere would only add load. A real loss of most engines is acted on after
// MassSilence.
//
// Engines suspected recently count as silent too: the thresholds of engines differ, so that
// after a network failure they exceed their thresholds one after the other.
func (m *Monitor) limitMassSuspicion(sum tickResult) []evaluation {
	suspects := 0
	for _, v := range sum.evaluations {
		if v.suspect {
			suspects++
		}
	}
	limit := int(m.policy.MaxEjectedShare * float64(sum.watched))
	if suspects == 0 || sum.watched < minMassEngines || sum.recent+suspects <= limit || oneDomain(sum.evaluations) {
		return sum.evaluations
	}
	m.massHolds.Inc()
	kept := sum.evaluations[:0]
	for _, v := range sum.evaluations {
		if !v.suspect || v.silence >= m.policy.MassSilence {
			kept = append(kept, v)
		}
	}
	return kept
}

// oneDomain reports whether all silent engines are of one failure domain, whose loss explains the
// silence without a fault of this process or its network.
func oneDomain(found []evaluation) bool {
	var one *domain
	for _, v := range found {
		if !v.suspect {
			continue
		}
		d := v.engine.domain.Load()
		if d == nil || (one != nil && d != one) {
			return false
		}
		one = d
	}
	return one != nil
}

// applyEvaluation ejects the engine if the engine is suspect, and cancels the selected streams.
// No lock is held while the cancel functions run, since they are code of the caller.
func (m *Monitor) applyEvaluation(v evaluation, t int64) {
	if v.suspect {
		m.eject(v.engine, Suspect, t)
		m.log.Emit(event.EngineSuspect, "backend", v.engine.id, "silence_ms", v.silence.Milliseconds(), "streams", len(v.streams))
	}
	m.cancel(v)
}

func (m *Monitor) cancel(v evaluation) {
	v.engine.markCancelled(v.streams)
	for i, s := range v.streams {
		m.countCancel(v.causes[i])
		s.cancel(v.causes[i])
	}
}

func (m *Monitor) countCancel(cause error) {
	switch cause {
	case ErrSuspect:
		m.suspects.Inc()
	case ErrStalled, ErrNoRun:
		m.stalls.Inc()
	case ErrRestarted:
		m.restarts.Inc()
	default:
		m.noFirstTokens.Inc()
	}
}

// priorShares returns the prior that all engines share: a sample of the gaps of all engines
// (see priorInterval). While the sample has fewer than priorSamples gaps, a synthetic prior is
// added.
func (m *Monitor) priorShares() Shares {
	s := m.prior.Shares()
	if s.Samples < priorSamples {
		return s.WithPrior(syntheticPrior(m.policy.TypicalGap))
	}
	return s
}
