// Package intent contains the desired state of the fleet and its changes. Operators'
// requests (Intents) become plans, a confirmed plan becomes the next revision of an
// append-only log, and the Keeper of each node stores the newest state that the node knows.
//
// The package guards against four failures. When operators confirm plans at the same time,
// only one of them can create the next log entry. When the response to a confirmation is
// lost, the log is read again to find out whether the entry was created. A node that was
// paused or disconnected doesn't act on an old state until the node has confirmed that
// state (Ready). A node doesn't go back to an older revision: only revision n+1 is applied
// to revision n.
package intent

import (
	"maps"

	"wigeondale/fleet"
)

// HistoryWindow is the number of revisions for which a state remembers accepted plans and
// changed objects. A plan whose base is older is refused, so that a plan whose id has been
// dropped from the history can't be accepted a second time.
const HistoryWindow = 1024

// State is the desired state at one revision. A State that the Keeper has published is not
// modified.
type State struct {
	Revision  uint64               `json:"revision"`
	Accounts  map[string]Account   `json:"accounts"`
	Access    map[string]Access    `json:"access"`    // by account/model
	Traffic   map[string]Traffic   `json:"traffic"`   // by model
	VMs       map[string]VMIntent  `json:"vms"`       // by VM id
	Placement map[string]Placement `json:"placement"` // by backend server id
	// Touched maps each object, including removed objects, to the last revision that
	// changed it.
	Touched map[string]uint64 `json:"touched,omitempty"`
	// Plans maps the id of each accepted plan to the revision that the plan became.
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

// Access allows a client account to use a model. An empty list allows all versions or
// adapters.
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

// Traffic splits a model's requests between its versions.
type Traffic struct {
	Model    string   `json:"model"`
	Weights  []Weight `json:"weights"`
	Priority string   `json:"priority"` // default priority class: batch or interactive
	// Previous is the split before this one; Apply sets it. Previous is used until every
	// version that has a share in Weights is served by some backend server.
	Previous []Weight `json:"previous,omitempty"`
}

// Effective returns the split to use now. Requests for a version that isn't served yet
// could not be answered, so the previous split stays in use until all versions with a
// share are served.
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

// VMIntent is an operator's decision whether a VM is to leave the fleet.
type VMIntent struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

// Placement is the set of model versions that one backend server is to have loaded.
type Placement struct {
	Backend string           `json:"backend"`
	Desired []fleet.ModelRef `json:"desired"`
	Role    string           `json:"role,omitempty"` // both, prefill or decode
}

// NewState returns the state before the first revision.
func NewState() *State {
	return (&State{}).filled()
}

// filled replaces nil maps, which decoding produces for absent ones, by empty maps.
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
	return allowedBy(a.Versions, ref.Version) && (ref.Adapter == "" || allowedBy(a.Adapters, ref.Adapter))
}

func allowedBy(list []string, v string) bool {
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

// Leaving reports whether an operator has decided that a VM is to leave the fleet.
func (s *State) Leaving(vm string) bool { return s.VMs[vm].Leaving }
