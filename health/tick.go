package health

import (
	"time"

	"wigeondale/event"
)

// massMinimum is the number of watched engines from which silence of many at
// once is taken for our own fault.
const massMinimum = 4

// verdict is what one tick finds of one engine.
type verdict struct {
	engine  *engine
	silence time.Duration
	suspect bool
	streams []*Stream // to cancel, with the cause of each
	causes  []error
}

// verdictOn ends those streams of e, for one cause, that lost says are lost.
func (e *engine) verdictOn(cause error, lost func(*Stream) bool) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := verdict{engine: e}
	for _, s := range e.streams {
		if s.cancelled || !lost(s) {
			continue
		}
		v.streams = append(v.streams, s)
		v.causes = append(v.causes, cause)
	}
	return v
}

// Tick judges every engine with open streams. Run calls it; tests may.
func (m *Monitor) Tick(now time.Time) {
	t := m.at(now)
	if m.pausedBefore(t) {
		return
	}
	engines := m.inUse(t)
	m.judgeDomains(engines, t)
	for _, v := range m.holdMass(m.judgeAll(engines, t)) {
		m.act(v, t)
	}
}

// pausedBefore detects that this process did not run for a while. Frozen by
// the host or starved of the processor, we hear no tokens, and without this
// every engine would seem to fail at once. A token-free gap between our own
// ticks is no evidence, so it is taken off every silence.
func (m *Monitor) pausedBefore(t int64) bool {
	gap := time.Duration(t - m.lastTick.Swap(t))
	if gap <= m.policy.PauseGap {
		return false
	}
	m.pauseEnd.Store(t)
	m.pauses.Inc()
	pause := gap + min(gap, m.policy.PauseGrace)
	for _, e := range m.list() {
		e.forgive(pause)
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

// tally is the outcome of one tick over all engines.
type tally struct {
	watched int // engines with open streams, or suspected a short while ago
	recent  int // of those, suspected a short while ago
	found   []verdict
}

func (m *Monitor) judgeAll(engines []*engine, t int64) tally {
	var sum tally
	for _, e := range engines {
		v, open := m.judgeOne(e, t)
		recent := e.suspectSince(t, m.policy.MassSilence)
		if open || recent {
			sum.watched++
		}
		if recent {
			sum.recent++
		}
		if v.suspect || len(v.streams) > 0 {
			sum.found = append(sum.found, v)
		}
	}
	return sum
}

// judgeOne judges an engine and its streams; ok is false without open ones.
func (m *Monitor) judgeOne(e *engine, t int64) (v verdict, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waitedOn() {
		return v, false
	}
	h := e.history(t)
	v = verdict{engine: e, silence: h.Silence}
	h.PeerReported = t < e.rumourUntil
	d := Decision{Threshold: m.policy.MaxSilence}
	if m.policy.FixedTimeout > 0 {
		m.judgeFixed(&v, t)
		return v, true
	}
	// Below the lower bound nothing can be decided: skip the arithmetic.
	if v.silence >= m.policy.MinSilence && h.Streams > 0 {
		d.Threshold = m.threshold(e, &h, t)
		d.Suspect = v.silence >= d.Threshold && m.doubt(e, v.silence, t)
	}
	v.suspect = d.Suspect
	m.judgeStreams(&v, d, h.Streams > 0, t)
	return v, true
}

// knownThreshold is the outcome of an earlier judgement of an engine.
type knownThreshold struct {
	at       int64
	streams  int
	rumoured bool
	value    time.Duration
}

// thresholdLife is how long a threshold is used for the same streams. Engines
// with long steps are silent beyond MinSilence in most ticks, and the
// arithmetic for hundreds of them in each tick would cost a good part of a core.
const thresholdLife = int64(200 * time.Millisecond)

// threshold judges anew when the engine's circumstances changed.
func (m *Monitor) threshold(e *engine, h *History, t int64) time.Duration {
	k := &e.known
	if k.streams == h.Streams && k.rumoured == h.PeerReported && t-k.at < thresholdLife {
		return k.value
	}
	h.Gaps = e.gaps.Shares().WithPrior(m.priorShares())
	*k = knownThreshold{t, h.Streams, h.PeerReported, Evaluate(*h, &m.policy).Threshold}
	return k.value
}

// history sums over the streams that wait for a next token.
//
// A tick may fall between the two writes that record a token: the stream's
// time is set and the engine's is still from before it was idle. The engine
// would seem silent all that while, and a stream be cancelled at its first
// token. So the newest of the streams' own times counts as well.
func (e *engine) history(t int64) History {
	var h History
	newest := int64(0)
	for _, s := range e.streams {
		if s.cancelled || s.last.Load() == 0 || s.blocked.Load() {
			continue
		}
		newest = max(newest, s.last.Load())
		h.Streams++
		if s.resumable.Load() {
			h.Bytes += float64(s.work.PromptBytes) / copiedShare
			continue
		}
		h.Bytes += float64(s.work.PromptBytes) + float64(s.tokens.Load())*s.mon.policy.TokenBytes
	}
	h.Silence = min(e.silence(t), time.Duration(t-newest))
	return h
}

// copiedShare is the part, one in so many, of a prompt that a run is taken to
// read again when it goes on from a copy: what the copy lacked, and the wait.
const copiedShare = 4

// judgeStreams judges each stream; decoding tells that some stream of the
// engine waits for a next token and so shows whether it is alive.
func (m *Monitor) judgeStreams(v *verdict, d Decision, decoding bool, t int64) {
	alive := decoding && !d.Suspect
	for _, s := range v.engine.streams {
		if cause := m.judgeStream(s, d, alive, t); cause != nil {
			v.streams = append(v.streams, s)
			v.causes = append(v.causes, cause)
		}
	}
}

func (m *Monitor) judgeStream(s *Stream, d Decision, alive bool, t int64) error {
	if s.cancelled || s.blocked.Load() {
		return nil
	}
	silence := s.silence(t)
	if s.last.Load() == 0 {
		bound := m.policy.PrefillBound(s.work.PromptBytes, alive)
		if silence >= vouchedBounds*bound || (silence >= bound && m.doubt(s.engine, 0, t)) {
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
	if alive && silence >= m.policy.stallBound(d.Threshold) && m.doubt(s.engine, silence, t) {
		return ErrStalled
	}
	return nil
}

// judgeFixed is the baseline that measurements compare with: every stream has
// the same timeout of its own, and no engine is suspected.
func (m *Monitor) judgeFixed(v *verdict, t int64) {
	for _, s := range v.engine.streams {
		if s.cancelled || s.blocked.Load() {
			continue
		}
		bound, cause := m.policy.FixedTimeout, ErrStalled
		if s.last.Load() == 0 {
			bound, cause = m.policy.PrefillBound(s.work.PromptBytes, true), ErrNoFirstToken
		}
		if s.silence(t) >= bound {
			v.streams = append(v.streams, s)
			v.causes = append(v.causes, cause)
		}
	}
}

// holdMass keeps back suspicions while more than the bounded share of the
// watched engines is silent together: then our own network is the likelier
// cause, and resuming everything everywhere would only pile on load. Real
// loss of most engines is acted on after MassSilence.
//
// Engines suspected a short while ago count too: their thresholds differ, so
// that a cut network shows them one after the other.
func (m *Monitor) holdMass(sum tally) []verdict {
	suspects := 0
	for _, v := range sum.found {
		if v.suspect {
			suspects++
		}
	}
	limit := int(m.policy.MaxEjectedShare * float64(sum.watched))
	if suspects == 0 || sum.watched < massMinimum || sum.recent+suspects <= limit || oneDomain(sum.found) {
		return sum.found
	}
	m.held.Inc()
	kept := sum.found[:0]
	for _, v := range sum.found {
		if !v.suspect || v.silence >= m.policy.MassSilence {
			kept = append(kept, v)
		}
	}
	return kept
}

// oneDomain tells whether all that fell silent are of one failure domain, whose
// loss explains it without any fault of ours.
func oneDomain(found []verdict) bool {
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

// act cancels outside all locks, since a cancel function runs foreign code.
func (m *Monitor) act(v verdict, t int64) {
	if v.suspect {
		m.eject(v.engine, Suspect, t)
		m.log.Emit(event.EngineSuspect, "backend", v.engine.id, "silence_ms", v.silence.Milliseconds(), "streams", len(v.streams))
	}
	m.cancel(v)
}

func (m *Monitor) cancel(v verdict) {
	v.engine.markCancelled(v.streams)
	for i, s := range v.streams {
		m.count(v.causes[i])
		s.cancel(v.causes[i])
	}
}

func (m *Monitor) count(cause error) {
	switch cause {
	case ErrSuspect:
		m.suspects.Inc()
	case ErrStalled:
		m.stalls.Inc()
	case ErrRestarted:
		m.ended.Inc()
	default:
		m.lates.Inc()
	}
}

// priorShares is the shared prior: all engines' gaps, or a synthetic one.
func (m *Monitor) priorShares() Shares {
	s := m.prior.Shares()
	if s.Samples < priorSamples {
		return s.WithPrior(synthetic(m.policy.TypicalGap))
	}
	return s
}
