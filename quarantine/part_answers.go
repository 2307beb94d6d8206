package quarantine

import (
	"slices"
	"time"
)

// partAnswers remembers when runs with a part last began their answer, by part and model. Like answerTimes, it has
// two generations of bounded size.
type partAnswers struct {
	current, previous map[partModel]time.Duration
}

type partModel struct {
	part  Digest
	model string
}

func newPartAnswers() *partAnswers {
	return &partAnswers{current: map[partModel]time.Duration{}}
}

func (a *partAnswers) add(d Digest, model string, at time.Duration) {
	k := partModel{d, model}
	if before, ok := a.at(d, model); ok {
		at = max(at, before)
	}
	if _, ok := a.current[k]; !ok && len(a.current) >= maxPartAnswers {
		a.previous, a.current = a.current, make(map[partModel]time.Duration, maxPartAnswers)
	}
	a.current[k] = at
}

func (a *partAnswers) at(d Digest, model string) (time.Duration, bool) {
	k := partModel{d, model}
	if at, ok := a.current[k]; ok {
		return at, true
	}
	at, ok := a.previous[k]
	return at, ok
}

// untold returns the suspected parts for which this router knows an answer for a model, and for which no router has
// broadcast an answer yet.
func (p *partTable) untold(parts []Digest, model string) (out []Digest) {
	for _, d := range parts {
		s := p.suspects[d]
		if s == nil {
			continue
		}
		if _, told := s.toldAt[model]; told {
			continue
		}
		if _, answered := p.answers.at(d, model); answered {
			out = append(out, d)
		}
	}
	return out
}

// told records that a router has broadcast an answer to a request with a part.
func (p *partTable) told(d Digest, model string, now time.Duration) {
	s := p.suspects[d]
	if s == nil || !slices.Contains(s.models, model) {
		return
	}
	if s.toldAt == nil {
		s.toldAt = map[string]time.Duration{}
	}
	s.toldAt[model] = now
}

// untoldSinceAsked returns the answers that no router has broadcast since the latest question about the part.
func (p *partTable) untoldSinceAsked(known []PartAnswerUpdate, now time.Duration) (out []PartAnswerUpdate) {
	for _, a := range known {
		s := p.suspects[a.Digest]
		if s == nil {
			continue
		}
		if at, told := s.toldAt[a.Model]; told && at >= s.askedAt {
			continue
		}
		at, _ := p.answers.at(a.Digest, a.Model)
		out = append(out, PartAnswerUpdate{a.Digest, a.Model, (now - at).Milliseconds()})
		p.told(a.Digest, a.Model, now)
	}
	return out
}

// askValid is how long the answers to a question about a part count for a decision.
const askValid = 2 * decisionDelay

// unasked returns the parts about which the routers weren't asked lately.
func unasked(group []*partSuspect, now time.Duration) (out []Digest) {
	for _, s := range group {
		if !s.asked || now-s.askedAt > askValid {
			out = append(out, s.digest)
		}
	}
	return out
}

func latestAsk(group []*partSuspect) (at time.Duration) {
	for _, s := range group {
		at = max(at, s.askedAt)
	}
	return at
}

// noteAsked records that a router asks about a part. Only the first question within askValid is recorded, since a later one
// must not postpone the decisions that wait for the replies to the first.
func (s *partSuspect) noteAsked(now time.Duration) {
	if !s.asked || now-s.askedAt > askValid {
		s.askedAt, s.asked = now, true
	}
}

// partAsked records that another router asks about a part. It returns the latest answers to requests with it that
// are known here, by model.
func (p *partTable) partAsked(d Digest, now time.Duration) (answers []PartAnswerUpdate) {
	s := p.suspects[d]
	if s == nil {
		return nil
	}
	s.noteAsked(now)
	for _, model := range s.models {
		if at, answered := p.answers.at(d, model); answered {
			answers = append(answers, PartAnswerUpdate{d, model, (now - at).Milliseconds()})
		}
	}
	return answers
}
