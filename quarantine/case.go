package quarantine

import (
	"cmp"
	"slices"
	"time"

	"wigeondale/event"
)

const (
	// caseCrashes and caseParts bound the crashes of a case, and the parts that it names.
	caseCrashes = 4
	caseParts   = 4
	// CaseTime is how long after its latest crash a case is of use.
	CaseTime = crashTTL
)

// Suspect names a request, or a part of prompts.
type Suspect struct {
	Digest Digest
	Part   bool
}

// CaseOf returns the case against a suspect: the crashes that count against it, as evidence for routers that start after
// all others have ended. It returns false if fewer crashes count than are worth a case, or the suspect is quarantined.
func (g *Guard) CaseOf(k Suspect) (u Update, ok bool) {
	g.withTracker(func(t *Tracker, now time.Duration) {
		if k.Part {
			u = t.partCase(k.Digest, g.recentCrashes, now)
		} else {
			u = t.requestCase(k.Digest, now)
		}
	})
	return u, len(u.Crashes) > 0
}

// AddCase records a case that was made the given time ago. No decision is due before the next crash.
func (g *Guard) AddCase(u Update, ago time.Duration) {
	ago = max(ago, 0)
	var added []PartCrash
	g.withTracker(func(t *Tracker, now time.Duration) {
		added = t.addCase(&u, now, now-ago)
		for _, c := range added {
			g.recentCrashes.add(c)
		}
	})
	if len(added) > 0 {
		g.cfg.Log.Emit(event.EvidenceReceived, "from", "store", "crashes", len(u.Crashes), "added", len(added), "exits", 0)
	}
}

// reportCases calls OnCase for what a crash has made a case against.
func (g *Guard) reportCases(c PartCrash) {
	var near []Suspect
	g.withTracker(func(t *Tracker, now time.Duration) { near = t.near(c, now) })
	for _, k := range near {
		g.cfg.OnCase(k, c.From == "")
	}
}

// near returns the request and the parts of a crash that may be quarantined after the next one.
func (t *Tracker) near(c PartCrash, now time.Duration) (out []Suspect) {
	if !t.IsQuarantined(c.Request, now) && t.Suspected(c.Request, now) {
		out = append(out, Suspect{c.Request, false})
	}
	for _, d := range t.likeliestParts(c.Parts, now) {
		out = append(out, Suspect{d, true})
	}
	return out
}

// casePartCrashes returns the crashes that belong to the case against a part: those of which a router that starts can tell
// whether they count, since it knows the part and the request, but not what else was running there.
func (t *Tracker) casePartCrashes(s *partSuspect, now time.Duration) (out []partRecord) {
	_, answered := t.parts.lastAnswer(s)
	for _, c := range s.crashes {
		young := answered && now-c.at < clearTime
		if young || now-c.at >= crashTTL || t.commonCause(s, c, now) || t.explainedByRequest(s, c, now) || t.parts.explainer(s, c.incarnation, now) != nil {
			continue
		}
		out = append(out, c)
	}
	return out
}

// likeliestParts returns those of the parts against which minCrashes-1 crashes or more count and which are the least
// answered ones. If there are more than caseParts it returns none: a case that names only some of them would be taken for
// evidence against these alone.
func (t *Tracker) likeliestParts(parts []Digest, now time.Duration) (out []Digest) {
	var best *partSuspect
	for _, d := range parts {
		s := t.parts.suspects[d]
		if s == nil || s.holdUntil > now || len(t.casePartCrashes(s, now)) < minCrashes-1 {
			continue
		}
		switch {
		case best == nil || t.parts.compareSuspicion(s, best) > 0:
			best, out = s, []Digest{d}
		case t.parts.compareSuspicion(s, best) == 0:
			out = append(out, d)
		}
	}
	if len(out) > caseParts {
		return nil
	}
	return out
}

func (t *Tracker) requestCase(d Digest, now time.Duration) (u Update) {
	s := t.suspects[d]
	if s == nil || s.holdUntil > now || s.cleared || !t.Suspected(d, now) {
		return u
	}
	counted := t.countedCrashes(s, now)
	for _, c := range slices.Backward(s.crashes) {
		if slices.Contains(counted, c.Incarnation) && len(u.Crashes) < caseCrashes {
			one := PartCrash{Crash: c, Request: d, Account: s.account}
			u.Crashes = append(u.Crashes, one.report(now))
		}
	}
	return u
}

func (t *Tracker) partCase(d Digest, log crashLog, now time.Duration) (u Update) {
	s := t.parts.suspects[d]
	if s == nil || s.holdUntil > now {
		return u
	}
	latest := latestCrashes(d, log, t.casePartCrashes(s, now))
	if len(latest) < minCrashes-1 {
		return u
	}
	group := t.likeliestParts(latest[0].Parts, now)
	if !slices.Contains(group, d) {
		return u
	}
	for _, c := range latest {
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(one Digest) bool { return !slices.Contains(group, one) })
		u.add(t.crashWithAnswers(c, now))
	}
	return u
}

// latestCrashes returns the latest counted crashes of requests with a part, one for each backend server, and no more of one
// request than count against a part.
func latestCrashes(d Digest, log crashLog, counted []partRecord) (out []PartCrash) {
	used, seen := map[Digest]int{}, map[string]bool{}
	latestFirst := slices.SortedStableFunc(slices.Values(log), func(a, b PartCrash) int { return cmp.Compare(b.At, a.At) })
	for _, c := range latestFirst {
		counts := slices.ContainsFunc(counted, func(one partRecord) bool { return one.incarnation == c.Incarnation })
		if !counts || seen[c.Incarnation] || used[c.Request] >= maxCrashesPerRequest || !slices.Contains(c.Parts, d) {
			continue
		}
		seen[c.Incarnation] = true
		used[c.Request]++
		if out = append(out, c); len(out) == caseCrashes {
			break
		}
	}
	return out
}

// addCase records the crashes of a case that was made at the given time, and returns those that count. It leaves out what was
// lifted after a crash.
func (t *Tracker) addCase(u *Update, now, made time.Duration) (added []PartCrash) {
	for _, a := range u.PartAnswers {
		t.partAnswered(a.Digest, a.Model, made-time.Duration(a.AgeMS)*time.Millisecond, now)
	}
	for i := range u.Crashes {
		c := u.Crashes[i].crash("store", made)
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(d Digest) bool { return t.lifts.covers(d, c.At) })
		partial := t.unknownOf(c)
		againstRequest := !t.lifts.covers(c.Request, c.At) && t.addRequestCrash(c, now)
		if againstParts := t.addPartsCrash(c, now); againstRequest || againstParts {
			added = append(added, c)
			t.markPartial(partial)
		}
	}
	return added
}

// unknownOf returns those of the request and the parts of a crash against which no crash is known. With the few crashes of a
// case this router doesn't know on what another one has decided, so it ends none of their holds for a better explanation.
func (t *Tracker) unknownOf(c PartCrash) (out []Suspect) {
	if t.CrashCount(c.Request) == 0 {
		out = append(out, Suspect{c.Request, false})
	}
	for _, d := range c.Parts {
		if s := t.parts.suspects[d]; s == nil || len(s.crashes) == 0 {
			out = append(out, Suspect{d, true})
		}
	}
	return out
}

func (t *Tracker) markPartial(list []Suspect) {
	for _, k := range list {
		if s := t.suspects[k.Digest]; s != nil && !k.Part {
			s.partial = true
		}
		if s := t.parts.suspects[k.Digest]; s != nil && k.Part {
			s.partial = true
		}
	}
}
