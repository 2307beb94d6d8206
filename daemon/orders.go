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
	// orderCandidates is how many routers try for the order lease: one may be
	// gone and the key-value service still sees few tries.
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
		Candidate:   n.givesOrders,
		Incarnation: n.dir.Incarnation,
		Random:      rand.Float64,
		Policy:      order.Policy{WeightRate: n.weightRate},
		Events:      n.log,
		Metrics:     n.set,
	})
	return err
}

// givesOrders tells whether this router tries for the order lease.
func (n *node) givesOrders() bool {
	return peer.ContainsSelf(peer.Rendezvous("orders", living(n.mesh.Members()), orderCandidates))
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
