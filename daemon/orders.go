package daemon

import (
	"math/rand/v2"

	"wigeondale/fleet"
	"wigeondale/order"
	"wigeondale/peer"
	"wigeondale/settings"
)

const (
	orderPrefix = "wigeondale/orders/"
	// orderCandidates is the number of routers that try to get the order lease, which
	// allows its holder alone to send orders to backend servers. With two candidates, one
	// may be down and the lease is still taken, and the key-value service still gets few
	// attempts.
	orderCandidates = 2
)

func (n *node) buildOrders(*settings.Settings) error {
	var err error
	n.orders, err = order.New(order.Config{
		Lease:       order.NewLease(n.kv, orderPrefix, n.id),
		Backends:    order.NewBackends(n.engines),
		State:       n.keeper.State,
		UpToDate:    n.keeper.UpToDate,
		List:        n.engineList,
		Sizes:       n.placedSizes,
		Candidate:   n.isOrderCandidate,
		Incarnation: n.dir.Incarnation,
		Random:      rand.Float64,
		Policy:      order.Policy{WeightRate: n.weightRate},
		Events:      n.log,
		Metrics:     n.set,
	})
	return err
}

// isOrderCandidate reports whether this router is one of the orderCandidates routers that
// try to get the order lease. They are chosen by rendezvous hash among the alive routers.
func (n *node) isOrderCandidate() bool {
	return peer.ContainsSelf(peer.Rendezvous("orders", aliveMembers(n.mesh.Members()), orderCandidates))
}

func (n *node) engineList() []fleet.Backend {
	var out []fleet.Backend
	for _, id := range n.dir.IDs() {
		if b, ok := n.dir.Backend(id); ok && b.Kind == fleet.Engine {
			out = append(out, b)
		}
	}
	return out
}
