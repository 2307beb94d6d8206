package mirror

import "wigeondale/event"

// DeltaFunc sends a request to one neighbour and returns the neighbour's response.
type DeltaFunc func(DeltaRequest) (Delta, error)

// Pull requests changes from a neighbour and applies them, until the neighbour has nothing
// newer.
//
// If the neighbour doesn't know all removals since this node's revision, Pull requests all
// items from it only while the store is unavailable, or while this node waits for the items
// that few nodes read from the store. Otherwise Pull makes this node read
// the store (CatchUp), which uses no other node's network link. A router that has just
// started knows no earlier removals, so after a start of many routers at once each router
// would otherwise request all items from its neighbours.
func (m *Mirror) Pull(from string, request DeltaFunc) error {
	for {
		before := m.Newest()
		d, err := fetchAll(request, m.changesRequest())
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
			return m.pullLacking(from, d.Lacks, request)
		}
		m.cfg.Log.Emit(event.StoreFromPeer, "peer", from, "newest", now, "before", before,
			"items", len(d.Items), "removed", len(d.Removed), "full", d.Full)
	}
}

// changesRequest returns the request for the changes since this node's revision, or for all
// items where needed.
func (m *Mirror) changesRequest() DeltaRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return DeltaRequest{
		After: m.state.newest, Filter: m.state.filter.complete, Packs: true,
		All: m.failing.Load() || !m.synced || m.behind,
	}
}

// needsAllItems is the filter in a request for all items.
const needsAllItems = -1

// pullLacking requests all items if this node lacks some that its filter keeps. The request is
// made after the neighbour's changes have been applied, and only if the neighbour has all items.
func (m *Mirror) pullLacking(from string, neighbourLacks bool, request DeltaFunc) error {
	if neighbourLacks || !m.Lacks() {
		return nil
	}
	d, err := fetchAll(request, DeltaRequest{Filter: needsAllItems, All: true, Packs: true})
	if err != nil {
		return err
	}
	m.Merge(d)
	m.cfg.Log.Emit(event.StoreFromPeer, "peer", from, "newest", m.Newest(), "before", d.Newest,
		"items", len(d.Items), "removed", len(d.Removed), "full", d.Full)
	return nil
}

// fetchAll sends a request and, if the response is the first page of all items, fetches
// the further pages and joins them. Changes made while the pages are fetched are newer
// than the revision of the first page, so the next request fetches these changes.
func fetchAll(request DeltaFunc, req DeltaRequest) (Delta, error) {
	all, err := requestPage(request, req)
	for d := all; err == nil && d.More && len(d.Items) > 0; {
		req.Last = d.Items[len(d.Items)-1].Key
		if d, err = requestPage(request, req); err == nil {
			all.Items = append(all.Items, d.Items...)
		}
	}
	return all, err
}

func requestPage(request DeltaFunc, req DeltaRequest) (Delta, error) {
	d, err := request(req)
	if err != nil {
		return Delta{}, err
	}
	return d.unpacked()
}
