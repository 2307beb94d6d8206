package intent

import (
	"wigeondale/fleet"
)

// Kind is the kind of object that a change applies to.
type Kind string

// The kinds of objects that operators change.
const (
	KindAccount   Kind = "account"
	KindAccess    Kind = "access"
	KindTraffic   Kind = "traffic"
	KindVM        Kind = "vm"
	KindPlacement Kind = "placement"
)

// Op is the operation of a change on its object.
type Op string

// The operations of a change.
const (
	Set    Op = "set"
	Remove Op = "remove"
)

// Change sets or removes one object. Kind names the one field that is set; a removal uses
// only the identifying fields of that object.
type Change struct {
	Kind      Kind       `json:"kind"`
	Op        Op         `json:"op"`
	Account   *Account   `json:"account,omitempty"`
	Access    *Access    `json:"access,omitempty"`
	Traffic   *Traffic   `json:"traffic,omitempty"`
	VM        *VMIntent  `json:"vm,omitempty"`
	Placement *Placement `json:"placement,omitempty"`
}

// Object identifies the object that is changed, as in "account/acme". Two changes overlap
// when their objects are equal. The result is empty for a malformed change.
func (c Change) Object() string {
	switch {
	case c.Kind == KindAccount && c.Account != nil:
		return "account/" + c.Account.ID
	case c.Kind == KindAccess && c.Access != nil:
		return "access/" + c.Access.Account + "/" + c.Access.Model
	case c.Kind == KindTraffic && c.Traffic != nil:
		return "traffic/" + c.Traffic.Model
	case c.Kind == KindVM && c.VM != nil:
		return "vm/" + c.VM.VM
	case c.Kind == KindPlacement && c.Placement != nil:
		return "placement/" + c.Placement.Backend
	}
	return ""
}

// Revision is one entry of the log: the changes of a confirmed plan.
type Revision struct {
	N        uint64   `json:"n"`
	PlanID   string   `json:"plan_id"`
	Operator string   `json:"operator"`
	Base     uint64   `json:"base"` // revision of the state that the plan was made for
	Changes  []Change `json:"changes"`
}

// Apply returns the state after r, which must be the next revision. A change of a kind
// that this build doesn't know is skipped, so that it doesn't block all later
// revisions.
func (s *State) Apply(r Revision) (*State, error) {
	if r.N != s.Revision+1 {
		return nil, Error.New("%w: revision %d after %d", ErrGap, r.N, s.Revision)
	}
	next := s.clone()
	next.Revision = r.N
	for _, c := range r.Changes {
		next.applyChange(c)
	}
	if r.PlanID != "" {
		next.Plans[r.PlanID] = r.N
	}
	next.dropOldHistory()
	return next, nil
}

func (s *State) applyChange(c Change) {
	object := c.Object()
	if object == "" {
		return
	}
	s.Touched[object] = s.Revision
	set := c.Op == Set
	switch c.Kind {
	case KindAccount:
		setOrDelete(s.Accounts, c.Account.ID, *c.Account, set)
	case KindAccess:
		setOrDelete(s.Access, c.Access.Account+"/"+c.Access.Model, *c.Access, set)
	case KindTraffic:
		t := *c.Traffic
		t.Previous = s.Traffic[t.Model].Weights
		setOrDelete(s.Traffic, t.Model, t, set)
	case KindVM:
		setOrDelete(s.VMs, c.VM.VM, *c.VM, set)
	case KindPlacement:
		setOrDelete(s.Placement, c.Placement.Backend, *c.Placement, set)
	}
}

func setOrDelete[V any](m map[string]V, key string, v V, set bool) {
	if !set {
		delete(m, key)
		return
	}
	m[key] = v
}

// dropOldHistory drops the plans and changed objects that were recorded before the oldest
// base that a plan may still have.
func (s *State) dropOldHistory() {
	if s.Revision <= HistoryWindow {
		return
	}
	oldest := s.Revision - HistoryWindow
	for id, n := range s.Plans {
		if n < oldest {
			delete(s.Plans, id)
		}
	}
	for object, n := range s.Touched {
		if n < oldest {
			delete(s.Touched, object)
		}
	}
}

// Current returns the object that a change would replace, or nil if the state has no such
// object.
func (s *State) Current(c Change) any {
	switch c.Kind {
	case KindAccount:
		return valueOrNil(s.Accounts, c.Account.ID)
	case KindAccess:
		return valueOrNil(s.Access, c.Access.Account+"/"+c.Access.Model)
	case KindTraffic:
		return valueOrNil(s.Traffic, c.Traffic.Model)
	case KindVM:
		return valueOrNil(s.VMs, c.VM.VM)
	case KindPlacement:
		return valueOrNil(s.Placement, c.Placement.Backend)
	}
	return nil
}

func valueOrNil[V any](m map[string]V, key string) any {
	v, ok := m[key]
	if !ok {
		return nil
	}
	return v
}

// Refs returns the model versions that the traffic splits and placements in changes refer
// to.
func Refs(changes []Change) []fleet.ModelRef {
	var refs []fleet.ModelRef
	for _, c := range changes {
		if c.Traffic != nil {
			for _, w := range c.Traffic.Weights {
				refs = append(refs, c.Traffic.ref(w))
			}
		}
		if c.Placement != nil {
			refs = append(refs, c.Placement.Desired...)
		}
	}
	return refs
}

// Models returns every model version that has a share of traffic in the state.
func (s *State) Models() []fleet.ModelRef {
	var refs []fleet.ModelRef
	for _, t := range s.Traffic {
		for _, w := range t.Weights {
			if w.Percent > 0 {
				refs = append(refs, t.ref(w))
			}
		}
	}
	return refs
}
