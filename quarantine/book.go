package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// heldFrom is how many backend servers must have crashed under a request before it is
	// held back.
	heldFrom = 3
	// ownFrom is at how many of them no other suspected request was, unless they are
	// surelyFrom or more.
	ownFrom    = 2
	surelyFrom = 5
	// opening is how long after its first piece a run may still be what ended its backend
	// server. Those that live longer are taken for bystanders.
	opening = time.Second
	// cautionEnds others that ended within cautionSpan make it take one crash more.
	cautionEnds = 5
	cautionSpan = 10 * time.Second
	// evidenceLife is how long a crash counts.
	evidenceLife = 10 * time.Minute
	// covered is how long after an answer crashes don't count: a request that many clients
	// send is answered again and again while backend servers crash for other reasons.
	covered = 10 * time.Second
	// settle is how long after a crash the news that explain it may take: others that crashed
	// in the same moment, or answers at other routers. A request that is about to be held back
	// waits so long.
	settle = 250 * time.Millisecond
	// sameMoment is how far apart crashes of one cause are noticed, and manyMore how many
	// others make it likely that there is one.
	sameMoment = 50 * time.Millisecond
	manyMore   = 2
	// HoldTime is how long a request is held back.
	HoldTime = time.Hour
	// maxSuspects bounds the table, and maxOfAccount the part of one client account.
	maxSuspects  = 2048
	maxOfAccount = 256
	maxCrashes   = 32
	// manyCrashes are more than any request loses by chance.
	manyCrashes = 16
	// maxEnded bounds the lifetimes whose ends are remembered.
	maxEnded = 1024
)

// Tracker decides which requests are held back. It is a function of what it is told, on a clock
// that is passed in, and isn't safe for concurrent use.
//
// A plain count of crashes would hold back sound requests: a crash takes all that runs at the
// backend server, and a failure domain that is lost takes dozens of backend servers while a
// request that many clients send runs at most of them. So a crash counts only if the backend
// server ended early in the run, if no others without this request ended in the same moment,
// if no answer of the same request came since or just before, and if no request that is held
// back was there too.
type Tracker struct {
	suspects  map[Digest]*suspect
	ofAccount map[string]int
	at        map[string][]Digest // by lifetime, which requests its crash is held against
	ends      ends
	answers   *recent
}

// NewTracker returns an empty Book.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[Digest]*suspect{}, ofAccount: map[string]int{}, at: map[string][]Digest{}, answers: newRecent(maxAnswers),
		ends: ends{at: map[string]time.Duration{}}}
}

// Empty tells whether nothing is suspected.
func (b *Tracker) Empty() bool { return len(b.suspects) == 0 }

// Exited takes in that a backend server ended alone, whatever ran there.
func (b *Tracker) Exited(lifetime string, at time.Duration) (fresh bool) {
	return b.ends.add(lifetime, at)
}

// Crashed takes in that a backend server crashed early in the run of a request. fresh is
// false if that was known or doesn't count. With pending it is time to call Confirm after
// settle.
func (b *Tracker) Crashed(d Digest, account string, c Crash, now time.Duration) (fresh, pending bool) {
	b.Exited(c.Incarnation, c.At)
	if _, covers := b.ClearedByAnswer(d, c.At); covers || now-c.At >= evidenceLife {
		return false, false
	}
	s := b.suspect(d, account, now)
	if s.has(c.Incarnation) {
		return false, false
	}
	b.addCrash(s, c)
	s.touched = now
	if s.pending || s.heldTo > now || !b.convicts(s, now) {
		return true, false
	}
	s.pending = true
	return true, true
}

// Confirm holds a request back if what came in since leaves the crashes its own. A router that
// is cut off from the others knows little of what else ended, and needs more of them. cleared
// are requests that were held back, and of which this one shows that they only ran beside it.
func (b *Tracker) Confirm(d Digest, now time.Duration, cutOff bool) (held bool, cleared []Digest) {
	s := b.suspects[d]
	if s == nil || !s.pending {
		return false, nil
	}
	s.pending = false
	if s.heldTo > now || !b.convicts(s, now) || (cutOff && len(b.counted(s, now)) < surelyFrom) {
		return false, nil
	}
	s.heldSince, s.heldTo = now, now+HoldTime
	return true, b.clearBystanders(s, now)
}

// Pending tells whether it is about to be decided whether the request is held back.
func (b *Tracker) Pending(d Digest) bool {
	s := b.suspects[d]
	return s != nil && s.pending
}

// addCrash adds a crash to those that are held against s.
func (b *Tracker) addCrash(s *suspect, c Crash) {
	if len(s.crashes) >= maxCrashes {
		b.unindex(s, s.crashes[0].Incarnation)
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	b.at[c.Incarnation] = append(b.at[c.Incarnation], s.digest)
}

// Answered takes in that the request was answered. Crashes from before, and from just after,
// are dropped; later ones stand. suspected tells whether anything was dropped, and lifted
// whether the request was held back until now.
func (b *Tracker) Answered(d Digest, at, now time.Duration) (suspected, lifted bool) {
	b.answers.add(d, at)
	s := b.suspects[d]
	if s == nil {
		return false, false
	}
	for _, c := range slices.Clone(s.crashes) {
		if c.At < at+covered {
			b.unindex(s, c.Incarnation)
			s.crashes = slices.DeleteFunc(s.crashes, func(one Crash) bool { return one.Incarnation == c.Incarnation })
			suspected = true
		}
	}
	if len(s.crashes) > 0 || at < s.heldSince {
		return suspected, false
	}
	lifted = s.heldTo > now
	b.drop(s)
	return true, lifted
}

// ClearedByAnswer tells whether an answer of the request excuses a crash at a moment, and when it was
// given.
func (b *Tracker) ClearedByAnswer(d Digest, crash time.Duration) (answered time.Duration, covers bool) {
	answered, ok := b.answers.at(d)
	return answered, ok && crash < answered+covered
}

// Hold holds a request back that another router found, until a moment.
func (b *Tracker) Hold(d Digest, account string, to, now time.Duration) (fresh bool) {
	if to <= now {
		return false
	}
	s := b.suspect(d, account, now)
	if fresh = s.heldTo <= now; fresh {
		s.heldSince = now
	}
	s.heldTo = max(s.heldTo, min(to, now+HoldTime))
	s.touched = now
	return fresh
}

// Lift ends the hold of a request. The crashes under it stay known, so that it takes fewer
// to hold it back again.
func (b *Tracker) Lift(d Digest, now time.Duration) (was bool) {
	s := b.suspects[d]
	if s == nil {
		return false
	}
	was = s.heldTo > now
	if s.heldSince, s.heldTo, s.cleared = 0, 0, was; len(s.crashes) == 0 {
		b.drop(s)
	}
	return was
}

// ForgetCrashes drops all requests that were found by their crashes.
func (b *Tracker) ForgetCrashes() {
	for _, s := range b.suspects {
		if len(s.crashes) > 0 {
			b.drop(s)
		}
	}
}

// IsQuarantined tells whether a request is held back.
func (b *Tracker) IsQuarantined(d Digest, now time.Duration) bool {
	s := b.suspects[d]
	return s != nil && s.heldTo > now
}

// Suspected tells whether one more crash may have the request held back.
func (b *Tracker) Suspected(d Digest, now time.Duration) bool {
	s := b.suspects[d]
	return s != nil && len(b.counted(s, now)) >= heldFrom-1
}

// CrashCount is how many crashes under a request are known.
func (b *Tracker) CrashCount(d Digest) int {
	if s := b.suspects[d]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// ExitedBefore tells whether a lifetime is known to have ended alone before a moment.
func (b *Tracker) ExitedBefore(lifetime string, moment time.Duration) bool {
	at, known := b.ends.at[lifetime]
	return known && at < moment
}

// HoldOf is the hold of a request, false if it isn't held back.
func (b *Tracker) HoldOf(d Digest, now time.Duration) (hold HoldUpdate, held bool) {
	s := b.suspects[d]
	if s == nil || s.heldTo <= now {
		return HoldUpdate{}, false
	}
	return HoldUpdate{d, s.account, (s.heldTo - now).Milliseconds()}, true
}

// Holds lists the holds of all requests that are held back.
func (b *Tracker) Holds(now time.Duration) (out []HoldUpdate) {
	for d := range b.suspects {
		if hold, held := b.HoldOf(d, now); held {
			out = append(out, hold)
		}
	}
	return out
}

// Report is what is known of one request, for people.
func (b *Tracker) Report(d Digest, now time.Duration) Report {
	if s := b.suspects[d]; s != nil {
		return s.report(now)
	}
	return Report{Digest: d.String()}
}

// List returns all that is known, for people.
func (b *Tracker) List(now time.Duration) []Report {
	out := make([]Report, 0, len(b.suspects))
	for _, s := range b.suspects {
		out = append(out, s.report(now))
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.HeldForMS, a.HeldForMS), cmp.Compare(a.Digest, b.Digest))
	})
	return out
}

// Expire drops what counts no more.
func (b *Tracker) Expire(now time.Duration) {
	for _, s := range b.suspects {
		if s.heldTo <= now && now-s.touched >= evidenceLife {
			b.drop(s)
		}
	}
}

// suspect returns the row of a request, a new one if there is none.
func (b *Tracker) suspect(d Digest, account string, now time.Duration) *suspect {
	if s := b.suspects[d]; s != nil {
		return s
	}
	if b.ofAccount[account] >= maxOfAccount {
		b.drop(b.weakest(now, func(s *suspect) bool { return s.account == account }))
	} else if len(b.suspects) >= maxSuspects {
		b.drop(b.weakest(now, func(*suspect) bool { return true }))
	}
	s := &suspect{digest: d, account: account, touched: now}
	b.suspects[d] = s
	b.ofAccount[account]++
	return s
}

func (b *Tracker) drop(s *suspect) {
	for _, c := range s.crashes {
		b.unindex(s, c.Incarnation)
	}
	delete(b.suspects, s.digest)
	if b.ofAccount[s.account]--; b.ofAccount[s.account] == 0 {
		delete(b.ofAccount, s.account)
	}
}

// unindex takes s off those that a crash is held against.
func (b *Tracker) unindex(s *suspect, lifetime string) {
	left := slices.DeleteFunc(b.at[lifetime], func(d Digest) bool { return d == s.digest })
	if len(left) == 0 {
		delete(b.at, lifetime)
		return
	}
	b.at[lifetime] = left
}
