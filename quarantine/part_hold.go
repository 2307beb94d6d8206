package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// PartHold is the hold of a part, as it is sent between routers and stored in the records of the store.
type PartHold struct {
	Digest   Digest   `cbor:"1,keyasint"`
	Accounts []string `cbor:"2,keyasint"`
	Models   []string `cbor:"3,keyasint"`
	// RemainingMS is how much longer the part is quarantined.
	RemainingMS int64 `cbor:"4,keyasint"`
	// Tied lists the parts that were quarantined for the same crashes, this one included; empty for a part
	// that alone explains them.
	Tied []Digest `cbor:"5,keyasint,omitempty"`
	// Provisional is set while one request may still be sent as a trial.
	Provisional bool `cbor:"6,keyasint,omitempty"`
}

// holdPart quarantines a part that another router has quarantined. added is false if it was quarantined
// already or the hold has ended.
func (t *Tracker) holdPart(h PartHold, now time.Duration) (added bool) {
	p := t.parts
	to := now + time.Duration(h.RemainingMS)*time.Millisecond
	if to <= now || len(h.Accounts) == 0 || t.lifts.covers(h.Digest, to-HoldTime) {
		return false
	}
	s := p.suspect(h.Digest, h.Accounts[0], now)
	if s == nil {
		return false
	}
	for _, account := range h.Accounts {
		for _, model := range h.Models {
			p.addScope(s, account, model)
		}
	}
	if added = s.holdUntil <= now; added {
		s.holdStart, s.tied, s.provisional = now, h.Tied, h.Provisional
		p.explainCrashes(s)
	}
	s.provisional = s.provisional && h.Provisional
	if len(h.Tied) == 0 {
		s.tied = nil
	}
	s.holdUntil = max(s.holdUntil, min(to, now+HoldTime))
	s.updatedAt = now
	return added
}

// liftPart ends the hold of a part. The crashes recorded for it are kept.
func (t *Tracker) liftPart(d Digest, now time.Duration) (wasQuarantined bool) {
	t.lifts.add(d, now)
	p := t.parts
	s := p.suspects[d]
	if s == nil {
		return false
	}
	wasQuarantined = s.holdUntil > now
	if s.release(); len(s.crashes) == 0 {
		p.drop(s)
	}
	return wasQuarantined
}

// holdOf returns the hold of a part, and false if it isn't quarantined.
func (p *partTable) holdOf(d Digest, now time.Duration) (PartHold, bool) {
	s := p.suspects[d]
	if s == nil || s.holdUntil <= now {
		return PartHold{}, false
	}
	return PartHold{d, s.accounts, s.models, (s.holdUntil - now).Milliseconds(), s.tied, s.provisional}, true
}

// holds lists the holds of all quarantined parts.
func (p *partTable) holds(now time.Duration) (out []PartHold) {
	for d := range p.suspects {
		if h, ok := p.holdOf(d, now); ok {
			out = append(out, h)
		}
	}
	return out
}

// list returns what is recorded of all suspected parts, first those that stay quarantined longest.
func (p *partTable) list(now time.Duration) []PartReport {
	out := make([]PartReport, 0, len(p.suspects))
	for _, s := range p.suspects {
		out = append(out, s.report(now))
	}
	slices.SortFunc(out, func(a, b PartReport) int {
		return cmp.Or(cmp.Compare(b.HeldForMS, a.HeldForMS), cmp.Compare(a.Digest, b.Digest))
	})
	return out
}
