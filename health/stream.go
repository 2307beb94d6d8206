package health

import (
	"context"
	"sync/atomic"
	"time"
)

// Of priorInterval gaps of a stream, one is also recorded in the prior that all engines share.
// If all gaps were recorded there, many goroutines would contend for the prior's counters.
const priorInterval = 16

// Stream monitors one attempt on its engine. Token and SetBlocked may run concurrently with the
// Monitor's ticks. One goroutine calls Token and Close; Close is idempotent.
type Stream struct {
	monitor   *Monitor
	engine    *engine
	cancel    context.CancelCauseFunc
	work      Work
	openedAt  int64
	lastToken atomic.Int64 // time of the last token, 0 before the first
	tokens    atomic.Int64
	// blocked is set while the caller does not take tokens: then the engine is not read, and
	// the silence is caused by this process.
	blocked atomic.Bool
	closed  atomic.Bool

	// resumable is set while a copy of the run's state is kept elsewhere: resuming there
	// needs little prefill, so less silence is accepted.
	resumable atomic.Bool

	slot        int // index in engine.streams, guarded by engine.mu
	cancelled   bool
	pauseCredit time.Duration
	creditFrom  int64
}

// Token records a token that arrived at now. It does not allocate.
func (s *Stream) Token(now time.Time) {
	t := int64(now.Sub(s.monitor.epoch))
	n := s.tokens.Add(1)

	prev := s.engine.lastToken.Swap(t)
	if s.lastToken.Swap(t) == 0 {
		s.monitor.success(s.engine) // the engine answers, so it is healthy
		return                      // the engine may have been idle before: this is no gap
	}
	// A gap that spans a pause of this process is no measure of the engine.
	if t-s.monitor.lastTick.Load() > int64(s.monitor.policy.PauseGap) {
		return
	}
	if prev < s.monitor.pauseEnd.Load() {
		return
	}
	gap := time.Duration(t - prev)
	s.engine.gaps.Add(gap)
	if n%priorInterval == 0 {
		s.monitor.prior.Add(gap)
	}
}

// SetBlocked records that the caller stopped taking tokens, or takes them again. Without this
// call, a slow caller would make a healthy engine look silent.
func (s *Stream) SetBlocked(blocked bool, now time.Time) {
	if !blocked {
		t := int64(now.Sub(s.monitor.epoch))
		if s.lastToken.Load() != 0 {
			s.engine.lastToken.Store(t)
			s.lastToken.Store(t)
		}
	}
	s.blocked.Store(blocked)
}

// received returns how many tokens of the answer arrived, from this attempt and earlier
// attempts.
func (s *Stream) received() int { return s.work.Received + int(s.tokens.Load()) }

// SetCopied sets whether a copy of the run's state is kept elsewhere. While one is, less silence
// is accepted, since the run can be resumed from the copy with little prefill.
func (s *Stream) SetCopied(copied bool) { s.resumable.Store(copied) }

// Close ends the monitoring of the attempt. The caller calls it as soon as the last token was
// read.
func (s *Stream) Close() {
	if s.closed.Swap(true) {
		return
	}
	s.engine.remove(s)
	s.monitor.open.Add(-1)
}

func (s *Stream) discountPause(pause time.Duration) {
	from := s.lastToken.Load()
	if s.creditFrom != from {
		s.creditFrom, s.pauseCredit = from, 0
	}
	s.pauseCredit += pause
}

// silence returns the time since the last token, or since the stream was opened if no token
// has arrived, less the time for which this process was paused.
func (s *Stream) silence(now int64) time.Duration {
	last := s.lastToken.Load()
	from := last
	if last == 0 {
		from = s.openedAt
	}
	d := time.Duration(now - from)
	if s.creditFrom == last {
		d -= s.pauseCredit
	}
	return d
}
