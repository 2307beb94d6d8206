package mirror

import (
	"context"
	"errors"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// fullRead is the progress of a read of all items.
type fullRead struct {
	startedAt time.Time
	stale     bool // set if the pages may be seconds old
	items     []infra.Value
	revision  fleet.Revision // revision of the oldest page; later changes may be missing
	part      int            // index of the part that is being read
	lastKey   string
	complete  bool // set if all parts were read
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
	r := m.partial
	for !r.complete {
		if m.seeksPeers(time.Now()) {
			return nil // the read goes on later
		}
		if m.leavesBulk(r) {
			m.useWithoutBulk(r)
			return nil
		}
		if err := m.readPage(ctx); err != nil {
			return err
		}
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
		if known := m.state.newest; known != 0 && r.revision.Era() > known.Era() {
			m.state.returned(r.items, r.revision, time.Now().Add(m.cfg.ConfirmAfter))
			m.state.readReturn = true
		} else {
			m.state.replace(r.items, r.revision, m.missingPolicy)
		}
		m.apply(events, now)
		m.synced, m.behind = true, false
	})
	return nil
}

// changesSince returns the changes made since the revision of the pages, if the pages
// may be stale. Otherwise it returns no changes.
func (m *Mirror) changesSince(ctx context.Context, r *fullRead) ([]infra.WatchEvent, fleet.Revision, error) {
	if !r.stale {
		return nil, r.revision, nil
	}
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	return m.store.Changes(ctx, m.cfg.Prefix, r.revision, 0)
}

// errEraChanged means that the store came back from a copy while all items were read.
var errEraChanged = Error.New("the store has come back from a copy during the read")

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
	if r.revision != 0 && page.Revision.Era() != r.revision.Era() {
		m.partial = nil // pages of two eras don't belong together
		return errEraChanged
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
	case r.part == len(m.cfg.Parts)-1:
		r.complete = true
	default:
		r.part, r.lastKey = r.part+1, ""
		m.usePeers(r)
	}
	return nil
}
