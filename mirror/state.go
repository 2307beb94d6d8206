package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeondale/infra"
)

// defaultMaxRemovals is how many removals are remembered for neighbours that lag. A
// neighbour that lags by more removals has to read all items.
const defaultMaxRemovals = 256

// Removal records that an item was missing at a revision.
type Removal struct {
	Key string `cbor:"1,keyasint"`
	Rev int64  `cbor:"2,keyasint"`
	// Unconfirmed marks an item that went missing by an outage and may come back.
	Unconfirmed bool `cbor:"3,keyasint,omitempty"`
	// UnconfirmedMS is for how much longer it may come back; 0 while that isn't known.
	UnconfirmedMS int64 `cbor:"4,keyasint,omitempty"`
}

// unconfirmedUntil is until when the removal is unconfirmed; unknown is used when it
// doesn't say.
func (r Removal) unconfirmedUntil(unknown time.Time) time.Time {
	if r.UnconfirmedMS == 0 {
		return unknown
	}
	return time.Now().Add(time.Duration(r.UnconfirmedMS) * time.Millisecond)
}

// DeltaRequest requests the changes after a revision.
type DeltaRequest struct {
	After int64 `cbor:"1,keyasint"`
	// All requests all items if the changes since aren't available, page by page: the
	// items whose keys come after Last.
	All  bool   `cbor:"2,keyasint,omitempty"`
	Last string `cbor:"3,keyasint,omitempty"`
}

// Delta holds the changes between two revisions. A long one is cut at a revision: the
// rest is requested once it has been applied.
type Delta struct {
	Newest  int64         `cbor:"1,keyasint"`
	Full    bool          `cbor:"2,keyasint,omitempty"` // a page of all items
	Items   []infra.Value `cbor:"3,keyasint,omitempty"`
	Removed []Removal     `cbor:"4,keyasint,omitempty"`
	// RemovalsUnknown reports that removals since the requested revision aren't known, so
	// that only a read of all items would help.
	RemovalsUnknown bool `cbor:"5,keyasint,omitempty"`
	More            bool `cbor:"6,keyasint,omitempty"` // more pages follow
}

// pageBytes is the size from which a Delta is cut. A page of this size occupies a slow
// network link only for a moment, and is far smaller than the maximum message between
// nodes.
const pageBytes = 256 << 10

// removalPolicy defines how missing items are treated: as removed, or as unconfirmed
// removals until the given time. A zero time means that it isn't known yet.
type removalPolicy struct {
	unconfirmed bool
	until       time.Time
}

// unconfirmedRemoval is an item that went missing and may come back.
type unconfirmedRemoval struct {
	rev   int64 // at which it was missing
	until time.Time
}

// remainingMS is for how much longer the item may come back, 0 when that isn't known.
func (d unconfirmedRemoval) remainingMS() int64 {
	if d.until.IsZero() {
		return 0
	}
	return max(time.Until(d.until).Milliseconds(), 1)
}

// state is the known content of the prefix. An item never goes back to an earlier
// revision, in whatever order changes arrive.
type state struct {
	receiver      Receiver
	items         map[string]infra.Value
	unconfirmed   map[string]unconfirmedRemoval // missing since an outage; not yet reported as removed
	removed       []Removal                     // the latest, in the order of their arrival
	tombstones    map[string]int64              // the same by key, so that an older item doesn't come back
	newest        int64                         // all changes up to this revision are known
	removalsFloor int64                         // removals up to it are not in removed
	maxRemovals   int                           // removals that are remembered
	// pageBytes is the size from which a Delta is cut.
	pageBytes int
	dirty     bool // receiver was notified since the last flush
}

func newState(out Receiver) state {
	return state{receiver: out, maxRemovals: defaultMaxRemovals, pageBytes: pageBytes, items: map[string]infra.Value{}, unconfirmed: map[string]unconfirmedRemoval{}, tombstones: map[string]int64{}}
}

// advance records that all changes up to a revision are known. Neighbours request what
// is newer, so the revision of a single change must not count: a node that doesn't read
// the store would never get the changes before it.
func (s *state) advance(rev int64) { s.newest = max(s.newest, rev) }

func (s *state) put(v infra.Value) {
	if s.items[v.Key].ModRev >= v.ModRev || s.tombstones[v.Key] >= v.ModRev {
		return
	}
	delete(s.unconfirmed, v.Key)
	delete(s.tombstones, v.Key)
	s.items[v.Key] = v
	s.dirty = true
	s.receiver.Put(v)
}

// remove removes an item that was missing at rev. An item that may come back becomes an
// unconfirmed removal instead.
func (s *state) remove(key string, rev int64, d removalPolicy) {
	current, ok := s.items[key]
	if current.ModRev > rev {
		return
	}
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
func (s *state) addTombstone(key string, rev int64) {
	if s.tombstones[key] >= rev {
		return
	}
	s.tombstones[key] = rev
	s.removed = append(s.removed, Removal{Key: key, Rev: rev})
	if len(s.removed) <= s.maxRemovals {
		return
	}
	oldest := s.removed[0]
	s.removed = slices.Delete(s.removed, 0, 1)
	s.removalsFloor = max(s.removalsFloor, oldest.Rev)
	if s.tombstones[oldest.Key] == oldest.Rev {
		delete(s.tombstones, oldest.Key)
	}
}

// replace applies the complete list of items at a revision.
func (s *state) replace(items []infra.Value, at int64, d removalPolicy) {
	if s.newest == 0 {
		s.removalsFloor = at
	}
	found := make(map[string]bool, len(items))
	for _, v := range items {
		found[v.Key] = true
		s.put(v)
	}
	for _, key := range slices.Collect(maps.Keys(s.items)) {
		if !found[key] {
			s.remove(key, at, d)
		}
	}
	s.advance(at)
}

// setUnconfirmedEnd sets the end of the unconfirmed removals for which it wasn't known.
func (s *state) setUnconfirmedEnd(end time.Time) {
	for key, d := range s.unconfirmed {
		if d.until.IsZero() {
			d.until = end
			s.unconfirmed[key] = d
		}
	}
}

// confirmExpired removes the items that did not come back in time.
func (s *state) confirmExpired(now time.Time) {
	for key, d := range s.unconfirmed {
		if !d.until.IsZero() && !now.Before(d.until) {
			s.remove(key, d.rev, removalPolicy{})
		}
	}
}

// delta responds to a neighbour that has all changes up to the requested revision.
func (s *state) delta(req DeltaRequest) Delta {
	if req.After >= s.removalsFloor {
		return s.changesAfter(req.After)
	}
	if !req.All {
		return Delta{Newest: s.newest, RemovalsUnknown: true}
	}
	return s.page(req.Last)
}

// changesAfter returns the changes in the order of their revisions. When they are cut,
// Newest is the revision before the first change left out.
func (s *state) changesAfter(after int64) Delta {
	d := Delta{Newest: s.newest}
	for _, v := range s.items {
		if v.ModRev > after {
			d.Items = append(d.Items, v)
		}
	}
	slices.SortFunc(d.Items, func(a, b infra.Value) int { return cmp.Compare(a.ModRev, b.ModRev) })
	if n := cutAtRevision(d.Items, countFitting(d.Items, s.pageBytes)); n < len(d.Items) {
		d.Newest = d.Items[n].ModRev - 1
		d.Items = d.Items[:n]
	}
	for _, r := range s.removed {
		if r.Rev > after && r.Rev <= d.Newest {
			d.Removed = append(d.Removed, r)
		}
	}
	d.Removed = append(d.Removed, s.unconfirmedRemovals(after, d.Newest)...)
	return d
}

// unconfirmedRemovals returns the unconfirmed removals after a revision. They must be
// sent with the others: a node that has a newer revision never requests them again.
func (s *state) unconfirmedRemovals(after, upTo int64) []Removal {
	var out []Removal
	for key, d := range s.unconfirmed {
		if d.rev > after && d.rev <= upTo {
			out = append(out, Removal{Key: key, Rev: d.rev, Unconfirmed: true, UnconfirmedMS: d.remainingMS()})
		}
	}
	return out
}

// cutAtRevision moves a cut at n so that it doesn't split a revision and at least one
// revision comes before it.
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

// page returns items in the order of their keys.
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

// countFitting is the number of leading items that make a page: at least one.
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

// merge applies a neighbour's delta. An unconfirmed removal stays unconfirmed for the
// time that the neighbour gives, or until end if it gives none.
//
// Otherwise each node would hold a removal as unconfirmed for the whole time again.
// When the store has been back for a while and a replica leaves, the one reader that
// still holds that removal as unconfirmed for a moment may notify the others first:
// they would then go on sending work to the replica for two seconds.
func (s *state) merge(d Delta, end time.Time) {
	if d.Newest <= s.newest || d.RemovalsUnknown {
		return
	}
	if d.Full {
		s.replace(d.Items, d.Newest, removalPolicy{})
	}
	for _, v := range d.Items {
		s.put(v)
	}
	for _, r := range d.Removed {
		s.remove(r.Key, r.Rev, removalPolicy{unconfirmed: r.Unconfirmed, until: r.unconfirmedUntil(end)})
	}
	s.advance(d.Newest)
}

func (s *state) flush() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.receiver.BatchDone()
}
