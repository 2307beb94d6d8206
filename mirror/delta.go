package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeondale/fleet"
	"wigeondale/infra"
)

// This file makes the deltas that nodes send to each other.

// Removal reports to a neighbour that the item with the given Key was missing at the
// revision Rev.
type Removal struct {
	Key string         `cbor:"1,keyasint"`
	Rev fleet.Revision `cbor:"2,keyasint"`
	// Unconfirmed is set if the item has been missing since an outage of the store and its
	// owner may write it again, so that it doesn't count as removed yet.
	Unconfirmed bool `cbor:"3,keyasint,omitempty"`
	// UnconfirmedMS is the number of milliseconds for which the removal stays unconfirmed;
	// 0 means that this number isn't known yet, because the outage of the store continues.
	UnconfirmedMS int64 `cbor:"4,keyasint,omitempty"`
}

// unconfirmedUntil returns the time until which the removal is unconfirmed. If the removal
// doesn't contain that time, unconfirmedUntil returns its argument unknown.
func (r Removal) unconfirmedUntil(unknown time.Time) time.Time {
	if r.UnconfirmedMS == 0 {
		return unknown
	}
	return time.Now().Add(time.Duration(r.UnconfirmedMS) * time.Millisecond)
}

// DeltaRequest requests the changes after a revision.
type DeltaRequest struct {
	After fleet.Revision `cbor:"1,keyasint"`
	// If All is set and the changes since After aren't available, the response is one
	// page of all items: the page of the items whose keys come after Last.
	All  bool   `cbor:"2,keyasint,omitempty"`
	Last string `cbor:"3,keyasint,omitempty"`
	// Filter is the revision of the last filter for which the requesting node had all items, or
	// needsAllItems.
	Filter fleet.Revision `cbor:"4,keyasint,omitempty"`
	// Packs reports that the requesting node can decode Delta.Packed.
	Packs bool `cbor:"5,keyasint,omitempty"`
}

// Delta holds the changes between two revisions. If the changes don't fit into one Delta,
// the Delta holds only the changes up to an earlier revision. The node that applies that
// Delta then requests the changes after that revision.
type Delta struct {
	Newest  fleet.Revision `cbor:"1,keyasint"`
	Full    bool           `cbor:"2,keyasint,omitempty"` // set if the Delta is a page of all items
	Items   []infra.Value  `cbor:"3,keyasint,omitempty"`
	Removed []Removal      `cbor:"4,keyasint,omitempty"`
	// RemovalsUnknown reports that the responding node doesn't know all removals since
	// the requested revision, so that it could only send all items.
	RemovalsUnknown bool `cbor:"5,keyasint,omitempty"`
	More            bool `cbor:"6,keyasint,omitempty"` // set if more pages follow
	// Lacks reports that the responding node lacks items that its filter keeps.
	Lacks bool `cbor:"7,keyasint,omitempty"`
	// FilterItem is the item that defines the responding node's filter. It may be newer than
	// Newest: the changes before it are filtered already.
	FilterItem infra.Value `cbor:"9,keyasint,omitzero"`
	// Held are the items that the responding node holds back since the store has come back from a copy.
	Held []HeldItem `cbor:"10,keyasint,omitempty"`
	// Gaps are the gaps in what the responding node knows of the changes since the requested revision.
	Gaps []Gap `cbor:"11,keyasint,omitempty"`
	// Packed holds Items and Removed in compressed form, if the request allows it.
	Packed []byte `cbor:"8,keyasint,omitempty"`
}

// pageBytes is the maximum size, in bytes of keys and data, of the items in one Delta. If
// there are more items, the Delta is truncated, and the neighbour requests the rest with
// its next request. A page of this size occupies a slow network link only for a moment,
// and is far smaller than the maximum message between nodes.
//
// Exception: a single item is sent even if it is larger than pageBytes, and a Delta of
// changes contains at least all items of its first revision.
const pageBytes = 256 << 10

// delta responds to a neighbour that has all changes up to the revision req.After. If this
// node knows all later removals, delta returns the later changes. Otherwise it returns a
// page of all items if req.All is set, and a Delta with RemovalsUnknown if not.
func (s *state) delta(req DeltaRequest) Delta {
	if req.Filter > s.filter.revision {
		return Delta{} // this node doesn't know yet which items the requesting node needs
	}
	var d Delta
	switch {
	case req.After.Era() < s.newest.Era() && !s.filter.lacking && req.After != 0:
		d = s.page(req.Last) // the requesting node compares all that it knows
	case req.After >= s.removed.floor && s.filter.serves(req.Filter) && !s.inGap(req.After):
		d = s.changesAfter(req.After)
	case !req.All:
		d = Delta{Newest: s.newest, RemovalsUnknown: true}
	case s.filter.lacking:
	default:
		d = s.page(req.Last)
	}
	d.Lacks = s.filter.lacking
	d.Gaps = s.gapsAfter(req.After)
	d.Held = s.heldAfter(req.After)
	if d.Full {
		d.Held = s.heldAfter(0)
	}
	if req.Filter != s.filter.revision {
		d.FilterItem = s.filterItem()
	}
	return d
}

// changesAfter returns the changes in the order of their revisions. If the changes
// don't fit into one Delta, Newest is the revision before the first change left out.
func (s *state) changesAfter(after fleet.Revision) Delta {
	d := Delta{Newest: s.newest, Items: s.itemsAfter(after)}
	slices.SortFunc(d.Items, func(a, b infra.Value) int { return cmp.Compare(a.ModRev, b.ModRev) })
	if n := cutAtRevision(d.Items, countFitting(d.Items, s.pageBytes)); n < len(d.Items) {
		d.Newest = d.Items[n].ModRev - 1
		d.Items = d.Items[:n]
	}
	d.Removed = append(s.removed.between(after, d.Newest), s.unconfirmedRemovals(after, d.Newest)...)
	return d
}

// itemsAfter returns the items that were changed after a revision, in any order. It leaves out
// a filter item that is newer than the changes known here: the changes before it are unknown.
func (s *state) itemsAfter(after fleet.Revision) []infra.Value {
	var out []infra.Value
	if recent, ok := s.recent.after(after); ok {
		for _, c := range recent {
			if v := s.items[c.key]; sameChange(c.rev, v.ModRev) && v.ModRev <= s.newest {
				out = append(out, v)
			}
		}
		return out
	}
	for _, v := range s.items {
		if v.ModRev > after && v.ModRev <= s.newest {
			out = append(out, v)
		}
	}
	return out
}

// unconfirmedRemovals returns the unconfirmed removals after a revision. They must be sent
// with the other changes, because a neighbour that has a newer revision never requests
// changes of earlier revisions again.
func (s *state) unconfirmedRemovals(after, upTo fleet.Revision) []Removal {
	var out []Removal
	for key, d := range s.unconfirmed {
		if d.rev > after && d.rev <= upTo {
			out = append(out, Removal{Key: key, Rev: d.rev, Unconfirmed: true, UnconfirmedMS: d.remainingMS()})
		}
	}
	return out
}

// cutAtRevision returns how many leading items to send if n of them fit into one Delta. The
// items of one revision are always sent together. So if n would separate items of one
// revision, the result is the number of items before that revision. Exception: if that
// revision is the first one, the result includes all its items, so that the result is not 0.
func cutAtRevision(items []infra.Value, n int) int {
	if n == len(items) {
		return n
	}
	end := n
	for n > 0 && items[n-1].ModRev == items[end].ModRev {
		n--
	}
	for n == 0 && end < len(items) && items[end].ModRev == items[0].ModRev {
		end++
	}
	if n == 0 {
		return end
	}
	return n
}

// page returns the items whose keys come after last, in the order of their keys, as far
// as they fit into one page.
func (s *state) page(last string) Delta {
	d := Delta{Newest: s.newest, Full: true}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key > last {
			d.Items = append(d.Items, s.items[key])
		}
	}
	n := countFitting(d.Items, s.pageBytes)
	d.More = n < len(d.Items)
	d.Items = d.Items[:n]
	d.Removed = s.unconfirmedRemovals(0, d.Newest)
	return d
}

// countFitting returns the number of leading items that fit into a page of bound bytes.
// If there are items, it is at least 1, so that an item larger than a page is sent,
// too.
func countFitting(items []infra.Value, bound int) int {
	size := 0
	for i, v := range items {
		size += len(v.Key) + len(v.Data)
		if size > bound && i > 0 {
			return i
		}
	}
	return len(items)
}
