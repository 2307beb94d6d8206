package health

import (
	"sync"
	"sync/atomic"
	"time"
)

// engine is the record of one backend server. Times are nanoseconds since the
// Monitor's epoch, on the monotonic clock.
type engine struct {
	id     string
	last   atomic.Int64 // last token on any stream
	gaps   Gaps
	domain atomic.Pointer[domain] // nil until it was placed
	// vouchedAt is when it last answered a question about its domain, 0 if never.
	vouchedAt atomic.Int64

	mu              sync.Mutex
	streams         []*Stream
	credit          time.Duration // paused time since creditFrom
	creditFrom      int64         // value of last that the credit belongs to
	state           State
	since           int64 // when the state was entered
	refused         int   // refused connections in a row
	late            int   // late answers since the last that came
	lateFrom        int64 // the first of those
	backoff         time.Duration
	retryAt         int64
	probing         bool
	probeUntil      int64
	incarnation     string
	rumourUntil     int64
	reinstatedUntil int64 // given back by Usable
	known           knownThreshold
	spokeAt         int64 // last token before it was suspected, 0 if it was not
	inquiry         inquiry
}

// silence is the time without any token, less what this process slept.
func (e *engine) silence(now int64) time.Duration {
	last := e.last.Load()
	d := time.Duration(now - last)
	if e.creditFrom == last {
		d -= e.credit
	}
	return d
}

// forgive takes a pause of this process off the silence of the engine and of
// each of its streams.
func (e *engine) forgive(pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.last.Load()
	if e.creditFrom != last {
		e.creditFrom, e.credit = last, 0
	}
	e.credit += pause
	for _, s := range e.streams {
		s.forgive(pause)
	}
}

// eject moves the engine to Suspect or Down and sets when it may be probed.
func (e *engine) eject(state State, now int64, p *Policy) {
	if e.state == Healthy {
		e.since = now
		e.backoff = p.MinBackoff
	} else {
		e.backoff = min(2*e.backoff, p.MaxBackoff)
	}
	e.state = state
	e.late = 0
	e.probing = false
	e.retryAt = now + int64(e.backoff)
}

// lateBy takes in a late answer and tells whether the engine is to be ejected.
// While it is ejected only its probe counts: calls sent before would each
// double the backoff.
func (e *engine) lateBy(t int64, p *Policy) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != Healthy {
		return e.probing
	}
	if e.late == 0 {
		e.lateFrom = t
	}
	e.late++
	return e.late >= p.LateAfter && t-e.lateFrom >= int64(p.LateSpan)
}

// recover returns the engine to Healthy.
func (e *engine) recover() {
	e.state = Healthy
	e.refused = 0
	e.late = 0
	e.probing = false
	e.rumourUntil = 0
}

// current is the state with the passage of time applied: an ejected engine
// whose backoff ended may be probed.
func (e *engine) current(now int64) State {
	if e.state == Healthy {
		return Healthy
	}
	if now < e.retryAt {
		return e.state
	}
	return Probing
}

// probeFree tells whether no probe is under way.
func (e *engine) probeFree(now int64) bool {
	return !e.probing || now >= e.probeUntil
}

func (e *engine) add(s *Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
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

// waitedOn tells whether any stream is open that was not cancelled yet.
func (e *engine) waitedOn() bool {
	for _, s := range e.streams {
		if !s.cancelled {
			return true
		}
	}
	return false
}

// markCancelled keeps streams from being judged again before their owners
// close them; each further verdict would double the backoff.
func (e *engine) markCancelled(streams []*Stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range streams {
		s.cancelled = true
	}
}

// suspectSince tells whether the engine was suspected less than d ago.
func (e *engine) suspectSince(t int64, d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == Suspect && t-e.since < int64(d)
}

// needsLook tells whether streams are open, or e was suspected less than d ago.
func (e *engine) needsLook(t int64, d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.streams) > 0 || (e.state == Suspect && t-e.since < int64(d))
}

func (e *engine) reinstate(t int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reinstatedUntil = t + int64(reinstatedFor)
}
