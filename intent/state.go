// Package intent holds the desired state of the fleet and how it changes:
// operators' intents become plans, a confirmed plan becomes the next revision
// of an append-only log, and the Keeper holds the newest state on each node.
//
// The failures guarded against: operators racing (the create of a log entry has
// one winner), a lost answer to a confirm (settled by reading the entry back), a
// node that was paused or cut off acting on an old state (Fresh), and a node
// going back to an older revision (only revision n+1 is applied to n).
package intent

import (
	"maps"

	"wigeondale/fleet"
)

// HistoryWindow is how many revisions a state remembers plans and touched
// objects for. A plan whose base is older is refused, so that forgetting a
// plan's id can never let it be accepted twice.
const HistoryWindow = 1024

// State is the desired state at one revision. It is never changed in place.
type State struct {
	Revision  uint64               `json:"revision"`
	Accounts  map[string]Account   `json:"accounts"`
	Access    map[string]Access    `json:"access"`    // by account/model
	Traffic   map[string]Traffic   `json:"traffic"`   // by model
	VMs       map[string]VMIntent  `json:"vms"`       // by VM id
	Placement map[string]Placement `json:"placement"` // by backend server id
	// Touched is the last revision that changed each object, removed ones too.
	Touched map[string]uint64 `json:"touched,omitempty"`
	// Plans is the revision that each plan was accepted as.
	Plans map[string]uint64 `json:"plans,omitempty"`
}

// Account is a client account and its limits.
type Account struct {
	ID              string   `json:"id"`
	KeyHashes       []string `json:"key_hashes"` // SHA-256 of each API key, lower-case hex
	TokensPerSecond float64  `json:"tokens_per_second"`
	Burst           float64  `json:"burst"` // tokens
	MaxConcurrent   int      `json:"max_concurrent"`
}

// Access lets a client account use a model. Empty lists mean all.
type Access struct {
	Account  string   `json:"account"`
	Model    string   `json:"model"`
	Versions []string `json:"versions,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
}

// Weight is one version's share of a model's traffic.
type Weight struct {
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	Percent int    `json:"percent"`
}

// Traffic splits a model's traffic over its versions.
type Traffic struct {
	Model    string   `json:"model"`
	Weights  []Weight `json:"weights"`
	Priority string   `json:"priority"` // default class: batch or interactive
	// Previous is the split in force before, set by Apply: it is used for
	// versions that no backend server serves yet.
	Previous []Weight `json:"previous,omitempty"`
}

// Effective returns the split to use now. A version that isn't serving yet
// would get requests that nobody can answer; until it is, its share stays with
// the split that was in force before.
func (t Traffic) Effective(serving func(fleet.ModelRef) bool) []Weight {
	out := make([]Weight, 0, len(t.Weights))
	for _, w := range t.Weights {
		if w.Percent == 0 {
			continue
		}
		if !serving(t.ref(w)) && len(t.Previous) > 0 {
			return t.Previous
		}
		out = append(out, w)
	}
	return out
}

func (t Traffic) ref(w Weight) fleet.ModelRef {
	return fleet.ModelRef{Model: t.Model, Version: w.Version, Adapter: w.Adapter}
}

// VMIntent says whether a VM shall leave.
type VMIntent struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

// Placement is what one backend server shall have loaded.
type Placement struct {
	Backend string           `json:"backend"`
	Desired []fleet.ModelRef `json:"desired"`
	Role    string           `json:"role,omitempty"` // both, prefill or decode
}

// NewState returns the state before the first revision.
func NewState() *State {
	return (&State{}).filled()
}

// filled replaces nil maps, which decoding leaves behind.
func (s *State) filled() *State {
	s.Accounts = orEmpty(s.Accounts)
	s.Access = orEmpty(s.Access)
	s.Traffic = orEmpty(s.Traffic)
	s.VMs = orEmpty(s.VMs)
	s.Placement = orEmpty(s.Placement)
	s.Touched = orEmpty(s.Touched)
	s.Plans = orEmpty(s.Plans)
	return s
}

func orEmpty[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return m
}

func (s *State) clone() *State {
	c := *s
	c.Accounts = maps.Clone(s.Accounts)
	c.Access = maps.Clone(s.Access)
	c.Traffic = maps.Clone(s.Traffic)
	c.VMs = maps.Clone(s.VMs)
	c.Placement = maps.Clone(s.Placement)
	c.Touched = maps.Clone(s.Touched)
	c.Plans = maps.Clone(s.Plans)
	return &c
}

// Allows reports whether an account may use a model, version and adapter.
func (s *State) Allows(account string, ref fleet.ModelRef) bool {
	a, ok := s.Access[account+"/"+ref.Model]
	if !ok {
		return false
	}
	return listed(a.Versions, ref.Version) && (ref.Adapter == "" || listed(a.Adapters, ref.Adapter))
}

func listed(list []string, v string) bool {
	if len(list) == 0 {
		return true
	}
	for _, l := range list {
		if l == v {
			return true
		}
	}
	return false
}

// Leaving reports whether an operator has said that a VM shall leave.
func (s *State) Leaving(vm string) bool { return s.VMs[vm].Leaving }
