package intent

import (
	"slices"
)

// entryVMs is what a conflict over the last router is about.
const entryVMs = "entry VMs"

// addEntries says what becomes of routers whose VMs are to leave, and refuses a
// plan that takes the last one: with it every caller would be turned away.
func (p *Plan) addEntries(before, after *State, view FleetView) {
	var left []string
	gone := false
	for _, e := range view.Entries {
		if !after.Leaving(e.VM) {
			if !e.Leaving {
				left = append(left, e.VM)
			}
			continue
		}
		if before.Leaving(e.VM) {
			continue
		}
		gone = true
		p.Steps = append(p.Steps, "vm/"+e.VM+": its router fails readiness, takes no new work after the balancer's notice, and finishes its open requests")
	}
	if !gone {
		return
	}
	slices.Sort(left)
	p.Entries = slices.Compact(left)
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

// warnUnknown names VMs that the fleet doesn't have: a misspelt one would be
// accepted and change nothing.
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
