package health

import (
	"context"
	"sync/atomic"
	"time"
)

// priorEvery is the share of gaps, one in so many, that also goes into the
// prior shared by all engines. All of them would make its counters contended.
const priorEvery = 16

// Stream is one attempt's watch on its engine. Token and SetBlocked may run
// beside the Monitor's ticks. One goroutine calls Token and Close; Close is
// idempotent.
type Stream struct {
	mon    *Monitor
	engine *engine
	cancel context.CancelCauseFunc
	work   Work
	opened int64
	last   atomic.Int64 // last token, 0 before the first
	tokens atomic.Int64
	// blocked is set while the caller does not take tokens: then the engine
	// is not read, and its silence is ours.
	blocked atomic.Bool
	closed  atomic.Bool

	// resumable is set while a copy of the run's state is kept elsewhere: going
	// on there needs no prefill, so less silence is borne.
	resumable atomic.Bool

	slot       int // index in engine.streams, under engine.mu
	cancelled  bool
	credit     time.Duration
	creditFrom int64
}

// Token records a token that arrived at now. It does not allocate.
func (s *Stream) Token(now time.Time) {
	t := int64(now.Sub(s.mon.epoch))
	n := s.tokens.Add(1)

	prev := s.engine.last.Swap(t)
	if s.last.Swap(t) == 0 {
		s.mon.success(s.engine) // it answers, so it is healthy
		return                  // it may have been idle: this is no gap
	}
	// A gap that spans a pause of this process says nothing of the engine.
	if t-s.mon.lastTick.Load() > int64(s.mon.policy.PauseGap) {
		return
	}
	if prev < s.mon.pauseEnd.Load() {
		return
	}
	gap := time.Duration(t - prev)
	s.engine.gaps.Add(gap)
	if n%priorEvery == 0 {
		s.mon.prior.Add(gap)
	}
}

// SetBlocked tells that the caller stopped or began again to take tokens.
// Without it, a slow caller would make a healthy engine look silent.
func (s *Stream) SetBlocked(blocked bool, now time.Time) {
	if !blocked {
		t := int64(now.Sub(s.mon.epoch))
		if s.last.Load() != 0 {
			s.engine.last.Store(t)
			s.last.Store(t)
		}
	}
	s.blocked.Store(blocked)
}

// received is how many tokens of the answer came, from this attempt and earlier ones.
func (s *Stream) received() int { return s.work.Received + int(s.tokens.Load()) }

// SetCopied tells whether a copy of the run's state is kept elsewhere.
func (s *Stream) SetCopied(copied bool) { s.resumable.Store(copied) }

// Close ends the watch. Call it as soon as the last token was read.
func (s *Stream) Close() {
	if s.closed.Swap(true) {
		return
	}
	s.engine.remove(s)
	s.mon.open.Add(-1)
}

func (s *Stream) forgive(pause time.Duration) {
	from := s.last.Load()
	if s.creditFrom != from {
		s.creditFrom, s.credit = from, 0
	}
	s.credit += pause
}

// silence is the time since the last token, or since the stream was opened.
func (s *Stream) silence(now int64) time.Duration {
	last := s.last.Load()
	from := last
	if last == 0 {
		from = s.opened
	}
	d := time.Duration(now - from)
	if s.creditFrom == last {
		d -= s.credit
	}
	return d
}
