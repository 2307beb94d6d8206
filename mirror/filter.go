package mirror

import (
	"context"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// Filter selects the items that nodes keep. All nodes use the same filter, which is made from
// an item of the store, so that each node can send any other node all the items it needs.
type Filter interface {
	// Keeps reports whether the item is kept.
	Keeps(v infra.Value) bool
	// Within reports whether the filter keeps no item that other drops.
	Within(other Filter) bool
}

// keepAll is the filter that is in force while the store has no filter item.
type keepAll struct{}

func (keepAll) Keeps(infra.Value) bool { return true }

func (keepAll) Within(other Filter) bool {
	_, ok := other.(keepAll)
	return ok
}

// filterState is a node's filter, and what this node lacks of the items that the filter keeps.
// Filters are named by the revision of their item; 0 is the filter keepAll.
type filterState struct {
	Filter
	revision fleet.Revision // of the filter in force
	// complete is the last filter for which this node had all items.
	complete fleet.Revision
	// since is the earliest filter from which each filter up to complete kept no item that the
	// filter before it dropped. A node that was complete for one of these lacks nothing.
	since fleet.Revision
	// lacking is set while the filter in force keeps items that this node doesn't have, because
	// an earlier filter dropped them.
	lacking bool
}

// set puts a filter into force.
func (f *filterState) set(next Filter, revision fleet.Revision) {
	f.lacking = f.lacking || !next.Within(f.Filter)
	f.Filter, f.revision = next, revision
	if !f.lacking {
		f.complete = revision
	}
}

// restamp replaces the revision of a filter by that of the same filter in a later era.
func (f *filterState) restamp(old, now fleet.Revision) {
	for _, r := range []*fleet.Revision{&f.revision, &f.complete, &f.since} {
		if *r == old && old != 0 {
			*r = now
		}
	}
}

// setFromLacking handles a filter that arrived from a node that lacks items: that node may
// have dropped changes that the filter keeps.
func (f *filterState) setFromLacking() { f.lacking = true }

// completed records that this node has all items that the filter in force keeps.
func (f *filterState) completed() {
	if f.lacking {
		f.since = f.revision
	}
	f.complete, f.lacking = f.revision, false
}

// serves reports whether a node that has the items of the filter complete gets all changes
// that it needs from the changes that this node knows.
func (f *filterState) serves(complete fleet.Revision) bool {
	return complete >= f.since && complete <= f.complete || complete == f.revision
}

// applyFilter puts the filter that an item defines into force, and drops the items that the
// filter doesn't keep. An item that can't be decoded changes nothing.
func (s *state) applyFilter(v infra.Value) {
	next, err := s.newFilter(v.Data)
	if err != nil {
		s.log.Emit(event.StoreFilterUnreadable, "key", v.Key, "revision", v.ModRev, "err", err)
		return
	}
	s.filter.set(next, v.ModRev)
	for _, item := range s.items {
		if !next.Keeps(item) {
			s.drop(item.Key)
		}
	}
}

// drop removes an item that the filter doesn't keep. Neighbours drop it by the same filter,
// so this node sends them no removal.
func (s *state) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	delete(s.unconfirmed, key)
	s.dirty = true
	s.receiver.Dropped(key)
}

// filterFirst puts the filter into force that a complete list of items and the changes after
// it define, so that no item is passed to the receiver only to be dropped again.
func (s *state) filterFirst(items []infra.Value) {
	for _, v := range items {
		if v.Key == s.filterKey && s.filterKey != "" && v.ModRev > s.items[v.Key].ModRev {
			s.put(v)
		}
	}
}

// unknownToAll reports whether no node that is up to date knows an item: this node has all
// items that the filter keeps, and not this one. The store reports the removals of all items,
// most of which the filter doesn't keep.
func (s *state) unknownToAll(key string) bool {
	_, known := s.items[key]
	return s.filter.revision != 0 && !s.filter.lacking && !known
}

// putFilter puts a filter item into force that may be newer than the changes known here.
func (s *state) putFilter(v infra.Value) {
	if v.Key == s.filterKey && s.filterKey != "" {
		s.put(v)
	}
}

// filterItem returns the item that defines the filter in force, or the zero Value.
func (s *state) filterItem() infra.Value { return s.items[s.filterKey] }

// readFilter reads the item that defines the filter.
func (m *Mirror) readFilter(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	page, err := m.store.Page(ctx, m.cfg.FilterKey, "", false)
	if err != nil {
		return err
	}
	m.update(func() {
		for _, v := range page.Values {
			m.state.putFilter(v)
		}
	})
	return nil
}
