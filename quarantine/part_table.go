package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// partTable decides which parts of prompts are quarantined. Each run is a test of all parts of its
// request: a backend server that crashes early in the run is evidence against each of them, and a
// run that was answered or has lasted for earlyWindow clears them of the crashes before it began to answer.
// Of the parts that were running at the crashes, the part that no run has cleared is quarantined.
//
// Its decisions depend only on the reports and the clock readings that are passed in. It isn't safe
// for concurrent use.
type partTable struct {
	suspects  map[Digest]*partSuspect
	byCrash   map[string][]Digest // suspected parts, by the incarnation that crashed
	explained explainedExits
	answers   *partAnswers
	// lastOfModel is when the latest answer to any request with parts began, by model.
	lastOfModel map[string]time.Duration
	requests    map[string]int // number of requests that were running, by the incarnation that crashed
	byAccount   map[string]int // number of suspects that only one account named
	expireAt    time.Duration  // when the table is next searched for expired entries
}

func newPartTable() *partTable {
	return &partTable{
		suspects: map[Digest]*partSuspect{}, byCrash: map[string][]Digest{}, answers: newPartAnswers(), lastOfModel: map[string]time.Duration{},
		explained: explainedExits{by: map[string]Digest{}},
		requests:  map[string]int{}, byAccount: map[string]int{},
	}
}

// record adds a crash to the record of a part. It returns false if it was known.
func (p *partTable) record(d Digest, c PartCrash, now time.Duration) (added bool) {
	s := p.suspect(d, c.Account, now)
	if s == nil {
		return false
	}
	s.updatedAt = now
	p.addScope(s, c.Account, c.Model)
	if s.holdUntil > now {
		p.explained.add(c.Incarnation, d)
	}
	if known := s.record(c.Incarnation); known != nil {
		if slices.Contains(known.requests, c.Request) || len(known.requests) >= maxCrashesPerSuspect {
			return false
		}
		known.requests = append(known.requests, c.Request)
		return true
	}
	if len(s.crashes) >= maxCrashesPerSuspect {
		p.unindex(s, s.crashes[0].incarnation)
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, partRecord{c.Incarnation, c.At, c.SentAt, c.Model, []Digest{c.Request}})
	slices.SortStableFunc(s.crashes, func(a, b partRecord) int { return cmp.Compare(a.at, b.at) })
	p.byCrash[c.Incarnation] = append(p.byCrash[c.Incarnation], d)
	return true
}

// partCleared is the result of partAnswered.
type partCleared struct {
	suspected bool // crashes no longer count against the part
	lifted    bool // its hold has ended
	// pending lists the requests for which the caller must call Confirm, since the part no longer explains the
	// crashes under them.
	pending []Digest
	// pendingParts lists the parts for which the caller must call confirmPart: they remain as the cause of the
	// crashes.
	pendingParts []Digest
}

// partAnswered records that a run with a part was answered, or lasted for earlyWindow, and that its answer began at
// began. Crashes under the part for the same model before began no longer count.
func (t *Tracker) partAnswered(d Digest, model string, began, now time.Duration) (out partCleared) {
	p := t.parts
	p.answers.add(d, model, began)
	p.noteAnswer(model, began)
	s := p.suspects[d]
	if s == nil {
		return out
	}
	evidenceKnown := s.evidenceKnown()
	var crashes []string
	for _, c := range slices.Clone(s.crashes) {
		if c.at < began && c.model == model {
			crashes = append(crashes, c.incarnation)
			p.unindex(s, c.incarnation)
			s.crashes = slices.DeleteFunc(s.crashes, func(one partRecord) bool { return one.incarnation == c.incarnation })
		}
	}
	out.suspected = len(crashes) > 0
	out.pendingParts = p.reconsider(crashes, now)
	if len(s.crashes) > 0 || began < s.holdStart && !evidenceKnown {
		return out
	}
	out.suspected, out.lifted = true, s.holdUntil > now
	p.drop(s)
	if out.lifted {
		t.lifts.add(d, now)
		out.pending = t.reconsider(crashes, now)
	}
	return out
}

// reconsider marks as pending the suspected parts with minCrashes or more that were running at crashes, and returns
// them.
func (p *partTable) reconsider(incarnations []string, now time.Duration) (pending []Digest) {
	for _, incarnation := range incarnations {
		for _, d := range p.byCrash[incarnation] {
			s := p.suspects[d]
			if s.pending || s.holdUntil > now || len(s.crashes) < minCrashes {
				continue
			}
			s.pending = true
			pending = append(pending, d)
		}
	}
	return pending
}

// reconsider marks as pending the requests against which crashes count enough evidence now, and returns them.
func (t *Tracker) reconsider(incarnations []string, now time.Duration) (pending []Digest) {
	for _, incarnation := range incarnations {
		for _, d := range t.suspectsByCrash[incarnation] {
			s := t.suspects[d]
			if s.pending || s.holdUntil > now || !t.isCulprit(s, now) {
				continue
			}
			s.pending = true
			pending = append(pending, d)
		}
	}
	return pending
}

// undecided reports whether a decision about one of the parts is due soon. A decision that waits for
// runs to clear a part doesn't make requests wait.
func (p *partTable) undecided(parts []Digest) bool {
	return slices.ContainsFunc(parts, func(d Digest) bool {
		s := p.suspects[d]
		if s == nil || !s.pending || s.holdUntil > 0 {
			return false
		}
		_, answered := p.lastAnswer(s)
		return !answered
	})
}

// suspected reports whether one more crash may be enough to quarantine one of the parts, or to end the trials of one.
func (p *partTable) suspected(parts []Digest, now time.Duration) bool {
	return slices.ContainsFunc(parts, func(d Digest) bool {
		s := p.suspects[d]
		if s == nil {
			return false
		}
		_, answered := p.lastAnswer(s)
		return s.holdUntil > now || !answered && len(s.crashes) >= minCrashes-1
	})
}

// lastAnswer returns when the latest answer began with a part, for one of the models for which backend servers crashed.
func (p *partTable) lastAnswer(s *partSuspect) (at time.Duration, ok bool) {
	for _, model := range s.models {
		if one, known := p.answers.at(s.digest, model); known {
			at, ok = max(at, one), true
		}
	}
	return at, ok
}

// explains reports whether a quarantined part was running at a crash, so that the crash doesn't count against a request
// as a whole. A part that is quarantined only provisionally may be held because of the request, if the request has the
// part.
func (p *partTable) explains(incarnation string, request Digest, now time.Duration) bool {
	s := p.suspects[p.explained.by[incarnation]]
	if s == nil || s.holdUntil <= now {
		return false
	}
	if !s.provisional {
		return true
	}
	c := s.record(incarnation)
	return c != nil && !slices.Contains(c.requests, request)
}

// maxModels bounds the models whose latest answers are remembered.
const maxModels = 256

func (p *partTable) noteAnswer(model string, began time.Duration) {
	if _, known := p.lastOfModel[model]; !known && len(p.lastOfModel) >= maxModels {
		clear(p.lastOfModel) // clients choose the names
	}
	p.lastOfModel[model] = max(p.lastOfModel[model], began)
}

// suspect returns the entry of a part, and adds one if there is none. If the table or the share of the
// account is full, the new entry replaces the weakest that isn't quarantined.
func (p *partTable) suspect(d Digest, account string, now time.Duration) *partSuspect {
	if s := p.suspects[d]; s != nil {
		return s
	}
	var among func(*partSuspect) bool
	switch {
	case p.byAccount[account] >= maxPartSuspectsPerAccount:
		among = func(s *partSuspect) bool { return s.namedOnlyBy(account) }
	case len(p.suspects) >= maxPartSuspects:
		among = func(*partSuspect) bool { return true }
	}
	if among != nil {
		weakest := p.weakest(among, now)
		if weakest == nil {
			return nil
		}
		p.drop(weakest)
	}
	s := &partSuspect{digest: d, updatedAt: now}
	p.suspects[d] = s
	return s
}

func (s *partSuspect) namedOnlyBy(account string) bool {
	return len(s.accounts) == 1 && s.accounts[0] == account
}

// weakest returns the suspect with the least evidence that isn't quarantined.
func (p *partTable) weakest(among func(*partSuspect) bool, now time.Duration) *partSuspect {
	var least *partSuspect
	for _, s := range p.suspects {
		if s.holdUntil > now || !among(s) {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(len(s.crashes), len(least.crashes)), cmp.Compare(s.updatedAt, least.updatedAt), bytes.Compare(s.digest[:], least.digest[:])) < 0 {
			least = s
		}
	}
	return least
}

// addScope adds an account and a model to those for which the part is suspected.
func (p *partTable) addScope(s *partSuspect, account, model string) {
	p.uncount(s)
	s.accounts, s.models = insert(s.accounts, account), insert(s.models, model)
	if len(s.accounts) == 1 {
		p.byAccount[account]++
	}
}

func (p *partTable) uncount(s *partSuspect) {
	if len(s.accounts) != 1 {
		return
	}
	if p.byAccount[s.accounts[0]]--; p.byAccount[s.accounts[0]] <= 0 {
		delete(p.byAccount, s.accounts[0])
	}
}

func (p *partTable) drop(s *partSuspect) {
	for _, c := range s.crashes {
		p.unindex(s, c.incarnation)
	}
	p.uncount(s)
	delete(p.suspects, s.digest)
}

func (p *partTable) unindex(s *partSuspect, incarnation string) {
	remaining := slices.DeleteFunc(p.byCrash[incarnation], func(d Digest) bool { return d == s.digest })
	if len(remaining) == 0 {
		delete(p.byCrash, incarnation)
		delete(p.requests, incarnation)
		return
	}
	p.byCrash[incarnation] = remaining
}

// expire drops parts that are no longer quarantined and whose crashes have expired.
func (p *partTable) expire(now time.Duration) {
	if now < p.expireAt {
		return
	}
	p.expireAt = now + expireInterval
	for _, s := range p.suspects {
		if s.holdUntil <= now && now-s.updatedAt >= crashTTL {
			p.drop(s)
		}
	}
}

// forgetCrashes drops the entries of all parts for which crashes are recorded, and the answers.
func (p *partTable) forgetCrashes() {
	for _, s := range p.suspects {
		if len(s.crashes) > 0 {
			p.drop(s)
		}
	}
	p.answers = newPartAnswers()
}
