package mirror

import "wigeondale/event"

// DeltaFunc sends a request to one neighbour and returns the neighbour's response.
type DeltaFunc func(DeltaRequest) (Delta, error)

// Pull requests changes from a neighbour and applies them, until the neighbour has nothing
// newer.
//
// If the neighbour doesn't know all removals since this node's revision, Pull requests all
// items from it only while the store is unavailable. Otherwise Pull makes this node read
// the store (CatchUp), which uses no other node's network link. A router that has just
// started knows no earlier removals, so after a start of many routers at once each router
// would otherwise request all items from its neighbours.
func (m *Mirror) Pull(from string, request DeltaFunc) error {
	for {
		before := m.Newest()
		d, err := fetchAll(request, DeltaRequest{After: before, All: m.failing.Load()})
		if err != nil {
			return err
		}
		if d.RemovalsUnknown {
			m.CatchUp()
			return nil
		}
		m.Merge(d)
		now := m.Newest()
		if now == before {
			return nil
		}
		m.cfg.Log.Emit(event.StoreFromPeer, "peer", from, "newest", now, "before", before,
			"items", len(d.Items), "removed", len(d.Removed), "full", d.Full)
	}
}

// fetchAll sends a request and, if the response is the first page of all items, fetches
// the further pages and joins them. Changes made while the pages are fetched are newer
// than the revision of the first page, so the next request fetches these changes.
func fetchAll(request DeltaFunc, req DeltaRequest) (Delta, error) {
	all, err := request(req)
	for d := all; err == nil && d.More && len(d.Items) > 0; {
		req.Last = d.Items[len(d.Items)-1].Key
		if d, err = request(req); err == nil {
			all.Items = append(all.Items, d.Items...)
		}
	}
	return all, err
}
