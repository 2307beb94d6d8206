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

// Intents is an operator's request: changes to the desired state.
type Intents struct {
	Changes []Change `json:"changes"`
	// Force allows a plan that leaves a model without a replica, or the fleet without a
	// router.
	Force bool `json:"force,omitempty"`
}

// FleetView is the information about the fleet that planning uses.
type FleetView struct {
	Backends   []fleet.Backend
	Serves     map[string][]fleet.ModelRef // by backend server id
	Weights    map[string]int64            // size in bytes, by ModelRef.String()
	WeightRate int64                       // bytes per second that the weight store allows
	Entries    []EntryVM                   // VMs of the routers
}

// EntryVM is the VM of a router, as listed in the VM list.
type EntryVM struct {
	VM      string
	Leaving bool
}

// Diff shows one object before and after the plan, as JSON; null means that the object
// doesn't exist.
type Diff struct {
	Object string          `json:"object"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// Load is the loading of one model version by one backend server.
type Load struct {
	Backend string         `json:"backend"`
	Ref     fleet.ModelRef `json:"ref"`
	Bytes   int64          `json:"bytes"`
}

// Wave is a set of loads that run at the same time.
type Wave struct {
	Loads   []Load  `json:"loads"`
	Bytes   int64   `json:"bytes"`
	Seconds float64 `json:"seconds"` // at the rate of the weight store
}

// Capacity is the number of replicas of a model version before and after the plan.
type Capacity struct {
	Ref    fleet.ModelRef `json:"ref"`
	Before int            `json:"before"`
	After  int            `json:"after"`
}

// Need lists the VMs of which at least one must stay for a model version.
type Need struct {
	Ref fleet.ModelRef `json:"ref"`
	VMs []string       `json:"vms"`
}

// Plan is the result of planning. It is self-contained: any node can confirm it.
type Plan struct {
	ID            string     `json:"id"`
	Base          uint64     `json:"base"`
	Operator      string     `json:"operator"`
	Force         bool       `json:"force,omitempty"`
	Changes       []Change   `json:"changes"`
	Derived       int        `json:"derived"` // number of Changes at the end of the list that planning added
	Diffs         []Diff     `json:"diffs"`
	Steps         []string   `json:"steps"`
	Waves         []Wave     `json:"waves,omitempty"`
	WeightBytes   int64      `json:"weight_bytes"`
	WeightSeconds float64    `json:"weight_seconds"`
	CapacityLeft  []Capacity `json:"capacity_left,omitempty"`
	Needs         []Need     `json:"needs,omitempty"`
	Entries       []string   `json:"entries,omitempty"`   // entry VMs of which at least one must stay
	Conflicts     []Conflict `json:"conflicts,omitempty"` // a plan with any conflict can't be confirmed
	Warnings      []string   `json:"warnings,omitempty"`
}

// MakePlan returns the plan for a request in state s. The nonce makes equal plans
// distinct, so that the same request made later is a new change. MakePlan changes
// nothing.
func MakePlan(s *State, view FleetView, operator, nonce string, in Intents) Plan {
	p := Plan{Base: s.Revision, Operator: operator, Force: in.Force}
	p.Changes = slices.Clone(in.Changes)
	if err := s.Check(p.Changes); err != nil {
		p.Conflicts = []Conflict{conflictOf(err)}
		p.ID = planID(p, nonce)
		return p
	}
	derived := derivePlacements(s, view, p.Changes)
	p.Changes = append(p.Changes, derived...)
	p.Derived = len(derived)
	after := s.clone()
	after.Revision++
	for _, c := range p.Changes {
		p.Diffs = append(p.Diffs, Diff{Object: c.Object(), Before: asJSON(redactedObject(s.Current(c)))})
		after.applyChange(c)
	}
	for i, c := range p.Changes {
		p.Diffs[i].After = asJSON(redactedObject(after.Current(c)))
	}
	p.addLoads(after, view)
	p.addCapacity(s, after, view)
	p.addSteps()
	p.addEntries(s, after, view)
	p.warnUnknown(view)
	p.ID = planID(p, nonce)
	return p
}

// Refused reports whether the plan has conflicts and therefore can't be confirmed.
func (p Plan) Refused() bool { return len(p.Conflicts) > 0 }

// Requested returns the changes that the operator requested.
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

// addCapacity counts replicas and refuses a plan that removes a model's last one.
func (p *Plan) addCapacity(before, after *State, view FleetView) {
	refs := servedRefs(after, view)
	for _, ref := range refs {
		vmsBefore := replicas(before, view, ref)
		vms := replicas(after, view, ref)
		p.CapacityLeft = append(p.CapacityLeft, Capacity{Ref: ref, Before: len(vmsBefore), After: len(vms)})
		if !receivesTraffic(after, ref) {
			continue
		}
		if len(vms) == len(vmsBefore) {
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

// receivesTraffic reports whether requests may go to ref: it has a share of its model's
// traffic, or no traffic split is set for the model.
func receivesTraffic(s *State, ref fleet.ModelRef) bool {
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

// replicas returns the VMs that serve ref, or will serve it by their placement, except VMs
// that are leaving.
func replicas(s *State, view FleetView, ref fleet.ModelRef) []string {
	var vms []string
	for _, b := range view.Backends {
		if b.Leaving || s.Leaving(b.VM) {
			continue
		}
		if slices.Contains(desiredOrServed(s, view, b.ID), ref) {
			vms = append(vms, b.VM)
		}
	}
	return vms
}

// desiredOrServed returns the versions that a backend server is to have loaded: the
// versions of its placement or, if it has no placement, the versions that it reports as
// served.
func desiredOrServed(s *State, view FleetView, backend string) []fleet.ModelRef {
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
