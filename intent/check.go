package intent

import (
	"encoding/hex"
	"slices"
	"strings"

	"wigeondale/fleet"
)

// These limits of one plan keep a revision far below the key-value service's limit of 1 MB
// for a value.
const (
	MaxChanges = 2000
	MaxName    = 128 // bytes in an id
)

// Check reports whether changes are valid in state s, applied in their order. It
// returns the first invalid one as an *InvalidError.
func (s *State) Check(changes []Change) error {
	if len(changes) == 0 {
		return &InvalidError{Object: "plan", Reason: "no changes"}
	}
	if len(changes) > MaxChanges {
		return &InvalidError{Object: "plan", Reason: "too many changes"}
	}
	next := s.clone()
	next.Revision++
	seen := map[string]bool{}
	for _, c := range changes {
		object := c.Object()
		if object == "" {
			return &InvalidError{Object: "change of kind " + string(c.Kind), Reason: "unknown kind, or the field of that name is missing"}
		}
		reason := next.invalidReason(c)
		if seen[object] {
			reason = "changed twice in one plan"
		}
		if reason != "" {
			return &InvalidError{Object: object, Reason: reason}
		}
		seen[object] = true
		next.applyChange(c)
	}
	return next.checkReferences()
}

// checkReferences returns an *InvalidError if the client account of an access rule doesn't
// exist.
func (s *State) checkReferences() error {
	for key, a := range s.Access {
		if _, ok := s.Accounts[a.Account]; !ok {
			return &InvalidError{Object: "access/" + key, Reason: "unknown client account " + a.Account}
		}
	}
	return nil
}

func (s *State) invalidReason(c Change) string {
	if c.Op != Set && c.Op != Remove {
		return "op must be set or remove"
	}
	if c.Op == Remove {
		if s.Current(c) == nil {
			return "there is none to remove"
		}
		return ""
	}
	switch c.Kind {
	case KindAccount:
		return invalidAccount(*c.Account)
	case KindAccess:
		return s.invalidAccess(*c.Access)
	case KindTraffic:
		return invalidTraffic(*c.Traffic)
	case KindVM:
		return invalidName(c.VM.VM)
	}
	return invalidPlacement(*c.Placement)
}

func invalidName(name string) string {
	if name == "" || len(name) > MaxName {
		return "id must have 1 to 128 bytes"
	}
	if strings.ContainsAny(name, "/ \t\r\n") {
		return "id must not hold a slash or space"
	}
	return ""
}

func invalidAccount(a Account) string {
	if r := invalidName(a.ID); r != "" {
		return r
	}
	if len(a.KeyHashes) == 0 {
		return "at least one key hash is needed"
	}
	for _, h := range a.KeyHashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != 32 || h != strings.ToLower(h) {
			return "key hash must be the SHA-256 of the API key in 64 lower-case hex digits"
		}
	}
	if a.TokensPerSecond < 0 || a.Burst < 0 || a.MaxConcurrent < 0 {
		return "limits must not be negative"
	}
	return ""
}

func (s *State) invalidAccess(a Access) string {
	if _, ok := s.Accounts[a.Account]; !ok {
		return "unknown client account " + a.Account
	}
	return invalidName(a.Model)
}

func invalidTraffic(t Traffic) string {
	if r := invalidName(t.Model); r != "" {
		return r
	}
	if _, err := fleet.ParsePriority(t.Priority); err != nil && t.Priority != "" {
		return err.Error()
	}
	sum := 0
	var seen []fleet.ModelRef
	for _, w := range t.Weights {
		if r := invalidName(w.Version); r != "" {
			return "version: " + r
		}
		if w.Percent < 0 || w.Percent > 100 {
			return "percent must be 0 to 100"
		}
		if slices.Contains(seen, t.ref(w)) {
			return "version " + w.Version + " is listed twice"
		}
		seen = append(seen, t.ref(w))
		sum += w.Percent
	}
	if sum != 100 {
		return "weights must sum to 100"
	}
	return ""
}

func invalidPlacement(p Placement) string {
	if r := invalidName(p.Backend); r != "" {
		return r
	}
	for _, ref := range p.Desired {
		if ref.Model == "" || ref.Version == "" {
			return "model and version are needed"
		}
	}
	switch p.Role {
	case "", "both", "prefill", "decode":
		return ""
	}
	return "role must be both, prefill or decode"
}

// Conflicts compares a plan with a state that may be newer than the plan's base. If
// Conflicts returns none, the plan's changes may be appended as the next revision.
func (s *State) Conflicts(p Plan) []Conflict {
	if p.Base > s.Revision {
		return []Conflict{{Object: "plan", Reason: "its base is newer than this state"}}
	}
	if s.Revision-p.Base >= HistoryWindow {
		return []Conflict{{Object: "plan", Reason: "its base is too old to compare"}}
	}
	var out []Conflict
	for _, c := range p.Changes {
		n := s.Touched[c.Object()]
		if n > p.Base {
			out = append(out, Conflict{Object: c.Object(), Revision: n, Reason: "changed since the plan was made"})
		}
	}
	if len(out) > 0 {
		return out
	}
	if err := s.Check(p.Changes); err != nil {
		return []Conflict{conflictOf(err)}
	}
	return s.lostReplicas(p)
}

func conflictOf(err error) Conflict {
	if inv, ok := err.(*InvalidError); ok {
		return Conflict{Object: inv.Object, Reason: inv.Reason}
	}
	return Conflict{Object: "plan", Reason: err.Error()}
}

// lostReplicas finds models that would lose their last replica, and a fleet that would lose
// its last router. When a model has replicas on two VMs and each of two plans removes one of
// the VMs, the plans change no common object, but together they would remove every replica.
// A plan that changes the number of a model's replicas therefore lists the VMs of which at
// least one must stay for the model; a plan that removes routers lists such VMs for the
// routers. The plan is refused if all VMs of one of these lists are leaving by now.
func (s *State) lostReplicas(p Plan) []Conflict {
	if p.Force {
		return nil
	}
	var out []Conflict
	stays := func(vm string) bool { return !s.Leaving(vm) }
	if len(p.Entries) > 0 && !slices.ContainsFunc(p.Entries, stays) {
		out = append(out, Conflict{Object: entryVMs, Reason: "every entry VM that the plan left is leaving by now"})
	}
	for _, need := range p.Needs {
		if !slices.ContainsFunc(need.VMs, stays) {
			out = append(out, Conflict{Object: "model/" + need.Ref.String(), Reason: "every VM that the plan left it on is leaving by now"})
		}
	}
	return out
}
