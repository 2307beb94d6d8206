package intent

import (
	"slices"
)

// entryVMs is the object that a conflict names when a plan would remove the last router.
const entryVMs = "entry VMs"

// addEntries adds a step for each router whose VM is to leave, lists the VMs of the routers
// that remain, and refuses a plan that removes the last router, because the fleet would
// then reject every client.
func (p *Plan) addEntries(before, after *State, view FleetView) {
	var remaining []string
	removed := false
	for _, e := range view.Entries {
		if !after.Leaving(e.VM) {
			if !e.Leaving {
				remaining = append(remaining, e.VM)
			}
			continue
		}
		if before.Leaving(e.VM) {
			continue
		}
		removed = true
		p.Steps = append(p.Steps, "vm/"+e.VM+": its router fails readiness, takes no new work after the balancer's notice, and finishes its open requests")
	}
	if !removed {
		return
	}
	slices.Sort(remaining)
	p.Entries = slices.Compact(remaining)
	if len(p.Entries) > 0 {
		return
	}
	const reason = "no entry VM would be left"
	if p.Force {
		p.Warnings = append(p.Warnings, entryVMs+": "+reason+" (forced)")
		return
	}
	p.Conflicts = append(p.Conflicts, Conflict{Object: entryVMs, Reason: reason + "; use force to go on"})
}

// warnUnknown warns about VMs that the fleet doesn't have, because a plan with a misspelt
// id would be accepted and have no effect.
func (p *Plan) warnUnknown(view FleetView) {
	known := map[string]bool{}
	for _, e := range view.Entries {
		known[e.VM] = true
	}
	for _, b := range view.Backends {
		known[b.VM] = true
	}
	for _, c := range p.Changes {
		if c.Kind == KindVM && c.Op == Set && !known[c.VM.VM] {
			p.Warnings = append(p.Warnings, c.Object()+": no such VM is known")
		}
	}
}
