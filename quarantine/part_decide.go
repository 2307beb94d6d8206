package quarantine

import (
	"slices"
	"time"
)

// partsRecorded is the result of partsCrashed.
type partsRecorded struct {
	added []Digest // parts against which the crash counts
	// pending is after which time confirmPart must be called, by part.
	pending map[Digest]time.Duration
}

// partsCrashed records a crash under a request against the parts of its prompt.
func (t *Tracker) partsCrashed(c PartCrash, now time.Duration) (out partsRecorded) {
	p := t.parts
	for _, d := range c.Parts {
		if at, ok := p.answers.at(d, c.Model); ok && c.At < at || now-c.At >= crashTTL {
			continue
		}
		if p.record(d, c, now) {
			out.added = append(out.added, d)
		}
	}
	if len(out.added) == 0 {
		return out
	}
	p.requests[c.Incarnation]++
	out.pending = map[Digest]time.Duration{}
	for _, d := range out.added {
		s := p.suspects[d]
		if s == nil {
			continue
		}
		if s.holdUntil > now && s.tried(c.Submission, c.SentAt) {
			s.lostTrials = append(s.lostTrials, c)
		}
		switch {
		case s.pending:
		case s.holdUntil > now:
			s.pending = true
			out.pending[d] = decisionDelay
		case len(s.crashes) >= minCrashes:
			s.pending = true
			out.pending[d] = p.decisionDelay(s, c.From == "")
		}
	}
	return out
}

// lostTrial is the evaluated crash of a trial.
type lostTrial struct {
	PartCrash
	otherCause string // what else may be the cause of the crash, empty if it counts against the part
}

// confirmHeld evaluates the crashes under a quarantined part, of trials and of runs that began before the hold, once
// the reports about them have arrived.
func (t *Tracker) confirmHeld(s *partSuspect, now time.Duration) (out partDecision) {
	wasTrial := s.provisional || len(s.tied) > 0
	extra := t.extraPartCrashes(s, now)
	conclusive := moments(t.countedPartCrashes(s, now)) >= conclusiveCrashes+extra
	allowed := t.parts.allowedTrials(s, extra)
	for _, c := range s.lostTrials {
		cause := t.otherCauseOf(s, c)
		out.lost = append(out.lost, lostTrial{c, cause})
		if cause != "" {
			continue
		}
		if s.trialCrashes++; s.trialCrashes > allowed || conclusive {
			out.clearedParts = append(out.clearedParts, t.parts.untie(s, c.Parts, now)...)
			conclusive = true
		}
	}
	s.lostTrials = nil
	if conclusive {
		s.provisional = false
	}
	if wasTrial && !s.provisional && len(s.tied) == 0 {
		out.settled = []Digest{s.digest}
	}
	return out
}

// allowedTrials returns how many lost trials are not yet evidence that a part is the cause. A backend server may exit for
// another reason during one trial. extra is 1 while such exits are frequent. If requests with the part were answered, one
// more lost trial is allowed, since the report of another run that ended the backend server may be lost.
func (p *partTable) allowedTrials(s *partSuspect, extra int) int {
	if _, answered := p.lastAnswer(s); answered {
		return extra + 1
	}
	return extra
}

// otherCauseOf returns what else than s may be the cause of the crash of a trial, or an empty string.
func (t *Tracker) otherCauseOf(s *partSuspect, c PartCrash) string {
	switch {
	case t.parts.otherCause(s, c):
		return "another-part"
	case t.crashedBefore(c):
		return "request"
	}
	return ""
}

// otherCause reports whether a part that could be the cause of the crashes under s, and that the request of the crash
// lacks, was running at the crash too.
func (p *partTable) otherCause(s *partSuspect, c PartCrash) bool {
	return slices.ContainsFunc(p.byCrash[c.Incarnation], func(d Digest) bool {
		other := p.suspects[d]
		_, answered := p.lastAnswer(other)
		return other != s && !answered && !slices.Contains(c.Parts, d) && len(other.crashes) >= minCrashes
	})
}

// crashedBefore reports whether another backend server had crashed under the request of a crash, which may be the cause as
// a whole.
func (t *Tracker) crashedBefore(c PartCrash) bool {
	s := t.suspects[c.Request]
	return s != nil && slices.ContainsFunc(s.crashes, func(one Crash) bool { return one.Incarnation != c.Incarnation && one.At <= c.At })
}

// untie ends the holds of the parts that were quarantined together with s and weren't running at a later crash
// under s, a trial: s alone explains the crashes.
func (p *partTable) untie(s *partSuspect, parts []Digest, now time.Duration) (cleared []Digest) {
	if !lacksTied(s, parts) {
		return nil
	}
	for _, d := range s.tied {
		other := p.suspects[d]
		if other == nil || other == s || !other.mayBeCleared(now) || slices.Contains(parts, d) || other.crashesWithout(s) > 0 {
			continue
		}
		other.release()
		cleared = append(cleared, d)
	}
	s.tied = nil
	return cleared
}

// decisionDelay returns the time until the evidence against a part is first evaluated. If requests with the part were
// answered before, runs that began after the crashes may clear it. The router that observed the crash decides first;
// the other routers decide if they receive no message from it.
func (p *partTable) decisionDelay(s *partSuspect, foundHere bool) time.Duration {
	var wait time.Duration
	if !foundHere {
		wait = askValid
	}
	if _, answered := p.lastAnswer(s); answered {
		wait += clearTime - decisionDelay
	}
	return wait
}

// partDecision is the result of confirmPart.
type partDecision struct {
	// held lists the parts that are quarantined now: several, if they were running at the same crashes and
	// no answer distinguishes them.
	held []Digest
	// clearedParts and clearedRequests list those whose hold ends, since a held part explains the crashes.
	clearedParts, clearedRequests []Digest
	settled                       []Digest // parts of which no trials are sent any more
	lost                          []lostTrial
	// ask lists the parts that are about to be quarantined. The caller asks the other routers for answers that
	// clear them, and calls confirmPart again.
	ask   []Digest
	again time.Duration // if set, confirmPart must be called again after this time
}

// confirmPart decides on a pending part, by the evidence known by now. A part that no router was asked
// about yet isn't quarantined. The routers are asked decisionDelay before the crashes count, so that their replies are
// there when the crashes do.
func (t *Tracker) confirmPart(d Digest, now time.Duration, isolated bool) (out partDecision) {
	s := t.parts.suspects[d]
	if s == nil || !s.pending {
		return out
	}
	s.pending = false
	if s.holdUntil > now {
		return t.confirmHeld(s, now)
	}
	if !t.isPartCulprit(s, now+decisionDelay, isolated) {
		out.again = t.parts.nextDecision(s, now+decisionDelay)
		s.pending = out.again > 0
		return out
	}
	group := t.culprits(s, now+decisionDelay, isolated)
	if out.ask = unasked(group, now); len(out.ask) > 0 {
		for _, one := range group {
			one.noteAsked(now)
		}
		s.pending, out.again = true, decisionDelay
		return out
	}
	if wait := latestAsk(group) + decisionDelay - now; wait > 0 {
		s.pending, out.again = true, wait
		return out
	}
	if !t.isPartCulprit(s, now, isolated) {
		s.pending, out.again = true, simultaneousWindow
		return out
	}
	t.holdParts(group, now, &out)
	return out
}

// holdParts quarantines parts, and ends the holds that they explain.
func (t *Tracker) holdParts(group []*partSuspect, now time.Duration, out *partDecision) {
	for _, one := range group {
		one.provisional = moments(t.countedPartCrashes(one, now)) < conclusiveCrashes && !(len(group) == 1 && t.isOnlyCandidate(one, now))
	}
	for _, one := range group {
		one.holdStart, one.holdUntil, one.pending, one.partial = now, now+HoldTime, false, false
		out.held = append(out.held, one.digest)
		t.parts.explainCrashes(one)
	}
	for _, one := range group {
		if one.tied = nil; len(group) > 1 {
			one.tied = out.held
		}
		out.clearedParts = append(out.clearedParts, t.parts.clearExplained(one, group, now)...)
		out.clearedRequests = append(out.clearedRequests, t.clearRequests(one, now)...)
	}
}

// isOnlyCandidate reports whether no other part can be the cause of the crashes under s: requests with s were never answered,
// and requests with each other part that was running at many of the crashes were. A trial has no other result than a crash.
func (t *Tracker) isOnlyCandidate(s *partSuspect, now time.Duration) bool {
	crashes := t.countedPartCrashes(s, now)
	if _, answered := t.parts.lastAnswer(s); answered || t.parts.nothingAnswered(s, crashes) {
		return false
	}
	score, _ := partScore(crashes)
	return score > minCrashes && len(t.parts.alternatives(s)) == 0
}

// nextDecision returns after which time one more of the recorded crashes of a part counts, or 0 if all do.
func (p *partTable) nextDecision(s *partSuspect, now time.Duration) time.Duration {
	if _, answered := p.lastAnswer(s); !answered || len(s.crashes) < minCrashes {
		return 0
	}
	for _, c := range s.crashes {
		if age := now - c.at; age < clearTime {
			return max(clearTime-age, simultaneousWindow)
		}
	}
	return 0
}

// clearExplained ends the holds of parts that are not the cause: the parts in group were running
// at all crashes under them.
func (p *partTable) clearExplained(s *partSuspect, group []*partSuspect, now time.Duration) (cleared []Digest) {
	for _, c := range s.crashes {
		for _, d := range p.byCrash[c.incarnation] {
			other := p.suspects[d]
			if slices.Contains(group, other) || !other.mayBeCleared(now) || other.crashesWithout(s) > 0 {
				continue
			}
			other.release()
			cleared = append(cleared, d)
		}
	}
	return cleared
}

// clearRequests ends the holds of requests without the part that were held for crashes which the part explains.
func (t *Tracker) clearRequests(s *partSuspect, now time.Duration) (cleared []Digest) {
	for _, c := range s.crashes {
		for _, d := range slices.Clone(t.suspectsByCrash[c.incarnation]) {
			request := t.suspects[d]
			if !request.mayBeCleared(now) || slices.Contains(c.requests, d) || request.crashesWithoutPart(s) >= minUnsharedCrashes {
				continue
			}
			request.holdStart, request.holdUntil, request.cleared = 0, 0, true
			cleared = append(cleared, d)
		}
	}
	return cleared
}

// clearParts ends the provisional holds of parts for which the evidence no longer suffices, since a request that is
// quarantined as a whole was running at the crashes under them.
func (t *Tracker) clearParts(request *suspect, now time.Duration) (cleared []Digest) {
	for _, c := range request.crashes {
		for _, d := range t.parts.byCrash[c.Incarnation] {
			s := t.parts.suspects[d]
			if !s.mayBeCleared(now) || !s.provisional || t.isPartCulprit(s, now, false) {
				continue
			}
			s.release()
			cleared = append(cleared, d)
		}
	}
	return cleared
}

func (s *suspect) crashesWithoutPart(part *partSuspect) (n int) {
	for _, c := range s.crashes {
		if !part.crashedAt(c.Incarnation) {
			n++
		}
	}
	return n
}

// evidenceKnown reports whether this router knows as many crashes under the part as a hold needs. With fewer, or with those of
// a case, it doesn't know on what another router has decided.
func (s *partSuspect) evidenceKnown() bool { return len(s.crashes) >= minCrashes && !s.partial }

// mayBeCleared reports whether the part is quarantined and its hold may be ended by what this router knows.
func (s *partSuspect) mayBeCleared(now time.Duration) bool {
	return s.holdUntil > now && s.evidenceKnown()
}

func (s *partSuspect) release() {
	s.holdStart, s.holdUntil, s.tied, s.trials = 0, 0, nil, nil
	s.provisional, s.trialCrashes, s.lostTrials = false, 0, nil
}
