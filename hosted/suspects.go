package hosted

import (
	"context"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/placement"
	"wigeondale/quarantine"
)

// looker finds out whether replicas have ended, also where another lifetime listens at
// the address. It implements quarantine.Prober.
type looker struct {
	backend.Prober
	ask inquirer
}

// Probe implements quarantine.Prober.
func (l looker) Probe(ctx context.Context, b fleet.Backend) quarantine.State {
	state := l.Prober.Probe(ctx, b)
	if state != quarantine.Working || b.Incarnation.StartedAt == 0 {
		return state
	}
	if report, err := l.ask.replicas.Runs(ctx, b); err == nil && report.Restarted {
		return quarantine.Exited
	}
	return state
}

func (n *node) newGuard(ask inquirer) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{
		Prober:     looker{ask: ask},
		Leaving:    n.dir.Leaving,
		Neighbours: placement.Neighbours(n.dir, n.mon),
		Isolated:   n.peers.cutOff,
		Broadcast:  n.peers.tellSuspects,
		OnHold:     n.holds.held,
		OnLift:     n.holds.lifted,
		Log:        n.log,
		Set:        n.meter,
	})
}

// cutOff tells whether other nodes are registered and none is linked.
func (p *peers) cutOff() bool {
	if p.nodes() <= 1 {
		return false
	}
	mesh := p.joined()
	if mesh == nil {
		return true
	}
	_, linked := mesh.RandomNeighbour()
	return !linked
}

// tellSuspects sends news of suspected requests to all nodes.
func (p *peers) tellSuspects(m quarantine.Update) {
	if mesh := p.joined(); mesh != nil {
		// A node that misses it hears of the next crash, or reads of the hold in the store.
		_ = mesh.Flood(quarantine.FloodUpdate, m)
	}
}
