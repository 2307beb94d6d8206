package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// moments counts the moments at which crashes happened.
func moments(crashes []partRecord) (n int) {
	last := time.Duration(-1)
	for _, c := range crashes {
		if last < 0 || c.at-last > simultaneousWindow {
			n++
			last = c.at
		}
	}
	return n
}

// isPartCulprit reports whether the recorded crashes are enough evidence against a part.
func (t *Tracker) isPartCulprit(s *partSuspect, now time.Duration, isolated bool) bool {
	crashes := t.countedPartCrashes(s, now)
	score, requests := partScore(crashes)
	if score < minCrashes || requests < minPartRequests {
		return false
	}
	if isolated {
		return moments(crashes) >= conclusiveCrashes
	}
	if t.parts.nothingAnswered(s, crashes) && moments(crashes) < minMomentsUnanswered {
		return false
	}
	return len(crashes) >= minCrashes+t.extraPartCrashes(s, now)
}

// nothingAnswered reports that a part could not be cleared, since requests without it weren't answered either: since
// the first of the crashes, if requests with the part used to be answered, and else ever.
func (p *partTable) nothingAnswered(s *partSuspect, crashes []partRecord) bool {
	if len(crashes) == 0 {
		return false
	}
	_, answered := p.lastAnswer(s)
	for _, model := range s.models {
		last, known := p.lastOfModel[model]
		if known && (!answered || last > crashes[0].at) {
			return false
		}
	}
	return true
}

// partScore counts crashes, at most maxCrashesPerRequest for one request, and the requests under which
// they happened.
func partScore(crashes []partRecord) (score, requests int) {
	used := map[Digest]int{}
	for _, c := range crashes {
		least := slices.MinFunc(c.requests, func(a, b Digest) int {
			return cmp.Or(cmp.Compare(used[a], used[b]), bytes.Compare(a[:], b[:]))
		})
		if used[least] < maxCrashesPerRequest {
			used[least]++
			score++
		}
	}
	return score, len(used)
}

// culprits returns the suspects that are to be quarantined for the crashes of s. These are s, or the part that
// explains the crashes of s best, and all parts that explain these crashes as well.
func (t *Tracker) culprits(s *partSuspect, now time.Duration, isolated bool) []*partSuspect {
	best, crashes := s, t.countedPartCrashes(s, now)
	group := []*partSuspect{s}
	for _, d := range t.parts.byCrash[crashes[0].incarnation] {
		other := t.parts.suspects[d]
		if other == s || other.holdUntil > now || !t.isPartCulprit(other, now, isolated) {
			continue
		}
		theirs := t.countedPartCrashes(other, now)
		if !subset(crashes, theirs) {
			continue
		}
		switch order := cmp.Or(t.parts.compareSuspicion(other, best), cmp.Compare(len(theirs), len(crashes))); {
		case order > 0:
			best, crashes, group = other, theirs, []*partSuspect{other}
		case order == 0:
			group = append(group, other)
		}
	}
	return group
}

// compareSuspicion returns a positive number if, of two parts that were running at the same crashes, a is
// more suspicious than b: requests with a were last answered earlier, or never.
func (p *partTable) compareSuspicion(a, b *partSuspect) int {
	atA, okA := p.lastAnswer(a)
	atB, okB := p.lastAnswer(b)
	switch {
	case okA != okB:
		if okB {
			return 1
		}
		return -1
	case !okA:
		return 0
	}
	return cmp.Compare(atB, atA)
}

func subset(some, all []partRecord) bool {
	for _, c := range some {
		if !slices.ContainsFunc(all, func(other partRecord) bool { return other.incarnation == c.incarnation }) {
			return false
		}
	}
	return true
}

// countedPartCrashes returns the crashes that count against a part. A crash at which a quarantined part or request was
// running counts only if these don't explain all crashes under s.
func (t *Tracker) countedPartCrashes(s *partSuspect, now time.Duration) []partRecord {
	_, answered := t.parts.lastAnswer(s)
	var own, shared []partRecord
	lastMoment := time.Duration(-1)
	for _, c := range s.crashes {
		if now-c.at >= crashTTL || answered && now-c.at < clearTime {
			continue
		}
		if t.commonCause(s, c, now) || t.explainedByRequest(s, c, now) {
			continue
		}
		if answered && lastMoment >= 0 && c.at-lastMoment <= simultaneousWindow && c.sentAt < lastMoment {
			continue // one cause can end several of the many backend servers at which requests with the part run
		}
		lastMoment = c.at
		switch explainer := t.parts.explainer(s, c.incarnation, now); {
		case t.heldAt(c, now) && !t.severalHeld(s, c.model, now):
			shared = append(shared, c)
		case explainer == nil:
			own = append(own, c)
		case explainer.crashesWithout(s) < minUnsharedCrashes && t.parts.compareSuspicion(explainer, s) <= 0:
			shared = append(shared, c)
		}
	}
	if len(own) < minUnsharedCrashes {
		return own
	}
	out := append(own, shared...)
	slices.SortStableFunc(out, func(a, b partRecord) int { return cmp.Compare(a.at, b.at) })
	return out
}

// explainCrashes records that a part that is quarantined now explains the crashes under it.
func (p *partTable) explainCrashes(s *partSuspect) {
	for _, c := range s.crashes {
		p.explained.add(c.incarnation, s.digest)
	}
}

// explainer returns a quarantined part other than s that was running at a crash.
func (p *partTable) explainer(s *partSuspect, incarnation string, now time.Duration) *partSuspect {
	if d, ok := p.explained.by[incarnation]; ok && d != s.digest {
		if other := p.suspects[d]; other != nil && other.holdUntil > now {
			return other
		}
	}
	for _, d := range p.byCrash[incarnation] {
		if other := p.suspects[d]; other != s && other.holdUntil > now {
			return other
		}
	}
	return nil
}

// crashesWithout counts the crashes under s at which other was not running.
func (s *partSuspect) crashesWithout(other *partSuspect) (n int) {
	for _, c := range s.crashes {
		if !other.crashedAt(c.incarnation) {
			n++
		}
	}
	return n
}

// heldAt reports whether a request with the part that is quarantined as a whole was running at a crash.
func (t *Tracker) heldAt(c partRecord, now time.Duration) bool {
	return slices.ContainsFunc(c.requests, func(d Digest) bool { return t.IsQuarantined(d, now) })
}

// severalHeld reports whether several requests for a model that are quarantined as a whole have the part in common.
func (t *Tracker) severalHeld(s *partSuspect, model string, now time.Duration) bool {
	var first Digest
	found := false
	for _, c := range s.crashes {
		for _, d := range c.requests {
			switch {
			case c.model != model || !t.IsQuarantined(d, now):
			case !found:
				first, found = d, true
			case d != first:
				return true
			}
		}
	}
	return false
}

// explainedByRequest reports whether a quarantined request without the part was running at the crash, and
// crashed other backend servers where the part was not running.
func (t *Tracker) explainedByRequest(s *partSuspect, c partRecord, now time.Duration) bool {
	for _, d := range t.suspectsByCrash[c.incarnation] {
		request := t.suspects[d]
		if request.holdUntil <= now || slices.Contains(c.requests, d) {
			continue
		}
		if request.crashesWithoutPart(s) >= minUnsharedCrashes {
			return true
		}
	}
	return false
}

// commonCause reports whether more backend servers without the part than with it exited at the moment of a
// crash, so that the part is not the likely cause.
func (t *Tracker) commonCause(s *partSuspect, c partRecord, now time.Duration) bool {
	if len(s.crashes) >= manyCrashes {
		return false
	}
	with, without := 0, 0
	for incarnation, at := range t.exits.at {
		switch {
		case (at - c.at).Abs() > simultaneousWindow, at < c.sentAt, t.sentAfter(incarnation, c.at):
		case s.crashedAt(incarnation):
			with++
		case t.parts.explainer(s, incarnation, now) == nil:
			without++
		}
	}
	return without >= massExits && without > with
}

// extraPartCrashes is extraCrashes for a part.
func (t *Tracker) extraPartCrashes(s *partSuspect, now time.Duration) int {
	if len(s.crashes) >= manyCrashes {
		return 0
	}
	n := 0
	for incarnation, at := range t.exits.at {
		if now-at < backgroundWindow && !s.crashedAt(incarnation) && t.parts.explainer(s, incarnation, now) == nil {
			n++
		}
	}
	return min(n/backgroundExits, 1)
}

// explainedExits remembers at which crashes quarantined parts were running, also those that are no longer
// listed for the part. When it is full, each new entry replaces the oldest.
type explainedExits struct {
	by    map[string]Digest // by incarnation
	order []string
	next  int // index in order of the entry to be replaced next
}

func (e *explainedExits) add(incarnation string, d Digest) {
	if _, known := e.by[incarnation]; !known {
		if len(e.order) < maxExits {
			e.order = append(e.order, incarnation)
		} else {
			delete(e.by, e.order[e.next])
			e.order[e.next] = incarnation
			e.next = (e.next + 1) % maxExits
		}
	}
	e.by[incarnation] = d
}
