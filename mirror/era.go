package mirror

import (
	"bytes"
	"strings"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// The store may come back from a copy of its data that is some seconds old (fleet.Revision). What was
// written since the copy is gone, until its owners write it again. A node whose own copy is newer
// keeps what it knows meanwhile: an item that is missing is an unconfirmed removal, and an item in an
// older version, or one that had been removed, is held back. After Config.ConfirmAfter the
// store's state counts.
//
// If the store's older state counted at once, an API key that was taken away would work again, and a
// backend server that is leaving would get requests.

// heldItem is an item of the store that is older than what this node knows of its key.
type heldItem struct {
	item  infra.Value
	until time.Time
}

// returned applies the complete list of items of a store that has come back from a copy; alsoListed are
// the keys of further items. Changes of
// the new era that are in the list already can't be told from the copy's older state by their
// revisions; Config.Newer tells them apart by their contents.
func (s *state) returned(items []infra.Value, at fleet.Revision, until time.Time, alsoListed ...string) {
	s.log.Emit(event.StoreWentBack, "era", at.Era(), "at", at.String(), "known", s.newest.String(), "items", len(items))
	s.addGap(Gap{s.newest, at})
	held := s.held
	s.held = map[string]heldItem{}
	s.filterFirst(items)
	listed := make(map[string]bool, len(items))
	for _, key := range alsoListed {
		listed[key] = true
	}
	for _, v := range items {
		listed[v.Key] = true
		if s.unsettled(v, at) {
			continue
		}
		_, wasHeld := held[v.Key]
		_, wasMissing := s.unconfirmed[v.Key]
		s.reconcile(v, until)
		if now, ok := s.items[v.Key]; ok && (wasHeld || wasMissing) && now.ModRev == v.ModRev {
			s.recent.add(v.Key, v.ModRev) // neighbours may still hold it back or miss it
		}
	}
	for key := range held {
		if _, known := s.items[key]; !known && !listed[key] {
			s.addTombstone(key, at) // neighbours may use it
		}
	}
	for key, known := range s.items {
		if !listed[key] {
			s.logKept(known, "missing", at)
			s.unconfirmed[key] = unconfirmedRemoval{at, until}
		}
	}
	s.filter.completed()
	s.advance(at)
}

// unsettled reports whether an item in a neighbour's list as of the revision at is one that the neighbour
// itself only remembers from an earlier era. What this node remembers of the key counts then.
func (s *state) unsettled(v infra.Value, at fleet.Revision) bool {
	_, known := s.items[v.Key]
	_, removed := s.tombstones[v.Key]
	return v.ModRev.Era() < at.Era() && (known || removed)
}

// reconcile applies one item of the list of a store that has come back.
func (s *state) reconcile(v infra.Value, until time.Time) {
	known, ok := s.items[v.Key]
	removed, wasRemoved := s.tombstones[v.Key]
	switch {
	case ok && bytes.Equal(known.Data, v.Data):
		s.restamp(known, v)
	case ok && v.ModRev.Number() <= known.ModRev.Number() && !s.newer(known, v):
		s.logKept(known, "older", v.ModRev)
		delete(s.unconfirmed, v.Key)
		s.held[v.Key] = heldItem{v, until}
	case wasRemoved && v.ModRev.Number() <= removed.Number():
		s.logKept(infra.Value{Key: v.Key, ModRev: removed}, "removed", v.ModRev)
		s.held[v.Key] = heldItem{v, until}
	default:
		s.put(v)
	}
}

// restamp replaces an item by the same item with its revision of a later era. The receiver is told of
// items that it may replace on condition of their revisions: all but the many of Config.Bulk.
func (s *state) restamp(known, v infra.Value) {
	s.items[v.Key] = v
	delete(s.unconfirmed, v.Key)
	if !sameChange(known.ModRev, v.ModRev) {
		s.recent.add(v.Key, v.ModRev) // it was lost and has been written again
	}
	if v.Key == s.filterKey {
		s.filter.restamp(known.ModRev, v.ModRev)
	}
	if known.ModRev != v.ModRev && (s.bulk == "" || !strings.HasPrefix(v.Key, s.bulk)) {
		s.dirty = true
		s.receiver.Put(v)
	}
}

// sameChange reports whether an item that was changed at rev is still that of the change, possibly with
// its revision of a later era.
func sameChange(rev, now fleet.Revision) bool {
	return now == rev || now.Era() > rev.Era() && now.Number() == rev.Number()
}

// HeldItem is an item in a version that a node holds back, for the given time.
type HeldItem struct {
	Item  infra.Value `cbor:"1,keyasint"`
	ForMS int64       `cbor:"2,keyasint"`
}

// heldAfter returns the items that are held back and were changed after a revision. They must be sent
// with the other changes: a neighbour that has a newer revision never requests earlier changes again.
func (s *state) heldAfter(after fleet.Revision) []HeldItem {
	var out []HeldItem
	for _, h := range s.held {
		if h.item.ModRev > after {
			out = append(out, HeldItem{h.item, max(time.Until(h.until).Milliseconds(), 1)})
		}
	}
	return out
}

func keysOf(held []HeldItem) []string {
	keys := make([]string, 0, len(held))
	for _, h := range held {
		keys = append(keys, h.Item.Key)
	}
	return keys
}

// mergeHeld applies the items that a neighbour holds back.
func (s *state) mergeHeld(held []HeldItem) {
	for _, h := range held {
		known := max(s.items[h.Item.Key].ModRev, s.tombstones[h.Item.Key])
		if known.Era() == h.Item.ModRev.Era() {
			s.put(h.Item)
			continue
		}
		s.reconcile(h.Item, time.Now().Add(time.Duration(h.ForMS)*time.Millisecond))
	}
}

// Lost is what a store that has come back from a copy has lost, as far as this node knows.
type Lost struct {
	// Known is the item as this node knows it; its Data is nil if it had been removed.
	Known infra.Value
	// Listed is the revision of the older version in the store; 0 if the store has none.
	Listed fleet.Revision
}

// lost returns what the store has lost under a prefix.
func (s *state) lost(prefix string) []Lost {
	var out []Lost
	for key := range s.unconfirmed {
		if strings.HasPrefix(key, prefix) {
			out = append(out, Lost{Known: s.items[key]})
		}
	}
	for key, h := range s.held {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		known := s.items[key]
		known.Key = key
		out = append(out, Lost{Known: known, Listed: h.item.ModRev})
	}
	return out
}

func (s *state) logKept(known infra.Value, listed string, at fleet.Revision) {
	s.log.Emit(event.StoreItemKept, "key", known.Key, "revision", known.ModRev.String(), "listed", listed, "at", at.String())
}

// applyHeld applies the items whose hold has ended: their owners have not written them again.
func (s *state) applyHeld(now time.Time) {
	for key, h := range s.held {
		if now.Before(h.until) {
			continue
		}
		delete(s.held, key)
		s.put(h.item)
	}
}
