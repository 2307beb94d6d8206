package mirror

import (
	"context"
	"errors"
	"time"

	"wigeondale/event"
	"wigeondale/infra"
)

// reading is what a read of all items has brought so far.
type reading struct {
	began time.Time
	stale bool // pages may be seconds old
	items []infra.Value
	at    int64 // of the oldest page: later changes may be missing
	last  string
	all   bool // nothing follows after last
}

// readAll reads page after page. It goes on where an earlier call failed.
//
// What goes wrong when a failure throws the pages away, or when many nodes that
// start together exceed the store's rate of reads: none has all pages in time, and
// each begins anew. It shows as nodes that are not ready for half a minute. So the
// first read takes pages that may be old, of which the store grants any number, and
// then the changes since, before anything of it counts.
func (m *Mirror) readAll(ctx context.Context) error {
	if m.pages == nil || time.Since(m.pages.began) > m.cfg.PageMaxAge {
		m.pages = &reading{began: time.Now(), stale: !m.Synced()}
	}
	for !m.pages.all {
		if err := m.readPage(ctx); err != nil {
			return err
		}
	}
	r := m.pages
	events, now, err := m.since(ctx, r)
	if errors.Is(err, infra.ErrCompacted) {
		m.cfg.Log.Emit(event.StoreHistoryLost, "after", r.at)
		m.pages = &reading{began: time.Now()} // pages as new as can be
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.pages = nil
	m.change(func() {
		m.state.replace(r.items, r.at, m.doubts)
		m.apply(events, now)
		m.synced = true
	})
	return nil
}

// since returns the changes since the pages, if those may be old.
func (m *Mirror) since(ctx context.Context, r *reading) ([]infra.WatchEvent, int64, error) {
	if !r.stale {
		return nil, r.at, nil
	}
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	return m.store.Changes(ctx, m.cfg.Prefix, r.at, 0)
}

func (m *Mirror) readPage(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	r := m.pages
	page, err := m.store.Page(ctx, m.cfg.Prefix, r.last, r.stale)
	if err != nil {
		return err
	}
	if r.at == 0 || page.Revision < r.at {
		r.at = page.Revision
	}
	if n := len(page.Values); n > 0 {
		r.items = append(r.items, page.Values...)
		r.last = page.Values[n-1].Key
	}
	r.all = !page.More
	return nil
}
