package hosted

import (
	"context"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/peer"
	"wigeondale/placement"
	"wigeondale/quarantine"
	"wigeondale/reach"
)

// crashProber finds out whether replicas have crashed, also if another incarnation listens at
// the address of the crashed replica. It implements quarantine.Prober.
type crashProber struct {
	backend.Prober
	querier runQuerier
	reach   *reach.Monitor
}

// Probe implements quarantine.Prober.
func (l crashProber) Probe(ctx context.Context, b fleet.Backend) quarantine.State {
	state := l.Prober.Probe(ctx, b)
	if state == quarantine.Exited && l.reach.CheckCutOff(ctx, b.Service) {
		return quarantine.Unreachable // a link that is cut refuses connections like a crashed replica
	}
	if state != quarantine.Working || b.Incarnation.StartedAt == 0 || l.querier.replicas == nil {
		return state
	}
	if report, err := l.querier.replicas.Runs(ctx, b); err == nil && report.Restarted {
		return quarantine.Exited
	}
	return state
}

// newCrashProber returns a prober that queries replicas for their runs with querier, if it has
// one.
func (n *node) newCrashProber(querier runQuerier) crashProber {
	return crashProber{Prober: backend.Prober{Dial: n.dialReplica}, querier: querier, reach: n.cutOff.reach}
}

func (n *node) newGuard(querier runQuerier) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Config{
		Prober:     n.newCrashProber(querier),
		Leaving:    n.dir.Leaving,
		Neighbours: placement.Neighbours(n.dir, n.mon),
		Isolated:   n.peers.isolated,
		Broadcast:  n.peers.broadcastSuspects,
		OnHold:     n.holds.quarantined,
		OnLift:     n.holds.lifted,
		OnPartHold: n.holds.partQuarantined,
		OnPartLift: n.holds.partLifted,

		OnPartSettled: n.holds.partSettled,
		OnCase:        n.cases.changed,
		StartWait:     quarantine.DefaultStartWait,
		Log:           n.log,
		Set:           n.meter,
	})
}

// isolated reports whether other nodes are registered but this node has a link to none of
// them.
func (p *peers) isolated() bool {
	if p.registeredNodes() <= 1 {
		return false
	}
	mesh := p.currentMesh()
	if mesh == nil {
		return true
	}
	_, linked := mesh.RandomNeighbour()
	return !linked
}

// broadcastSuspects broadcasts an update about suspected requests to all nodes.
func (p *peers) broadcastSuspects(m quarantine.Update) {
	if mesh := p.currentMesh(); mesh != nil {
		// A node that misses the message receives the update after the next crash, or reads
		// the hold from the store.
		_ = mesh.Flood(quarantine.FloodUpdate, m)
	}
}

// syncHolds fetches the holds from other nodes until ctx ends, since the store may have lost a record or may be
// unavailable.
func (n *node) syncHolds(ctx context.Context) error {
	return n.guard.SyncHolds(ctx, n.peers.fetchHolds)
}

func (p *peers) fetchHolds(ctx context.Context, req quarantine.HoldsRequest) (u quarantine.Update, from string, ok bool) {
	mesh := p.currentMesh()
	if mesh == nil {
		return u, "", false
	}
	from, linked := mesh.RandomNeighbour()
	if !linked {
		return u, "", false
	}
	u, err := callHolds(ctx, mesh, from, req)
	return u, from, err == nil
}

func callHolds(ctx context.Context, mesh *peer.Mesh, from string, req quarantine.HoldsRequest) (quarantine.Update, error) {
	return peer.Call[quarantine.HoldsRequest, quarantine.Update](ctx, mesh, from, quarantine.CallHolds, req)
}
