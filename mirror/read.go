package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wigeondale/event"
	"wigeondale/infra"
)

// fullRead is the progress of a read of all items.
type fullRead struct {
	startedAt time.Time
	stale     bool // set if the pages may be seconds old
	items     []infra.Value
	revision  int64 // revision of the oldest page; later changes may be missing
	part      int   // index of the part that is being read
	lastKey   string
	complete  bool // set if all parts were read
	// skipsBulk is set if the items under Config.Bulk are left out.
	skipsBulk bool
}

// readAll reads all items, page after page. If an earlier call failed, readAll keeps
// the pages of that call and continues after them, unless they are older than
// PageMaxAge.
//
// Many nodes that start together may exceed the store's rate of reads, so that no node gets
// all pages in one attempt. If each attempt started again, no node would be ready for half
// a minute. Two measures prevent that. A failed read keeps its pages. And the first read
// accepts stale pages, which the store serves without a rate limit. It then fetches the
// changes made since these pages, before any of the items is used.
func (m *Mirror) readAll(ctx context.Context) error {
	if m.partial == nil || time.Since(m.partial.startedAt) > m.cfg.PageMaxAge {
		m.partial = &fullRead{startedAt: time.Now(), stale: !m.Synced()}
	}
	for !m.partial.complete && !m.partial.skipsBulk {
		if m.seeksPeers(time.Now()) {
			return nil // the read goes on later
		}
		if m.partial.part == 1 && m.leavesBulk(m.partial) {
			m.partial.skipsBulk = true
			break
		}
		if err := m.readPage(ctx); err != nil {
			return err
		}
	}
	r := m.partial
	if r.skipsBulk {
		m.useWithoutBulk(r)
		return nil
	}
	m.cfg.OnFullRead(ctx, r.items)
	events, now, err := m.changesSince(ctx, r)
	if errors.Is(err, infra.ErrCompacted) {
		m.cfg.Log.Emit(event.StoreHistoryLost, "after", r.revision)
		m.partial = &fullRead{startedAt: time.Now()} // read up-to-date pages this time
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.partial = nil
	m.update(func() {
		for _, e := range events {
			if !e.Deleted {
				m.state.filterFirst([]infra.Value{e.Value})
			}
		}
		m.state.replace(r.items, r.revision, m.missingPolicy)
		m.apply(events, now)
		m.synced, m.behind = true, false
	})
	return nil
}

// changesSince returns the changes made since the revision of the pages, if the pages
// may be stale. Otherwise it returns no changes.
func (m *Mirror) changesSince(ctx context.Context, r *fullRead) ([]infra.WatchEvent, int64, error) {
	if !r.stale {
		return nil, r.revision, nil
	}
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	return m.store.Changes(ctx, m.cfg.Prefix, r.revision, 0)
}

func (m *Mirror) readPage(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout*time.Duration(m.timeoutFactor))
	defer stop()
	r := m.partial
	page, err := m.store.Page(ctx, m.cfg.Parts[r.part], r.lastKey, r.stale)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		m.timeoutFactor = min(2*m.timeoutFactor, maxTimeoutFactor)
	}
	if err != nil {
		return err
	}
	if r.revision == 0 || page.Revision < r.revision {
		r.revision = page.Revision
	}
	if n := len(page.Values); n > 0 {
		r.items = append(r.items, page.Values...)
		r.lastKey = page.Values[n-1].Key
	}
	switch {
	case page.More:
		r.skipsBulk = m.leavesBulk(r)
	case r.part == len(m.cfg.Parts)-1:
		r.complete = true
	default:
		r.part, r.lastKey = r.part+1, ""
		m.usePeers(r)
		r.skipsBulk = m.leavesBulk(r)
	}
	return nil
}

// usePeers passes the items by which this node finds its neighbours to the receiver before the other
// items are read: a node has to register and to find its neighbours even if the store is too slow for the rest.
func (m *Mirror) usePeers(r *fullRead) {
	if len(m.cfg.PeerPrefixes) == 0 || r.part != 1 || m.Synced() {
		return
	}
	if m.peersDeadline.IsZero() {
		m.peersDeadline = time.Now().Add(peersWait)
	}
	m.update(func() {
		for _, v := range r.items {
			if m.ofPeers(v.Key) {
				m.state.put(v)
			}
		}
		m.state.dirty = true
	})
}

// leavesBulk reports whether the read in progress leaves out the items that many nodes would
// read at the same time: this node is not one of those that read them, and has not waited for
// them. That is so once the nodes that were read show a large fleet, and once the items under
// Config.Bulk have turned out to be more than a page.
//
// If each of a thousand nodes read thousands of items when all of them start, the store's
// network link would be busy for half a minute.
func (m *Mirror) leavesBulk(r *fullRead) bool {
	if m.cfg.Bulk == "" || !m.bulkDeadline.IsZero() || m.cfg.ReadsBulk() {
		return false
	}
	if m.seeksPeers(time.Now()) {
		return false
	}
	inBulk := m.cfg.Parts[r.part] == m.cfg.Bulk && r.lastKey != ""
	return inBulk || m.cfg.LargeFleet(r.items)
}

// useWithoutBulk applies, of the items of a read that left out others, those by which this
// node finds its neighbours, and the filter. All others may be outdated: they come from the neighbours,
// with the changes since then.
func (m *Mirror) useWithoutBulk(r *fullRead) {
	m.partial = nil
	m.waitForBulk()
	m.update(func() {
		m.state.filterFirst(r.items)
		for _, v := range r.items {
			if m.ofPeers(v.Key) {
				m.state.put(v)
			}
		}
	})
	m.cfg.Log.Emit(event.StoreBulkLeft, "items", len(r.items))
}

// ofPeers reports whether the item with this key is one by which nodes find their neighbours.
func (m *Mirror) ofPeers(key string) bool {
	return slices.ContainsFunc(m.cfg.PeerPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// waitForBulk makes this node wait until its neighbours send all items.
func (m *Mirror) waitForBulk() {
	m.bulkDeadline = time.Now().Add(bulkWait + rand.N(bulkSpread))
	m.mu.Lock()
	m.behind = true
	m.mu.Unlock()
}

// readPeers reads the items by which this node finds its neighbours. Items that are of use only
// with those of an earlier prefix are read once there are some: many nodes may be looking.
func (m *Mirror) readPeers(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	for _, prefix := range m.cfg.PeerPrefixes {
		page, err := m.store.Page(ctx, prefix, "", true)
		if err != nil {
			return err
		}
		if len(page.Values) == 0 {
			return nil
		}
		if m.partial != nil {
			m.partial.items = append(m.partial.items, page.Values...)
		}
		m.update(func() {
			for _, v := range page.Values {
				m.state.put(v)
			}
		})
	}
	return nil
}
