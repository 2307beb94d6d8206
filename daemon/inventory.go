package daemon

import (
	"context"

	"wigeondale/infra"
	"wigeondale/inventory"
	"wigeondale/peer"
	"wigeondale/settings"
)

const (
	floodInventory        = "inventory.delta"
	callInventoryCompare  = "inventory.compare"
	callInventoryExchange = "inventory.exchange"
)

// inventoryPeers exchanges the inventory with other routers.
type inventoryPeers struct{ mesh *peer.Mesh }

func (p inventoryPeers) Members() []peer.Member    { return p.mesh.Members() }
func (p inventoryPeers) Neighbour() (string, bool) { return p.mesh.RandomNeighbour() }

// Flood broadcasts changes. A router that misses a flood gets the changes later, when
// routers compare the digests of their inventories.
func (p inventoryPeers) Flood(d inventory.Delta) { _ = p.mesh.Flood(floodInventory, d) }

func (p inventoryPeers) Compare(ctx context.Context, node string, d inventory.Digest) (inventory.Digest, error) {
	return peer.Call[inventory.Digest, inventory.Digest](ctx, p.mesh, node, callInventoryCompare, d)
}

func (p inventoryPeers) Exchange(ctx context.Context, node string, b inventory.Batch) (inventory.Batch, error) {
	return peer.Call[inventory.Batch, inventory.Batch](ctx, p.mesh, node, callInventoryExchange, b)
}

func (n *node) buildInventory(set *settings.Settings) error {
	n.inv = inventory.New(inventory.Config{
		Node:          n.id,
		FailureDomain: set.Node.FailureDomain,
		ReadInterval:  millis(set.Directory.VMsPollMS),
		Read:          func(ctx context.Context) ([]inventory.Item, error) { return readItems(ctx, n.vmList) },
		Peers:         inventoryPeers{n.mesh},
		Events:        n.log,
		Metrics:       n.set,
	})
	peer.HandleFlood(n.mesh, floodInventory, func(_ string, d inventory.Delta) { n.inv.HandleFlood(d) })
	peer.HandleCall(n.mesh, callInventoryCompare, func(_ context.Context, _ string, d inventory.Digest) (inventory.Digest, error) {
		return n.inv.Answer(d), nil
	})
	peer.HandleCall(n.mesh, callInventoryExchange, func(_ context.Context, _ string, b inventory.Batch) (inventory.Batch, error) {
		return n.inv.Exchange(b), nil
	})
	n.mesh.OnChange(n.inv.MembersChanged)
	n.mesh.OnLink(func(id string) { n.inv.Sync(context.Background(), id) })
	return nil
}

func readItems(ctx context.Context, list *infra.VMList) ([]inventory.Item, error) {
	all, err := list.List(ctx)
	if err != nil {
		return nil, err
	}
	items := make([]inventory.Item, 0, len(all))
	for _, vm := range all {
		items = append(items, inventory.Item{
			ID: vm.Backend.ID, VM: vm.ID, Addr: vm.Addr, FailureDomain: vm.FailureDomain, Role: vm.Role,
			Service: vm.Backend.Service, ChecksFence: vm.Backend.ChecksFence, Leaving: vm.Leaving,
		})
	}
	return items, nil
}
