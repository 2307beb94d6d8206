package daemon

import (
	"context"
	"fmt"
	"time"

	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/peer"
)

const (
	// pressureTick is the interval of the tracker's regular work.
	pressureTick = time.Second
	// membersKnownAfter is how long after its start a node may not know all other nodes yet. In
	// that time it uses no share of a limit.
	membersKnownAfter = 5 * time.Second
)

// gate applies what backend servers ask. The directory holds which of them are leaving, since it
// knows their incarnations: here a backend server keeps its id when it starts again.
type gate struct {
	*backpressure.Tracker
	dir *directory.Directory
}

// Permit implements backend.Gate.
func (g gate) Permit(b fleet.Backend, why backend.Purpose, now time.Time) error {
	if why == backend.Work && g.dir.Leaving(b.ID) {
		return fmt.Errorf("%w: %w", backend.ErrWithheld, backpressure.ErrLeaving)
	}
	return g.Tracker.Permit(b, why, now)
}

// Observe implements backend.Gate.
func (g gate) Observe(b fleet.Backend, sentAt, now time.Time, s backend.Statement) {
	if s.Leaving {
		g.dir.MarkLeaving(b.ID, s.Incarnation, directory.FromAnswer)
		s.Leaving = false
	}
	g.Tracker.Observe(b, sentAt, now, s)
}

// buildPressure creates the gate and makes the clients of backend servers use it.
func (n *node) buildPressure() {
	startedAt := time.Now()
	n.pressure = backpressure.New(backpressure.Config{
		Node: n.id,
		Nodes: func() []string {
			if time.Since(startedAt) < membersKnownAfter {
				return nil
			}
			var ids []string
			for _, m := range aliveMembers(n.mesh.Members()) {
				ids = append(ids, m.ID)
			}
			return ids
		},
		// A router that misses an update learns the same from its own answers or trials.
		Broadcast: func(u backpressure.Update) { _ = n.mesh.Flood(backpressure.FloodUpdate, u) },
		Log:       n.log,
		Set:       n.set,
	})
	peer.HandleFlood(n.mesh, backpressure.FloodUpdate, func(from string, u backpressure.Update) {
		n.pressure.HandleUpdate(from, u, time.Now())
	})
	n.engines.Gate = gate{n.pressure, n.dir}
	n.engines.Unknown = backend.NewUnknownHeaders(backend.KnownHeaders(), n.log, n.set)
}

// tickPressure does the regular work of the tracker until ctx ends.
func (n *node) tickPressure(ctx context.Context) error {
	tick := time.NewTicker(pressureTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			n.pressure.Tick(now)
		}
	}
}
