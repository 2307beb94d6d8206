package mirror

import (
	"maps"
	"slices"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// removalPolicy defines how missing items are treated: as removed, or as unconfirmed
// removals until the given time. A zero time means that the end isn't known yet, because
// the outage of the store continues.
type removalPolicy struct {
	unconfirmed bool
	until       time.Time
}

// unconfirmedRemoval records that an item is missing because of an outage of the store and
// may be written again by its owner.
type unconfirmedRemoval struct {
	rev   fleet.Revision // revision at which the item was missing
	until time.Time
}

// remainingMS returns the number of milliseconds for which the removal stays unconfirmed,
// or 0 if that number isn't known yet.
func (d unconfirmedRemoval) remainingMS() int64 {
	if d.until.IsZero() {
		return 0
	}
	return max(time.Until(d.until).Milliseconds(), 1)
}

// state is a node's copy of the items under the prefix. An item never goes back to an
// earlier revision, in whatever order changes arrive.
type state struct {
	receiver    Receiver
	items       map[string]infra.Value
	unconfirmed map[string]unconfirmedRemoval // items missing since an outage and not yet passed on as removed, by key
	removed     removalLog
	tombstones  map[string]fleet.Revision // revisions of the removals in removed, by key, so that an older item doesn't come back
	recent      recentChanges
	newest      fleet.Revision // all changes up to this revision are known
	filter      filterState
	filterKey   string // key of the item that defines the filter; empty: there is none
	newFilter   func(data []byte) (Filter, error)
	log         *event.Log
	// pageBytes is the maximum size of the items in one Delta: the constant pageBytes, or
	// a smaller value in tests.
	pageBytes int
	dirty     bool // set if the receiver was notified since the last flush
	gaps      []Gap
	// readReturn is set if this node itself read the store after it had come back from a copy.
	readReturn bool
	held       map[string]heldItem // items of a store that has come back which are held back, by key
	bulk       string              // see Config.Bulk
	// newer reports whether a listed item is newer than the known one, by their contents.
	newer func(known, listed infra.Value) bool
}

func newState(out Receiver) state {
	return state{receiver: out, removed: removalLog{minKept: minRemovals, keptFor: removalsKept}, recent: recentChanges{max: maxRecent}, filter: filterState{Filter: keepAll{}}, pageBytes: pageBytes, items: map[string]infra.Value{}, unconfirmed: map[string]unconfirmedRemoval{}, held: map[string]heldItem{}, newer: neverNewer, tombstones: map[string]fleet.Revision{}}
}

// neverNewer is used where items have no contents to compare.
func neverNewer(infra.Value, infra.Value) bool { return false }

// advance records that all changes up to a revision are known. The revision of a single
// change must not be recorded here before all earlier changes are known: a node
// requests from its neighbours only changes after the recorded revision, so a node that
// doesn't read the store would never get the earlier changes.
func (s *state) advance(rev fleet.Revision) { s.newest = max(s.newest, rev) }

func (s *state) put(v infra.Value) {
	if h, held := s.held[v.Key]; held && h.item.ModRev >= v.ModRev {
		return
	}
	if s.items[v.Key].ModRev >= v.ModRev || s.tombstones[v.Key] >= v.ModRev {
		return
	}
	if s.filterKey != "" && v.Key == s.filterKey {
		s.applyFilter(v)
	}
	if !s.filter.Keeps(v) {
		s.drop(v.Key)
		return
	}
	delete(s.unconfirmed, v.Key)
	delete(s.held, v.Key)
	delete(s.tombstones, v.Key)
	s.items[v.Key] = v
	s.recent.add(v.Key, v.ModRev)
	s.dirty = true
	s.receiver.Put(v)
}

// remove removes an item that was missing at rev. If d is unconfirmed, the item stays and
// an unconfirmed removal is recorded instead.
func (s *state) remove(key string, rev fleet.Revision, d removalPolicy) {
	current, ok := s.items[key]
	if current.ModRev > rev {
		return
	}
	delete(s.held, key)
	if !ok {
		s.addTombstone(key, rev)
		return
	}
	if d.unconfirmed {
		s.unconfirmed[key] = unconfirmedRemoval{rev, d.until}
		return
	}
	delete(s.items, key)
	delete(s.unconfirmed, key)
	s.addTombstone(key, rev)
	s.dirty = true
	s.receiver.Removed(key)
}

// addTombstone remembers that an item was removed at rev.
func (s *state) addTombstone(key string, rev fleet.Revision) {
	if s.tombstones[key] >= rev {
		return
	}
	s.tombstones[key] = rev
	for _, old := range s.removed.add(Removal{Key: key, Rev: rev}) {
		if s.tombstones[old.Key] == old.Rev {
			delete(s.tombstones, old.Key)
		}
	}
}

// replace applies the complete list of items at a revision; alsoListed are the keys of further
// items. Items that are not in the list are removed, or become unconfirmed removals, as d defines.
func (s *state) replace(items []infra.Value, at fleet.Revision, d removalPolicy, alsoListed ...string) {
	if s.newest == 0 {
		s.removed.floor = at
	}
	if s.newest != 0 {
		s.addGap(Gap{s.newest, at})
	}
	s.recent.reset(at)
	s.filterFirst(items)
	found := make(map[string]bool, len(items))
	for _, key := range alsoListed {
		found[key] = true
	}
	for _, v := range items {
		found[v.Key] = true
		if !s.unsettled(v, at) {
			s.put(v)
		}
	}
	for _, key := range slices.Collect(maps.Keys(s.items)) {
		if !found[key] {
			s.remove(key, at, d)
		}
	}
	maps.DeleteFunc(s.held, func(key string, _ heldItem) bool { return !found[key] })
	s.filter.completed()
	s.advance(at)
}

// setUnconfirmedEnd sets the end of each unconfirmed removal whose end wasn't known
// because the outage of the store continued.
func (s *state) setUnconfirmedEnd(end time.Time) {
	for key, d := range s.unconfirmed {
		if d.until.IsZero() {
			d.until = end
			s.unconfirmed[key] = d
		}
	}
}

// confirmExpired removes the items that were not written again before the end of their
// unconfirmed removal.
func (s *state) confirmExpired(now time.Time) {
	for key, d := range s.unconfirmed {
		if !d.until.IsZero() && !now.Before(d.until) {
			s.remove(key, d.rev, removalPolicy{})
		}
	}
}

// merge applies a neighbour's delta. An unconfirmed removal stays unconfirmed for the time
// that the neighbour gives, or until end if it gives none.
//
// If merge used end in any case, each node would hold a removal as unconfirmed for the
// whole time again. When the store has been working again for a while and a replica
// leaves, one reader may still hold that removal as unconfirmed for a moment and be the
// first to send it to the other nodes. The other nodes would then go on sending work to
// the replica for two seconds.
func (s *state) merge(d Delta, end time.Time) {
	if d.Newest.Era() > s.newest.Era() && s.newest != 0 {
		if d.Full {
			s.mergeEra(d, end)
		}
		return
	}
	completes := d.Full && s.filter.lacking && d.Newest == s.newest
	if d.Newest <= s.newest && !completes || d.RemovalsUnknown {
		return
	}
	for _, g := range d.Gaps {
		s.addGap(g)
	}
	filter := s.filter.revision
	s.putFilter(d.FilterItem)
	if d.Full {
		s.mergeHeld(d.Held)
		s.replace(d.Items, d.Newest, removalPolicy{}, keysOf(d.Held)...)
	}
	for _, v := range d.Items {
		if !s.unsettled(v, d.Newest) {
			s.put(v)
		}
	}
	for _, r := range d.Removed {
		s.remove(r.Key, r.Rev, removalPolicy{unconfirmed: r.Unconfirmed, until: r.unconfirmedUntil(end)})
	}
	s.mergeHeld(d.Held)
	if d.Lacks && s.filter.revision != filter {
		s.filter.setFromLacking()
	}
	s.advance(d.Newest)
}

// mergeEra applies a neighbour's delta of a later era.
func (s *state) mergeEra(d Delta, end time.Time) {
	for _, g := range d.Gaps {
		s.addGap(g)
	}
	s.putFilter(d.FilterItem)
	s.returned(d.Items, d.Newest, end, keysOf(d.Held)...)
	for _, r := range d.Removed {
		s.remove(r.Key, r.Rev, removalPolicy{unconfirmed: r.Unconfirmed, until: r.unconfirmedUntil(end)})
	}
	s.mergeHeld(d.Held)
	s.advance(d.Newest)
}

func (s *state) flush() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.receiver.BatchDone()
}
