package intent

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"wigeondale/fleet"
)

// Intents is what an operator asks for.
type Intents struct {
	Changes []Change `json:"changes"`
	// Force allows a plan that leaves a model with no replica.
	Force bool `json:"force,omitempty"`
}

// FleetView is what planning needs to know of the fleet.
type FleetView struct {
	Backends   []fleet.Backend
	Serves     map[string][]fleet.ModelRef // by backend server id
	Weights    map[string]int64            // bytes, by ModelRef.String()
	WeightRate int64                       // bytes per second that the weight store grants
	Entries    []EntryVM                   // VMs of the routers
}

// EntryVM is the VM of a router as the VM list shows it.
type EntryVM struct {
	VM      string
	Leaving bool
}

// Diff shows one object before and after, as JSON; null means none.
type Diff struct {
	Object string          `json:"object"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// Load is one backend server's loading of one model version.
type Load struct {
	Backend string         `json:"backend"`
	Ref     fleet.ModelRef `json:"ref"`
	Bytes   int64          `json:"bytes"`
}

// Wave is a set of loads that run together.
type Wave struct {
	Loads   []Load  `json:"loads"`
	Bytes   int64   `json:"bytes"`
	Seconds float64 `json:"seconds"` // at the weight store's rate
}

// Capacity is how many replicas serve a model version before and after.
type Capacity struct {
	Ref    fleet.ModelRef `json:"ref"`
	Before int            `json:"before"`
	After  int            `json:"after"`
}

// Need names the VMs of which one at least must stay for a model version.
type Need struct {
	Ref fleet.ModelRef `json:"ref"`
	VMs []string       `json:"vms"`
}

// Plan is the answer to intents. It is complete in itself: any node can confirm it.
type Plan struct {
	ID            string     `json:"id"`
	Base          uint64     `json:"base"`
	Operator      string     `json:"operator"`
	Force         bool       `json:"force,omitempty"`
	Changes       []Change   `json:"changes"`
	Derived       int        `json:"derived"` // how many of Changes, at their end, planning added
	Diffs         []Diff     `json:"diffs"`
	Steps         []string   `json:"steps"`
	Waves         []Wave     `json:"waves,omitempty"`
	WeightBytes   int64      `json:"weight_bytes"`
	WeightSeconds float64    `json:"weight_seconds"`
	CapacityLeft  []Capacity `json:"capacity_left,omitempty"`
	Needs         []Need     `json:"needs,omitempty"`
	Entries       []string   `json:"entries,omitempty"`   // entry VMs of which one at least must stay
	Conflicts     []Conflict `json:"conflicts,omitempty"` // a plan with any can't be confirmed
	Warnings      []string   `json:"warnings,omitempty"`
}

// MakePlan answers intents at state s. The nonce makes two equal plans distinct,
// so that asking again later is a new change. It changes nothing.
func MakePlan(s *State, view FleetView, operator, nonce string, in Intents) Plan {
	p := Plan{Base: s.Revision, Operator: operator, Force: in.Force}
	p.Changes = slices.Clone(in.Changes)
	if err := s.Check(p.Changes); err != nil {
		p.Conflicts = []Conflict{conflictOf(err)}
		p.ID = planID(p, nonce)
		return p
	}
	derived := placements(s, view, p.Changes)
	p.Changes = append(p.Changes, derived...)
	p.Derived = len(derived)
	after := s.clone()
	after.Revision++
	for _, c := range p.Changes {
		p.Diffs = append(p.Diffs, Diff{Object: c.Object(), Before: asJSON(shown(s.Current(c)))})
		after.change(c)
	}
	for i, c := range p.Changes {
		p.Diffs[i].After = asJSON(shown(after.Current(c)))
	}
	p.addLoads(after, view)
	p.addCapacity(s, after, view)
	p.addSteps()
	p.addEntries(s, after, view)
	p.warnUnknown(view)
	p.ID = planID(p, nonce)
	return p
}

// Refused reports whether the plan can't be confirmed as it stands.
func (p Plan) Refused() bool { return len(p.Conflicts) > 0 }

// Requested returns the changes that the operator asked for.
func (p Plan) Requested() []Change { return p.Changes[:max(0, len(p.Changes)-p.Derived)] }

// Revision returns the log entry that accepts the plan as revision n.
func (p Plan) Revision(n uint64) Revision {
	return Revision{N: n, PlanID: p.ID, Operator: p.Operator, Base: p.Base, Changes: p.Changes}
}

func asJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}

func planID(p Plan, nonce string) string {
	sum := sha256.Sum256(append(asJSON(p), nonce...))
	return "p-" + hex.EncodeToString(sum[:12])
}

// addCapacity counts replicas and refuses a plan that takes a model's last one.
func (p *Plan) addCapacity(before, after *State, view FleetView) {
	refs := servedRefs(after, view)
	for _, ref := range refs {
		was := replicas(before, view, ref)
		vms := replicas(after, view, ref)
		p.CapacityLeft = append(p.CapacityLeft, Capacity{Ref: ref, Before: len(was), After: len(vms)})
		if !wanted(after, ref) {
			continue
		}
		if len(vms) == len(was) {
			if len(vms) == 0 {
				p.Warnings = append(p.Warnings, "model/"+ref.String()+": no backend server serves it yet")
			}
			continue
		}
		if len(vms) > 0 {
			p.Needs = append(p.Needs, Need{Ref: ref, VMs: vms})
			continue
		}
		reason := "no replica would be left"
		if p.Force {
			p.Warnings = append(p.Warnings, "model/"+ref.String()+": "+reason+" (forced)")
			continue
		}
		p.Conflicts = append(p.Conflicts, Conflict{Object: "model/" + ref.String(), Reason: reason + "; use force to go on"})
	}
}

// wanted reports whether requests may go to ref: it has a share of its model's
// traffic, or nobody has said how the model's traffic is split.
func wanted(s *State, ref fleet.ModelRef) bool {
	if _, ok := s.Traffic[ref.Model]; !ok {
		return true
	}
	return slices.Contains(s.Models(), ref)
}

func servedRefs(after *State, view FleetView) []fleet.ModelRef {
	refs := after.Models()
	for _, served := range view.Serves {
		refs = append(refs, served...)
	}
	slices.SortFunc(refs, func(a, b fleet.ModelRef) int { return cmp.Compare(a.String(), b.String()) })
	return slices.Compact(refs)
}

// replicas lists the VMs that serve ref, or will by their placement, and stay.
func replicas(s *State, view FleetView, ref fleet.ModelRef) []string {
	var vms []string
	for _, b := range view.Backends {
		if b.Leaving || s.Leaving(b.VM) {
			continue
		}
		if slices.Contains(held(s, view, b.ID), ref) {
			vms = append(vms, b.VM)
		}
	}
	return vms
}

// held is what a backend server shall have loaded: its placement if there is
// one, else what it reports to serve.
func held(s *State, view FleetView, backend string) []fleet.ModelRef {
	if p, ok := s.Placement[backend]; ok {
		return p.Desired
	}
	return view.Serves[backend]
}

func (p *Plan) addSteps() {
	for i, w := range p.Waves {
		p.Steps = append(p.Steps, fmt.Sprintf("wave %d: load %d model versions, %d bytes, about %.0f s", i+1, len(w.Loads), w.Bytes, w.Seconds))
	}
	if len(p.Waves) > 0 {
		p.Steps = append(p.Steps, "traffic moves to each new version once it is serving; old versions are unloaded after that")
	}
	for _, c := range p.Changes {
		if c.Kind == KindPlacement {
			continue
		}
		p.Steps = append(p.Steps, string(c.Op)+" "+c.Object())
	}
}
