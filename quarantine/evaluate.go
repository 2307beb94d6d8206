package quarantine

import (
	"slices"
	"time"
)

// isCulprit reports whether the recorded crashes are enough evidence that the request of s
// makes backend servers crash.
func (t *Tracker) isCulprit(s *suspect, now time.Duration) bool {
	counted := t.countedCrashes(s, now)
	if s.cleared {
		return len(counted) >= minUnsharedCrashes // a bystander is rarely present at another crash
	}
	if len(counted) < minCrashes+t.extraCrashes(s, now) {
		return false
	}
	return len(counted) >= conclusiveCrashes || t.unsharedCrashes(s, counted, now) >= minUnsharedCrashes && s.crashedRepeatedly(counted)
}

// crashedRepeatedly reports whether the same submission of s was running at two of the counted
// crashes, one after the other. Crashes at which different submissions were running are weaker
// evidence: a request that many clients send at once is running at each crash, whatever the
// cause of the crash, but each time with another submission.
func (s *suspect) crashedRepeatedly(counted []string) bool {
	seen := map[uint64]bool{}
	for _, c := range s.crashes {
		if !slices.Contains(counted, c.Incarnation) {
			continue
		}
		if seen[c.Submission] {
			return true
		}
		seen[c.Submission] = true
	}
	return false
}

// extraCrashes returns how many more crashes than minCrashes are required before s is
// quarantined. While backend servers often exit for other reasons, some requests are running
// at three crashes by chance, so one more crash is required. No request is running at
// manyCrashes crashes by chance, so from that number on the result is 0.
func (t *Tracker) extraCrashes(s *suspect, now time.Duration) int {
	if len(s.crashes) >= manyCrashes {
		return 0
	}
	n := 0
	for incarnation, at := range t.exits.at {
		if now-at < backgroundWindow && !s.crashedAt(incarnation) && !t.explained(s, incarnation, now) {
			n++
		}
	}
	return min(n/backgroundExits, 1)
}

// countedCrashes returns the incarnations whose crashes count against s. Of crashes at the
// same moment only the first counts, since one cause can end several of the many backend
// servers at which a request runs. Exception: a later one of these crashes counts too if the
// request was sent to its backend server only after the first crash.
func (t *Tracker) countedCrashes(s *suspect, now time.Duration) []string {
	var out []string
	var last Crash
	for i, c := range s.crashes { // in order of time
		if now-c.At >= crashTTL || t.explained(s, c.Incarnation, now) || t.simultaneousExits(s, c, now) >= massExits {
			continue
		}
		if i > 0 && len(out) > 0 && c.At-last.At <= simultaneousWindow && c.SentAt < last.At {
			continue
		}
		out, last = append(out, c.Incarnation), c
	}
	return out
}

// explained reports whether a quarantined request other than s, or a request with a quarantined part,
// was running at the backend server when it crashed. The crash is then attributed to the quarantined
// request or part and not to s.
func (t *Tracker) explained(s *suspect, incarnation string, now time.Duration) bool {
	return t.parts.explains(incarnation, s.digest, now) || slices.ContainsFunc(t.suspectsByCrash[incarnation], func(d Digest) bool {
		return d != s.digest && t.suspects[d].holdUntil > now
	})
}

// simultaneousExits counts the backend servers that exited at the same moment as c and at
// which neither s nor a quarantined request is known to have been running. Many such exits
// clear s of the crash c. An exit before the request was sent, or of a backend server that took a
// request after c, has another cause than c. Exception: for a request with manyCrashes the result is 0. The exits
// must not clear such a request, since this router may not know all backend servers where the
// request was running.
func (t *Tracker) simultaneousExits(s *suspect, c Crash, now time.Duration) (n int) {
	if len(s.crashes) >= manyCrashes {
		return 0
	}
	for incarnation, at := range t.exits.at {
		if (at-c.At).Abs() > simultaneousWindow || at < c.SentAt || t.sentAfter(incarnation, c.At) {
			continue
		}
		if !s.crashedAt(incarnation) && !t.explained(s, incarnation, now) {
			n++
		}
	}
	return n
}

// sentAfter reports whether a request was sent to an incarnation after the given time and was running when it crashed.
func (t *Tracker) sentAfter(incarnation string, at time.Duration) bool {
	return slices.ContainsFunc(t.suspectsByCrash[incarnation], func(d Digest) bool {
		return slices.ContainsFunc(t.suspects[d].crashes, func(c Crash) bool { return c.Incarnation == incarnation && c.SentAt > at })
	})
}

// shared reports whether another suspected request, with minCrashes-1 counted crashes or more,
// was running at the backend server when the backend server crashed, so that it is unknown which
// of the two requests caused the crash.
func (t *Tracker) shared(s *suspect, incarnation string, now time.Duration) bool {
	return slices.ContainsFunc(t.suspectsByCrash[incarnation], func(d Digest) bool {
		return d != s.digest && len(t.countedCrashes(t.suspects[d], now)) >= minCrashes-1
	})
}

// unsharedCrashes counts those of the counted crashes of s at which no other suspected request
// was running.
func (t *Tracker) unsharedCrashes(s *suspect, counted []string, now time.Duration) (n int) {
	for _, incarnation := range counted {
		if !t.shared(s, incarnation, now) {
			n++
		}
	}
	return n
}

// clearBystanders ends the hold of each quarantined request that turns out to be a bystander,
// which only ran alongside s: fewer than minUnsharedCrashes of the crashes under the bystander
// happened at backend servers where s was not running. The result holds the digests of the
// bystanders.
func (t *Tracker) clearBystanders(s *suspect, now time.Duration) (cleared []Digest) {
	for _, c := range s.crashes {
		for _, d := range slices.Clone(t.suspectsByCrash[c.Incarnation]) {
			other := t.suspects[d]
			if other != s && other.mayBeCleared(now) && other.crashesWithout(s) < minUnsharedCrashes {
				other.holdStart, other.holdUntil, other.cleared = 0, 0, true
				cleared = append(cleared, d)
			}
		}
	}
	return cleared
}

// crashesWithout counts the crashes under s at which other was not running.
func (s *suspect) crashesWithout(other *suspect) (n int) {
	for _, c := range s.crashes {
		if !other.crashedAt(c.Incarnation) {
			n++
		}
	}
	return n
}
