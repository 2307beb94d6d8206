package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is how many backend servers must have crashed while they ran a request before
	// the request is quarantined.
	minCrashes = 3
	// minUnsharedCrashes is the least number of these crashes at which no other suspected
	// request was running. With conclusiveCrashes crashes or more this isn't required.
	minUnsharedCrashes = 2
	conclusiveCrashes  = 5
	// earlyWindow bounds how long a run counts as a possible cause of a crash of its backend
	// server: from the start of the run until earlyWindow after its first token or chunk. Runs
	// that have lasted longer are assumed not to have caused the crash (bystanders).
	earlyWindow = time.Second
	// If backgroundExits other backend servers exited within backgroundWindow, the required
	// number of crashes is one higher, since some requests are then running at three crashes
	// by chance.
	backgroundExits  = 5
	backgroundWindow = 10 * time.Second
	// crashTTL is how long a crash counts against the request that was running.
	crashTTL = 10 * time.Minute
	// Crashes under a request don't count if they happen less than answerGrace after an answer
	// to the request. A request that many clients send is answered again and again while
	// backend servers crash for other reasons.
	answerGrace = 10 * time.Second
	// decisionDelay is how long a request that is about to be quarantined waits for the
	// decision. Reports that explain the latest crash may arrive in that time: exits of other
	// backend servers at the same moment, or answers at other routers.
	decisionDelay = 250 * time.Millisecond
	// simultaneousWindow is the largest difference between the times at which crashes with a
	// common cause are noticed. massExits other exits within it make a common cause likely.
	simultaneousWindow = 50 * time.Millisecond
	massExits          = 2
	// HoldTime is how long a request stays quarantined.
	HoldTime = time.Hour
	// maxSuspects bounds the table of suspects, maxSuspectsPerAccount the entries of one client
	// account, and maxCrashesPerSuspect the crashes that are kept for each.
	maxSuspects           = 2048
	maxSuspectsPerAccount = 256
	maxCrashesPerSuspect  = 32
	// manyCrashes is a number of crashes at which no request is running by chance.
	manyCrashes = 16
	// maxExits bounds the number of incarnations whose exits are remembered.
	maxExits = 1024
)

// Tracker decides which requests are quarantined. Its decisions depend only on the reports and
// the clock readings that are passed in. It isn't safe for concurrent use.
//
// A plain count of crashes would quarantine harmless requests: a crash ends all runs at the
// backend server, and the loss of a failure domain ends dozens of backend servers while a
// request that many clients send is running at most of them. So a crash counts only if the
// backend server exited early in the run, if no other backend servers without this request
// exited at the same moment, if the same request was not answered since or just before, and
// if no request that is already quarantined was running there too.
type Tracker struct {
	suspects        map[Digest]*suspect
	countByAccount  map[string]int
	suspectsByCrash map[string][]Digest // requests that a crash counts against, by the incarnation that crashed
	exits           exitTimes
	answers         *answerTimes
	parts           *partTable
	lifts           lifts
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[Digest]*suspect{}, countByAccount: map[string]int{}, suspectsByCrash: map[string][]Digest{}, answers: newAnswerTimes(maxAnswers), parts: newPartTable(), lifts: lifts{at: map[Digest]time.Duration{}},
		exits: exitTimes{at: map[string]time.Duration{}}}
}

// Empty reports whether the tracker has no entry: no request and no part is suspected or quarantined.
func (t *Tracker) Empty() bool { return len(t.suspects) == 0 && len(t.parts.suspects) == 0 }

// Exited records that a backend server exited on its own, not with its failure domain,
// whatever was running there. added is false if the exit was known already.
func (t *Tracker) Exited(incarnation string, at time.Duration) (added bool) {
	return t.exits.add(incarnation, at)
}

// Crashed records that a backend server crashed early in the run of a request. added is false
// if the crash was known or doesn't count. If pending is true, the caller must call Confirm
// after decisionDelay.
func (t *Tracker) Crashed(d Digest, account string, c Crash, now time.Duration) (added, pending bool) {
	t.Exited(c.Incarnation, c.At)
	if _, clears := t.ClearedByAnswer(d, c.At); clears || now-c.At >= crashTTL {
		return false, false
	}
	s := t.suspect(d, account, now)
	if s.crashedAt(c.Incarnation) {
		return false, false
	}
	t.addCrash(s, c)
	s.endTurn(c.Submission, now)
	s.updatedAt = now
	if s.pending || s.holdUntil > now || !t.isCulprit(s, now) {
		return true, false
	}
	s.pending = true
	return true, true
}

// Confirm quarantines a pending request if the reports received since still attribute the
// crashes to the request. An isolated router knows few of the other exits, so it requires
// conclusiveCrashes. cleared lists the requests whose hold Confirm ended, because they turned
// out to have only run alongside the request d at the crashes. clearedParts lists the parts whose provisional
// holds ended for the same reason.
func (t *Tracker) Confirm(d Digest, now time.Duration, isolated bool) (quarantined bool, cleared, clearedParts []Digest) {
	s := t.suspects[d]
	if s == nil || !s.pending {
		return false, nil, nil
	}
	s.pending = false
	if s.holdUntil > now || !t.isCulprit(s, now) || (isolated && len(t.countedCrashes(s, now)) < conclusiveCrashes) {
		return false, nil, nil
	}
	s.holdStart, s.holdUntil, s.partial = now, now+HoldTime, false
	return true, t.clearBystanders(s, now), t.clearParts(s, now)
}

// Pending reports whether a decision about the request is due.
func (t *Tracker) Pending(d Digest) bool {
	s := t.suspects[d]
	return s != nil && s.pending
}

// addCrash adds a crash to the record of s.
func (t *Tracker) addCrash(s *suspect, c Crash) {
	if len(s.crashes) >= maxCrashesPerSuspect {
		t.unindex(s, s.crashes[0].Incarnation)
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b Crash) int { return cmp.Compare(a.At, b.At) })
	t.suspectsByCrash[c.Incarnation] = append(t.suspectsByCrash[c.Incarnation], s.digest)
}

// Answered records that the request was answered. Crashes from before the answer, or up to
// answerGrace after the answer, are dropped; later crashes stay. If no crash stays and the
// answer isn't older than the start of the hold, the hold ends too. suspected reports whether
// anything was dropped, and lifted reports whether a hold ended.
func (t *Tracker) Answered(d Digest, at, now time.Duration) (suspected, lifted bool) {
	t.answers.add(d, at)
	s := t.suspects[d]
	if s == nil {
		return false, false
	}
	for _, c := range slices.Clone(s.crashes) {
		if c.At < at+answerGrace {
			t.unindex(s, c.Incarnation)
			s.crashes = slices.DeleteFunc(s.crashes, func(one Crash) bool { return one.Incarnation == c.Incarnation })
			suspected = true
		}
	}
	if len(s.crashes) > 0 || at < s.holdStart {
		return suspected, false
	}
	if lifted = s.holdUntil > now; lifted {
		t.lifts.add(d, now)
	}
	t.drop(s)
	return true, lifted
}

// ClearedByAnswer reports whether the latest known answer to the request rules out that the
// request caused a crash at the given time. It does if the crash happened before the answer or
// less than answerGrace after the answer. answered is the time of the answer.
func (t *Tracker) ClearedByAnswer(d Digest, crash time.Duration) (answered time.Duration, clears bool) {
	answered, ok := t.answers.at(d)
	return answered, ok && crash < answered+answerGrace
}

// Hold quarantines a request that another router has quarantined, until the time to, but for
// HoldTime at most. added is false if the request was quarantined already or to has passed.
func (t *Tracker) Hold(d Digest, account string, to, now time.Duration) (added bool) {
	if to <= now || t.lifts.covers(d, to-HoldTime) {
		return false
	}
	s := t.suspect(d, account, now)
	if added = s.holdUntil <= now; added {
		s.holdStart = now
	}
	s.holdUntil = max(s.holdUntil, min(to, now+HoldTime))
	s.updatedAt = now
	return added
}

// Lift ends the hold of a request. The crashes recorded for the request are kept, so that fewer
// further crashes are needed to quarantine the request again.
func (t *Tracker) Lift(d Digest, now time.Duration) (wasQuarantined bool) {
	t.lifts.add(d, now)
	s := t.suspects[d]
	if s == nil {
		return false
	}
	wasQuarantined = s.holdUntil > now
	if s.holdStart, s.holdUntil, s.cleared = 0, 0, wasQuarantined; len(s.crashes) == 0 {
		t.drop(s)
	}
	return wasQuarantined
}

// LiftedEarlier records that the hold of a request or part was lifted at the time at, and ends the hold if it
// began before that.
func (t *Tracker) LiftedEarlier(d Digest, at, now time.Duration) (request, part bool) {
	t.lifts.add(d, at)
	if s := t.suspects[d]; s != nil && s.holdUntil > now && s.holdUntil-HoldTime <= at {
		request = t.Lift(d, now)
	}
	if s := t.parts.suspects[d]; s != nil && s.holdUntil > now && s.holdUntil-HoldTime <= at {
		part = t.liftPart(d, now)
	}
	return request, part
}

// ForgetCrashes drops the entries of all requests for which crashes are recorded, including
// their holds. Entries without crashes stay: they are holds that this router received.
func (t *Tracker) ForgetCrashes() {
	for _, s := range t.suspects {
		if len(s.crashes) > 0 {
			t.drop(s)
		}
	}
	t.parts.forgetCrashes()
}

// IsQuarantined reports whether a request is quarantined.
func (t *Tracker) IsQuarantined(d Digest, now time.Duration) bool {
	s := t.suspects[d]
	return s != nil && s.holdUntil > now
}

// Suspected reports whether one more crash under the request may be enough to quarantine it.
func (t *Tracker) Suspected(d Digest, now time.Duration) bool {
	s := t.suspects[d]
	return s != nil && len(t.countedCrashes(s, now)) >= minCrashes-1
}

// CrashCount returns how many crashes under a request are recorded.
func (t *Tracker) CrashCount(d Digest) int {
	if s := t.suspects[d]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// ExitedBefore reports whether an incarnation is known to have exited on its own before
// moment.
func (t *Tracker) ExitedBefore(incarnation string, moment time.Duration) bool {
	at, known := t.exits.at[incarnation]
	return known && at < moment
}

// HoldOf returns the hold of a request, and false if it isn't quarantined.
func (t *Tracker) HoldOf(d Digest, now time.Duration) (hold HoldUpdate, quarantined bool) {
	s := t.suspects[d]
	if s == nil || s.holdUntil <= now {
		return HoldUpdate{}, false
	}
	return HoldUpdate{d, s.account, (s.holdUntil - now).Milliseconds()}, true
}

// Holds lists the holds of all quarantined requests.
func (t *Tracker) Holds(now time.Duration) (out []HoldUpdate) {
	for d := range t.suspects {
		if hold, quarantined := t.HoldOf(d, now); quarantined {
			out = append(out, hold)
		}
	}
	return out
}

// Report returns what is recorded of one request, for operators.
func (t *Tracker) Report(d Digest, now time.Duration) Report {
	if s := t.suspects[d]; s != nil {
		return s.report(now)
	}
	return Report{Digest: d.String()}
}

// List returns what is recorded of all suspected requests, for operators: first the requests
// that stay quarantined longest.
func (t *Tracker) List(now time.Duration) []Report {
	out := make([]Report, 0, len(t.suspects))
	for _, s := range t.suspects {
		out = append(out, s.report(now))
	}
	slices.SortFunc(out, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.HeldForMS, a.HeldForMS), cmp.Compare(a.Digest, b.Digest))
	})
	return out
}

// Expire drops requests that are no longer quarantined and whose crashes have expired.
func (t *Tracker) Expire(now time.Duration) {
	for _, s := range t.suspects {
		if s.holdUntil <= now && now-s.updatedAt >= crashTTL {
			t.drop(s)
		}
	}
	t.parts.expire(now)
}
