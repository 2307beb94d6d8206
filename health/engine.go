package health

import (
	"sync"
	"sync/atomic"
	"time"
)

// engine is the record of one backend server. Times are nanoseconds since the
// Monitor's epoch, on the monotonic clock.
type engine struct {
	id        string
	lastToken atomic.Int64 // time of the last token on any stream
	gaps      Gaps
	domain    atomic.Pointer[domain] // nil until the failure domain of the backend server is set
	// lastConfirmedAt is when the backend server last answered a query about its failure
	// domain, or 0 if it never did.
	lastConfirmedAt atomic.Int64

	mu                     sync.Mutex
	streams                []*Stream
	pauseCredit            time.Duration // pauses of this process since creditFrom, not counted as silence
	creditFrom             int64         // value of lastToken to which pauseCredit belongs; with any other value the credit is void
	state                  State
	stateSince             int64 // when the state was entered
	refusedInRow           int   // refused connections in a row
	lateInRow              int   // late answers in a row
	lateSince              int64 // time of the first late answer in the row
	backoff                time.Duration
	retryAt                int64
	probeInFlight          bool
	probeUntil             int64
	incarnation            string
	peerReportUntil        int64
	reinstatedUntil        int64 // until when the engine may get work although it is ejected; set when Usable reinstates it
	cachedThreshold        thresholdCache
	lastTokenBeforeSuspect int64 // time of the last token of the engine before a suspicion, else 0
	query                  runQuery
	usedAt                 int64 // when this router last sent work here, 0 if never
	recheck                recheckKind
	rechecking             bool // queries are under way: see startRecheck
}

// silence returns the time since the last token on any stream of the engine, less the time for
// which this process was paused.
func (e *engine) silence(now int64) time.Duration {
	last := e.lastToken.Load()
	d := time.Duration(now - last)
	if e.creditFrom == last {
		d -= e.pauseCredit
	}
	return d
}

// discountPause excludes a pause of this process from the silence of the engine and of each of its
// streams.
func (e *engine) discountPause(pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastToken.Load()
	if e.creditFrom != last {
		e.creditFrom, e.pauseCredit = last, 0
	}
	e.pauseCredit += pause
	for _, s := range e.streams {
		s.discountPause(pause)
	}
}

// eject moves the engine to Suspect or Down, and sets the backoff after which the engine may be
// probed: MinBackoff at first, doubled up to MaxBackoff by each ejection before a recovery.
func (e *engine) eject(state State, now int64, p *Policy) {
	if e.state == Healthy {
		e.stateSince = now
		e.backoff = p.MinBackoff
	} else {
		e.backoff = min(2*e.backoff, p.MaxBackoff)
	}
	if e.probeInFlight && e.isMute(now) {
		e.recheck = noRecheck
	}
	e.state = state
	e.lateInRow = 0
	e.probeInFlight = false
	e.retryAt = now + int64(e.backoff)
}

// recordLate records a late answer and reports whether the engine is to be ejected. While the
// engine is ejected, a late answer counts only if a probe is under way: otherwise each call
// that was sent before the ejection would double the backoff.
func (e *engine) recordLate(t int64, p *Policy) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != Healthy {
		if e.probeInFlight {
			e.recheck = noRecheck
		}
		return e.probeInFlight
	}
	if e.lateInRow == 0 {
		e.lateSince = t
	}
	e.lateInRow++
	return e.lateInRow >= p.LateAfter && t-e.lateSince >= int64(p.LateSpan)
}

// recover sets the engine's state to Healthy and drops the evidence against the engine.
func (e *engine) recover() {
	e.state = Healthy
	e.refusedInRow = 0
	e.lateInRow = 0
	e.probeInFlight = false
	e.peerReportUntil = 0
	e.recheck = noRecheck
}

// currentState returns the state of the engine at now. It is Probing for an ejected engine
// whose backoff has ended.
func (e *engine) currentState(now int64) State {
	if e.state == Healthy {
		return Healthy
	}
	if now < e.retryAt {
		return e.state
	}
	return Probing
}

// probeFree reports whether a probe may be sent: no probe is under way, or the result of the
// last probe has not come in time.
func (e *engine) probeFree(now int64) bool {
	return !e.probeInFlight || now >= e.probeUntil
}

// allow reports whether a request may be sent at now, and records it as the probe if it is one. The
// caller holds e.mu.
func (e *engine) allow(now int64, probeTimeout time.Duration) bool {
	if e.state == Healthy {
		return true
	}
	if now >= e.retryAt && e.probeFree(now) {
		e.probeInFlight = true
		e.probeUntil = now + int64(probeTimeout)
		return true
	}
	return now < e.reinstatedUntil
}

func (e *engine) add(s *Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usedAt = s.openedAt
	s.slot = len(e.streams)
	e.streams = append(e.streams, s)
}

func (e *engine) remove(s *Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	end := len(e.streams) - 1
	moved := e.streams[end]
	e.streams[s.slot] = moved
	moved.slot = s.slot
	e.streams[end] = nil
	e.streams = e.streams[:end]
}

// hasOpenStreams reports whether any open stream has not been cancelled yet.
func (e *engine) hasOpenStreams() bool {
	for _, s := range e.streams {
		if !s.cancelled {
			return true
		}
	}
	return false
}

// markCancelled marks streams as cancelled, so that they aren't evaluated again before their
// owners close them: each further suspicion would double the backoff.
func (e *engine) markCancelled(streams []*Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range streams {
		s.cancelled = true
	}
}

// suspectSince reports whether the engine is suspected and was ejected less than d ago. Further
// ejections before the engine recovers don't count anew.
func (e *engine) suspectSince(t int64, d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == Suspect && t-e.stateSince < int64(d)
}

// needsCheck reports whether ticks have to check e: e has open streams, or e is suspected and
// was ejected less than d ago.
func (e *engine) needsCheck(t int64, d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams) > 0 || (e.state == Suspect && t-e.stateSince < int64(d))
}

func (e *engine) reinstate(t int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reinstatedUntil = t + int64(reinstatedFor)
}
