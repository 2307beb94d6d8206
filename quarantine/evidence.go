package quarantine

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"wigeondale/event"
)

// crashLog holds the latest crashes that counted against a request or a part, at most maxPending.
type crashLog []PartCrash

func (l *crashLog) add(c PartCrash) {
	if len(*l) >= maxPending {
		*l = slices.Delete(*l, 0, 1)
	}
	*l = append(*l, c)
}

// evidenceReplies is from how many informed routers a starting router fetches evidence. All routers receive the reports of
// crashes; one of them may have missed some.
const evidenceReplies = 2

// evidenceClaims counts the routers from which evidence was fetched or is being fetched. It is safe for concurrent use.
type evidenceClaims struct{ claimed atomic.Int32 }

// claim reports whether the next router is to be asked for evidence.
func (c *evidenceClaims) claim() bool {
	if c.claimed.Add(1) <= evidenceReplies {
		return true
	}
	c.release()
	return false
}

// release undoes a claim, if the router has not replied or has just started too.
func (c *evidenceClaims) release() { c.claimed.Add(-1) }

// fact is one crash with the answers that are known to its request and parts, or one exit.
type fact struct {
	at time.Duration
	Update
}

// evidence returns the latest of the crashes in log, the exits since the earliest of these, and the answers that clear their
// requests and parts. With them a router decides on the next crash as this one does.
func (t *Tracker) evidence(log crashLog, now time.Duration) Update {
	var facts []fact
	for _, c := range log {
		if now-c.At < crashTTL {
			facts = append(facts, fact{c.At, t.crashWithAnswers(c, now)})
		}
	}
	for incarnation, at := range t.exits.at {
		if now-at < crashTTL {
			facts = append(facts, fact{at, Update{Exits: []ExitUpdate{{incarnation, (now - at).Milliseconds()}}}})
		}
	}
	slices.SortFunc(facts, func(a, b fact) int { return cmp.Compare(b.at, a.at) })
	var out Update
	for _, f := range facts {
		if out.size()+f.size() > maxPending {
			break
		}
		out.add(f.Update)
	}
	return out
}

func (t *Tracker) crashWithAnswers(c PartCrash, now time.Duration) Update {
	u := Update{Crashes: []CrashUpdate{c.report(now)}}
	if at, answered := t.answers.at(c.Request); answered {
		u.Answers = append(u.Answers, AnswerUpdate{c.Request, (now - at).Milliseconds()})
	}
	for _, d := range c.Parts {
		if at, answered := t.parts.answers.at(d, c.Model); answered {
			u.PartAnswers = append(u.PartAnswers, PartAnswerUpdate{d, c.Model, (now - at).Milliseconds()})
		}
	}
	return u
}

// evidence returns what a starting router needs to decide as this one does.
func (g *Guard) evidence() *Update {
	var out Update
	g.withTracker(func(t *Tracker, now time.Duration) { out = t.evidence(g.recentCrashes, now) })
	return &out
}

// addEvidence records the crashes and exits that another router knows, and returns the crashes that count.
func (t *Tracker) addEvidence(u *Update, from string, now time.Duration) (crashes []PartCrash) {
	ago := func(ms int64) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	for _, e := range u.Exits {
		t.Exited(e.Incarnation, ago(e.AgeMS))
	}
	for _, a := range u.Answers {
		t.Answered(a.Digest, ago(a.AgeMS), now)
	}
	for i := range u.Crashes {
		if c := u.Crashes[i].crash(from, now); t.addDecidedCrash(c, now) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// addDecidedCrash records a crash that another router knows, and reports whether it counts. That router has decided on it,
// or is about to decide, so no decision is due here before the next crash.
func (t *Tracker) addDecidedCrash(c PartCrash, now time.Duration) bool {
	againstRequest := t.addRequestCrash(c, now)
	againstParts := t.addPartsCrash(c, now)
	return againstRequest || againstParts
}

func (t *Tracker) addRequestCrash(c PartCrash, now time.Duration) bool {
	added, pending := t.Crashed(c.Request, c.Account, c.Crash, now)
	if pending {
		t.suspects[c.Request].pending = false
	}
	return added
}

func (t *Tracker) addPartsCrash(c PartCrash, now time.Duration) bool {
	parts := t.partsCrashed(c, now)
	for d := range parts.pending {
		t.parts.suspects[d].pending = false
	}
	return len(parts.added) > 0
}

// addEvidence records what another router knows of crashes. The other routers have received the reports too, so none is
// replied to.
func (g *Guard) addEvidence(from string, u *Update) {
	g.handlePartUpdate(from, Update{PartAnswers: u.PartAnswers})
	var added []PartCrash
	g.withTracker(func(t *Tracker, now time.Duration) {
		added = t.addEvidence(u, from, now)
		for _, c := range added {
			g.recentCrashes.add(c)
		}
	})
	if len(u.Crashes) > 0 {
		g.cfg.Log.Emit(event.EvidenceReceived, "from", from, "crashes", len(u.Crashes), "added", len(added), "exits", len(u.Exits))
	}
}

// count records a crash against the request and against the parts of its prompt.
func (g *Guard) count(c PartCrash) (againstRequest, againstParts bool) {
	againstParts = len(g.partsCrashed(c)) > 0
	againstRequest = g.crashed(c.Request, c.Account, c.Crash)
	if againstRequest || againstParts {
		g.mu.Lock()
		g.recentCrashes.add(c)
		g.mu.Unlock()
		g.reportCases(c)
	}
	return againstRequest, againstParts
}

// report returns the report of a crash for the other routers.
func (c *PartCrash) report(now time.Duration) CrashUpdate {
	return CrashUpdate{
		Digest: c.Request, Account: c.Account, Incarnation: c.Incarnation, AgeMS: (now - c.At).Milliseconds(),
		Submission: c.Submission, RanMS: (c.At - c.SentAt).Milliseconds(), Parts: c.Parts, Model: c.Model,
	}
}

// crash returns the crash that a router reports.
func (u *CrashUpdate) crash(from string, now time.Duration) PartCrash {
	at := now - time.Duration(u.AgeMS)*time.Millisecond
	return PartCrash{
		Crash:   Crash{Incarnation: u.Incarnation, At: at, SentAt: at - time.Duration(u.RanMS)*time.Millisecond, Submission: u.Submission, From: from},
		Request: u.Digest, Account: u.Account, Model: u.Model, Parts: u.Parts[:min(len(u.Parts), maxParts)],
	}
}
