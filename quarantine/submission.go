package quarantine

import (
	"context"
	"sync/atomic"
	"time"
)

// Submission is one submission of a request by a client; each repeat by the client is a
// further Submission. The router may send the request to several backend servers, one after
// the other. A nil *Submission belongs to a request that isn't tracked.
type Submission struct {
	guard      *Guard
	digest     Digest
	account    string
	submission uint64                       // random id that distinguishes the submissions of one request
	turns      atomic.Pointer[[]TurnUpdate] // of the attempt in progress
	attempts   atomic.Int64                 // times that AttemptBegan was called
	parts      []Digest                     // of the prompt that other requests may share
	model      string
}

// DigestString returns the digest of the request as hexadecimal text, or an empty string if the
// request isn't tracked.
func (s *Submission) DigestString() string {
	if s == nil {
		return ""
	}
	return s.digest.String()
}

// Refusal returns why the request must not be sent now, or nil if the request may be sent.
// While a decision about the request is due, or the guard has just started and doesn't know yet what is quarantined,
// Refusal waits.
func (s *Submission) Refusal(ctx context.Context) error {
	if s == nil || s.guard.informed.Load() && !s.guard.nonEmpty.Load() {
		return nil
	}
	for {
		decided, refusal := s.guard.decision(s)
		switch {
		case refusal != nil:
			s.guard.metrics.refusal(refusal).Inc()
			return refusal
		case decided == nil:
			return nil
		}
		select {
		case <-decided:
		case <-ctx.Done():
			return nil // the caller handles the end of its context
		}
	}
}

// Suspected reports whether one more crash of a backend server that runs the request may be
// enough to quarantine the request.
func (s *Submission) Suspected() bool {
	if s == nil || !s.guard.nonEmpty.Load() {
		return false
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	now := s.guard.cfg.Now()
	return s.guard.tracker.Suspected(s.digest, now) || s.guard.tracker.parts.suspected(s.parts, now)
}

// Lost examines a lost attempt in the background: it finds out whether the backend server has
// crashed, and then closes the channel examined. If the request isn't tracked, or the backend
// server is leaving the fleet, the loss isn't examined and the channel is closed at once.
func (s *Submission) Lost(l Loss) (examined <-chan struct{}) {
	done := make(chan struct{})
	if s == nil || s.guard.cfg.Leaving(l.Backend.ID) {
		s.AttemptEnded()
		close(done)
		return done
	}
	l.incarnation, l.at = s.guard.cfg.Incarnation(l.Backend), s.guard.cfg.Now()
	attempts := s.attempts.Load()
	go func() {
		defer close(done)
		s.guard.examine(s, l)
		if s.attempts.Load() == attempts { // else the turn belongs to the attempt that began since, or goes on
			s.AttemptEnded()
		}
	}()
	return done
}

// maxLossWait bounds the wait until the cause of a loss is known. A short bound suffices: the
// machine of a backend server that crashed refuses connections at once.
const maxLossWait = 250 * time.Millisecond

// AwaitExamination delays a request that may have crashed its backend servers, before it is
// sent to the next one, until it is known whether the latest backend server crashed too, at
// most for maxLossWait. Requests that aren't suspected don't wait.
func (s *Submission) AwaitExamination(ctx context.Context, examined <-chan struct{}) {
	if examined == nil || !s.Suspected() {
		return
	}
	t := time.NewTimer(maxLossWait)
	defer t.Stop()
	select {
	case <-examined:
	case <-ctx.Done():
	case <-t.C:
	}
}

// PastEarlyWindow reports whether a run has lasted long enough past its first token or chunk to
// show that the request doesn't crash its backend server.
func PastEarlyWindow(sinceFirst time.Duration) bool { return sinceFirst >= earlyWindow }

// Answered records that the request was answered completely, or that a run has lasted longer
// than earlyWindow. sinceFirst is the time since the first token or chunk of the answer.
func (s *Submission) Answered(sinceFirst time.Duration) {
	if s != nil {
		s.AttemptEnded()
		now := s.guard.cfg.Now()
		s.guard.answered(s.digest, now)
		s.guard.partsAnswered(s, now-sinceFirst)
	}
}
