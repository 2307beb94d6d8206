package daemon

import (
	"context"
	"time"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/fleet"
	"wigeondale/peer"
	"wigeondale/placement"
	"wigeondale/quarantine"
	"wigeondale/settings"
)

const (
	// callHeld asks another node for the requests that are held back.
	callHeld = "quarantine.held"
	// heldEvery is how often a node asks one other for them, and heldSoon how soon it asks
	// again after its start until one has answered.
	heldEvery = time.Minute
	heldSoon  = 200 * time.Millisecond
)

func (n *node) buildGuard(set *settings.Settings) {
	n.guard = quarantine.NewGuard(quarantine.Config{
		Prober:      backend.Prober{},
		Incarnation: func(b fleet.Backend) string { return b.ID + "@" + n.dir.Incarnation(b.ID) },
		Leaving:     n.dir.Leaving,
		Neighbours:  placement.Neighbours(n.dir, n.mon),
		Isolated: func() bool {
			_, linked := n.mesh.RandomNeighbour()
			return !linked && len(n.mesh.Members()) > 1
		},
		// A node that misses news hears of the next crash, or asks for what is held.
		Broadcast: func(m quarantine.Update) { _ = n.mesh.Flood(quarantine.FloodUpdate, m) },
		Log:       n.log,
		Set:       n.set,
	})
	n.guard.SetKey(set.PeerKey())
	peer.HandleFlood(n.mesh, quarantine.FloodUpdate, n.guard.HandleUpdate)
	peer.HandleCall(n.mesh, callHeld, func(context.Context, string, struct{}) (quarantine.Update, error) {
		return quarantine.Update{Holds: n.guard.Holds()}, nil
	})
}

// learnHeld asks other nodes for the requests that are held back, until ctx ends: a node that
// starts, or was cut off, has missed the news.
func (n *node) learnHeld(ctx context.Context) error {
	wait := heldSoon
	for clock.Sleep(ctx, wait) {
		if n.askHeld(ctx) {
			wait = heldEvery
		}
	}
	return nil
}

func (n *node) askHeld(ctx context.Context) bool {
	other, linked := n.mesh.RandomNeighbour()
	if !linked {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, heldSoon)
	defer stop()
	news, err := peer.Call[struct{}, quarantine.Update](ctx, n.mesh, other, callHeld, struct{}{})
	if err != nil {
		return false // another is asked soon
	}
	n.guard.HandleUpdate(other, news)
	return true
}
