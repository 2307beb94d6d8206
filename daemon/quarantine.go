package daemon

import (
	"context"

	"wigeondale/fleet"
	"wigeondale/peer"
	"wigeondale/placement"
	"wigeondale/quarantine"
	"wigeondale/settings"
)

func (n *node) buildGuard(set *settings.Settings) {
	n.guard = quarantine.NewGuard(quarantine.Config{
		Prober:      cutOffProber{n.newProber(), n.reach},
		Incarnation: func(b fleet.Backend) string { return b.ID + "@" + n.dir.Incarnation(b.ID) },
		Leaving:     n.dir.Leaving,
		Neighbours:  placement.Neighbours(n.dir, n.mon),
		Isolated: func() bool {
			_, linked := n.mesh.RandomNeighbour()
			return !linked && len(n.mesh.Members()) > 1
		},
		// A node that misses this update learns of the quarantine later: from the update that
		// is sent after the next crash, or from the list that it fetches from a neighbour.
		Broadcast: func(m quarantine.Update) { _ = n.mesh.Flood(quarantine.FloodUpdate, m) },
		StartWait: quarantine.DefaultStartWait,
		Log:       n.log,
		Set:       n.set,
	})
	n.guard.SetKey(set.PeerKey())
	peer.HandleFlood(n.mesh, quarantine.FloodUpdate, n.guard.HandleUpdate)
	peer.HandleCall(n.mesh, quarantine.CallHolds, func(_ context.Context, _ string, req quarantine.HoldsRequest) (quarantine.Update, error) {
		return n.guard.CurrentHolds(req), nil
	})
	n.mesh.OnLink(func(node string) { n.guard.SyncHoldsFrom(node, n.callHolds) })
}

// syncHolds fetches what is quarantined from other nodes until ctx ends.
func (n *node) syncHolds(ctx context.Context) error { return n.guard.SyncHolds(ctx, n.fetchHolds) }

func (n *node) fetchHolds(ctx context.Context, req quarantine.HoldsRequest) (u quarantine.Update, from string, ok bool) {
	from, linked := n.mesh.RandomNeighbour()
	if !linked {
		return u, "", false
	}
	u, err := n.callHolds(ctx, from, req)
	return u, from, err == nil // after an error another node is tried soon
}

func (n *node) callHolds(ctx context.Context, from string, req quarantine.HoldsRequest) (quarantine.Update, error) {
	return peer.Call[quarantine.HoldsRequest, quarantine.Update](ctx, n.mesh, from, quarantine.CallHolds, req)
}
