package quarantine

import (
	"slices"
	"time"
)

// convicts tells whether the crashes under s are its own.
func (b *Tracker) convicts(s *suspect, now time.Duration) bool {
	counted := b.counted(s, now)
	if s.cleared {
		return len(counted) >= ownFrom // few bystanders are at a crash again
	}
	if len(counted) < heldFrom+b.caution(s, now) {
		return false
	}
	return len(counted) >= surelyFrom || b.own(s, counted, now) >= ownFrom && s.followed(counted)
}

// followed tells whether one try was at two of the crashes, one after the other. A request
// that many clients send at once is at each crash, whatever its cause, with another try.
func (s *suspect) followed(counted []string) bool {
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

// caution is how many crashes more it takes while backend servers end often for other
// reasons: then some requests lose three by chance. None loses that many.
func (b *Tracker) caution(s *suspect, now time.Duration) int {
	if len(s.crashes) >= manyCrashes {
		return 0
	}
	n := 0
	for lifetime, at := range b.ends.at {
		if now-at < cautionSpan && !s.has(lifetime) && !b.explained(s, lifetime, now) {
			n++
		}
	}
	return min(n/cautionEnds, 1)
}

// counted are the lifetimes whose crashes count against s. Of those that were in the same
// moment one counts, unless the request was sent there after the one before: a request that
// runs in many places loses several by one cause.
func (b *Tracker) counted(s *suspect, now time.Duration) []string {
	var out []string
	var last Crash
	for i, c := range s.crashes { // in the order of time
		if now-c.At >= evidenceLife || b.explained(s, c.Incarnation, now) || b.others(s, c, now) >= manyMore {
			continue
		}
		if i > 0 && len(out) > 0 && c.At-last.At <= sameMoment && c.SentAt < last.At {
			continue
		}
		out, last = append(out, c.Incarnation), c
	}
	return out
}

// explained tells whether another request, which is held back, was at the crash too.
func (b *Tracker) explained(s *suspect, lifetime string, now time.Duration) bool {
	return slices.ContainsFunc(b.at[lifetime], func(d Digest) bool {
		return d != s.digest && b.suspects[d].heldTo > now
	})
}

// others counts those that ended in the same moment as c, where neither s nor a request that
// is held back was seen. A request with many crashes is not excused by them: not all places
// where it was seen may be known.
func (b *Tracker) others(s *suspect, c Crash, now time.Duration) (n int) {
	if len(s.crashes) >= manyCrashes {
		return 0
	}
	for lifetime, at := range b.ends.at {
		if (at-c.At).Abs() <= sameMoment && !s.has(lifetime) && !b.explained(s, lifetime, now) {
			n++
		}
	}
	return n
}

// shared tells whether another suspected request was at the crash, so that it can't be told
// which of the two caused it.
func (b *Tracker) shared(s *suspect, lifetime string, now time.Duration) bool {
	return slices.ContainsFunc(b.at[lifetime], func(d Digest) bool {
		return d != s.digest && len(b.counted(b.suspects[d], now)) >= heldFrom-1
	})
}

// own counts the crashes among those that count against s at which no other suspected
// request was.
func (b *Tracker) own(s *suspect, counted []string, now time.Duration) (n int) {
	for _, lifetime := range counted {
		if !b.shared(s, lifetime, now) {
			n++
		}
	}
	return n
}

// clearBystanders ends the hold of requests at most of whose crashes s turns out to have been.
func (b *Tracker) clearBystanders(s *suspect, now time.Duration) (cleared []Digest) {
	for _, c := range s.crashes {
		for _, d := range slices.Clone(b.at[c.Incarnation]) {
			other := b.suspects[d]
			if other != s && other.heldTo > now && other.without(s) < ownFrom {
				other.heldSince, other.heldTo, other.cleared = 0, 0, true
				cleared = append(cleared, d)
			}
		}
	}
	return cleared
}

// without counts the crashes under s at which other was not.
func (s *suspect) without(other *suspect) (n int) {
	for _, c := range s.crashes {
		if !other.has(c.Incarnation) {
			n++
		}
	}
	return n
}
