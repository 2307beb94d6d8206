package quarantine

import (
	"slices"
	"time"
)

const (
	// turnCrashes is the number of recorded crashes from which on the attempts of a request take turns.
	turnCrashes = 3
	// turnTime bounds how long an attempt holds up the other attempts of its request. It is longer than most
	// runs take to their first token.
	turnTime = 4 * time.Second
	// After the end of an attempt its submission may go on at once. Other submissions wait for turnGap, in which
	// a report of that attempt arrives, and a part of turnSpread that differs for each.
	turnGap    = 100 * time.Millisecond
	turnSpread = 400 * time.Millisecond
)

// turn is one attempt in progress of a request under which backend servers have crashed. As long as it
// isn't known whether the request made them crash, its attempts take turns, at all routers together:
// each attempt may end one more backend server, and its result decides whether another may begin.
type turn struct {
	submission uint64
	until      time.Duration
}

// TakesTurns reports whether the attempts of a request take turns.
func (t *Tracker) TakesTurns(d Digest) bool {
	s := t.suspects[d]
	return s != nil && len(s.crashes) >= turnCrashes
}

// MayAttempt reports whether an attempt of a request may begin: no other submission has an attempt in
// progress, or attempts of the request take no turns.
func (t *Tracker) MayAttempt(d Digest, submission uint64, now time.Duration) bool {
	if !t.TakesTurns(d) {
		return true
	}
	s := t.suspects[d]
	own := s.lastTurn == submission
	for _, u := range s.turns {
		if u.submission == submission {
			own = true
		} else if u.until > now {
			return false
		}
	}
	return own || now >= s.turnEnded+turnGap+time.Duration(submission%uint64(turnSpread))
}

// AttemptBegan records that an attempt of a suspected request is in progress.
func (t *Tracker) AttemptBegan(d Digest, submission uint64, now time.Duration) {
	s := t.suspects[d]
	if s == nil {
		return
	}
	s.turns = slices.DeleteFunc(s.turns, func(u turn) bool { return u.until <= now || u.submission == submission })
	s.turns = append(s.turns, turn{submission, now + turnTime})
}

// AttemptEnded records that the attempt of a submission has ended, or has lasted long enough to show that it
// does not crash its backend server.
func (t *Tracker) AttemptEnded(d Digest, submission uint64, now time.Duration) {
	if s := t.suspects[d]; s != nil {
		s.endTurn(submission, now)
	}
}

func (s *suspect) endTurn(submission uint64, now time.Duration) {
	s.lastTurn, s.turnEnded = submission, now
	s.turns = slices.DeleteFunc(s.turns, func(u turn) bool { return u.submission == submission })
}

func (t *Tracker) applyTurn(u TurnUpdate, now time.Duration) {
	if u.Ended {
		t.AttemptEnded(u.Digest, u.Submission, now)
		t.parts.trialEnded(u.Digest, u.Submission, now)
		return
	}
	t.AttemptBegan(u.Digest, u.Submission, now)
	t.parts.trialBegan(u.Digest, u.Submission, now)
}

// MayAttempt reports whether an attempt of the request may begin now. It may not while another attempt
// of the same request is in progress and the request is suspected, or while a trial of one of its parts is.
func (s *Submission) MayAttempt() bool {
	if s == nil || !s.guard.nonEmpty.Load() {
		return true
	}
	return s.mayTakeTurn() && s.mayTry()
}

func (s *Submission) mayTakeTurn() bool {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	now := s.guard.cfg.Now()
	return s.guard.tracker.MayAttempt(s.digest, s.submission, now)
}

// mayTry reports whether the request may be sent as a trial of its parts, and claims the trial if not.
func (s *Submission) mayTry() (may bool) {
	var claims []TurnUpdate
	s.guard.withTracker(func(t *Tracker, now time.Duration) {
		var parts []Digest
		may, parts = t.mayTry(s.digest, s.parts, s.account, s.model, s.submission, now)
		for _, d := range parts {
			u := TurnUpdate{Digest: d, Submission: s.submission}
			t.applyTurn(u, now)
			claims = append(claims, u)
		}
	})
	s.addTurns(claims)
	return may
}

// AttemptBegan records that an attempt of the request begins. If the attempts of the request take turns, it
// broadcasts that.
func (s *Submission) AttemptBegan() {
	if s == nil {
		return
	}
	s.attempts.Add(1)
	if !s.guard.nonEmpty.Load() {
		return
	}
	var begun []TurnUpdate
	s.guard.withTracker(func(t *Tracker, now time.Duration) {
		if t.TakesTurns(s.digest) {
			begun = append(begun, TurnUpdate{Digest: s.digest, Submission: s.submission})
		}
		for _, part := range t.parts.trialOf(s.parts, s.account, s.model, now) {
			begun = append(begun, TurnUpdate{Digest: part.digest, Submission: s.submission})
		}
		for _, u := range begun {
			t.applyTurn(u, now)
		}
	})
	s.addTurns(begun)
}

// addTurns records turns of the attempt that is in progress or due, and broadcasts them.
func (s *Submission) addTurns(begun []TurnUpdate) {
	if len(begun) == 0 {
		return
	}
	all := slices.Clone(begun)
	if before := s.turns.Load(); before != nil {
		for _, u := range *before {
			if !slices.Contains(all, u) {
				all = append(all, u)
			}
		}
	}
	s.turns.Store(&all)
	s.guard.broadcast(Update{Turns: begun})
}

// AttemptEnded records that the attempt of the request has ended, or that it has shown that it does not
// crash its backend server. Without a turn it does nothing.
func (s *Submission) AttemptEnded() {
	if s == nil {
		return
	}
	begun := s.turns.Swap(nil)
	if begun == nil || len(*begun) == 0 {
		return
	}
	var ended []TurnUpdate
	for _, u := range *begun {
		u.Ended = true
		ended = append(ended, u)
	}
	s.guard.withTracker(func(t *Tracker, now time.Duration) {
		for _, u := range ended {
			t.applyTurn(u, now)
		}
	})
	s.guard.broadcast(Update{Turns: ended})
}
