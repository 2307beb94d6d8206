package mirror

import (
	"context"
	"errors"
	"time"

	"wigeondale/event"
	"wigeondale/infra"
)

// fullRead is the progress of a read of all items.
type fullRead struct {
	startedAt time.Time
	stale     bool // pages may be seconds old
	items     []infra.Value
	revision  int64 // of the oldest page: later changes may be missing
	lastKey   string
	complete  bool // nothing follows after lastKey
}

// readAll reads page after page. It continues where an earlier call failed.
//
// If a failure discarded the pages, or if many nodes that start together exceeded the
// store's rate of reads, no node would get all pages in time and each would start
// again; nodes would not be ready for half a minute. So the first read accepts stale
// pages, which the store serves without a rate limit, and then fetches the changes
// since, before any of the items is used.
func (m *Mirror) readAll(ctx context.Context) error {
	if m.partial == nil || time.Since(m.partial.startedAt) > m.cfg.PageMaxAge {
		m.partial = &fullRead{startedAt: time.Now(), stale: !m.Synced()}
	}
	for !m.partial.complete {
		if err := m.readPage(ctx); err != nil {
			return err
		}
	}
	r := m.partial
	events, now, err := m.changesSince(ctx, r)
	if errors.Is(err, infra.ErrCompacted) {
		m.cfg.Log.Emit(event.StoreHistoryLost, "after", r.revision)
		m.partial = &fullRead{startedAt: time.Now()} // not stale this time
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.partial = nil
	m.update(func() {
		m.state.replace(r.items, r.revision, m.missingPolicy)
		m.apply(events, now)
		m.synced = true
	})
	return nil
}

// changesSince returns the changes since the pages, if those may be stale.
func (m *Mirror) changesSince(ctx context.Context, r *fullRead) ([]infra.WatchEvent, int64, error) {
	if !r.stale {
		return nil, r.revision, nil
	}
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	return m.store.Changes(ctx, m.cfg.Prefix, r.revision, 0)
}

func (m *Mirror) readPage(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	r := m.partial
	page, err := m.store.Page(ctx, m.cfg.Prefix, r.lastKey, r.stale)
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
	r.complete = !page.More
	return nil
}
