package mirror

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeondale/infra"
)

// keptRemovals is how many removals are remembered for neighbours that lag. With
// more in between they are given everything.
const keptRemovals = 256

// Removal says that an item was gone at a revision.
type Removal struct {
	Key string `cbor:"1,keyasint"`
	Rev int64  `cbor:"2,keyasint"`
	// Unconfirmed says that it went missing by an outage and may come back.
	Unconfirmed bool `cbor:"3,keyasint,omitempty"`
	// UnconfirmedMS is how much longer that is held possible; 0 while it isn't known.
	UnconfirmedMS int64 `cbor:"4,keyasint,omitempty"`
}

// doubtEnd is until when the removal is doubtful; unknown is for when it can't say.
func (r Removal) doubtEnd(unknown time.Time) time.Time {
	if r.UnconfirmedMS == 0 {
		return unknown
	}
	return time.Now().Add(time.Duration(r.UnconfirmedMS) * time.Millisecond)
}

// DeltaRequest asks for what changed after a revision.
type DeltaRequest struct {
	After int64 `cbor:"1,keyasint"`
	// All asks for everything where the changes since aren't known, page by page:
	// the items whose keys follow Last.
	All  bool   `cbor:"2,keyasint,omitempty"`
	Last string `cbor:"3,keyasint,omitempty"`
}

// Delta is what changed between two revisions. A long one is cut at a revision:
// the rest is asked for once it was taken in.
type Delta struct {
	Newest  int64         `cbor:"1,keyasint"`
	Full    bool          `cbor:"2,keyasint,omitempty"` // a page of all that there is
	Items   []infra.Value `cbor:"3,keyasint,omitempty"`
	Removed []Removal     `cbor:"4,keyasint,omitempty"`
	// RemovalsUnknown says that removals since the asked revision aren't known, so that
	// only everything would do.
	RemovalsUnknown bool `cbor:"5,keyasint,omitempty"`
	More            bool `cbor:"6,keyasint,omitempty"` // more pages follow
}

// pageBytes is the size from which a Delta is cut. A page holds up a slow line for a
// moment only, and stays far below the size of a message between nodes.
const pageBytes = 256 << 10

// doubts say how what goes missing is taken: for gone, or for what may come back
// until end. A zero end isn't known yet.
type doubts struct {
	on  bool
	end time.Time
}

// doubted is an item that went missing and may come back.
type doubted struct {
	rev int64 // at which it was missing
	end time.Time
}

// leftMS is how much longer the item may come back, 0 when that isn't known.
func (d doubted) leftMS() int64 {
	if d.end.IsZero() {
		return 0
	}
	return max(time.Until(d.end).Milliseconds(), 1)
}

// state is what is known of the prefix. An item never goes back to an earlier
// revision, in whatever order news of it come.
type state struct {
	out     Receiver
	items   map[string]infra.Value
	doubted map[string]doubted // missing since an outage; not told as gone
	removed []Removal          // the latest, in the order in which they were learnt
	tombs   map[string]int64   // the same by key, so that an older item doesn't come back
	newest  int64              // all changes up to this revision are known
	floor   int64              // removals up to it are not in removed
	keep    int                // removals that are remembered
	// pageBytes is the size from which a Delta is cut.
	pageBytes int
	dirty     bool // out was told of something since the last settle
}

func newState(out Receiver) state {
	return state{out: out, keep: keptRemovals, pageBytes: pageBytes, items: map[string]infra.Value{}, doubted: map[string]doubted{}, tombs: map[string]int64{}}
}

// reach notes that all changes up to a revision are known. Neighbours ask for what
// is newer, so a revision that only some change has must not count: what lies
// before it would be missing for ever at a node that doesn't read the store.
func (s *state) reach(rev int64) { s.newest = max(s.newest, rev) }

func (s *state) put(v infra.Value) {
	if s.items[v.Key].ModRev >= v.ModRev || s.tombs[v.Key] >= v.ModRev {
		return
	}
	delete(s.doubted, v.Key)
	delete(s.tombs, v.Key)
	s.items[v.Key] = v
	s.dirty = true
	s.out.Put(v)
}

// remove takes an item out that was gone at rev. One that may come back is held
// to be doubtful instead.
func (s *state) remove(key string, rev int64, d doubts) {
	held, ok := s.items[key]
	if held.ModRev > rev {
		return
	}
	if !ok {
		s.bury(key, rev)
		return
	}
	if d.on {
		s.doubted[key] = doubted{rev, d.end}
		return
	}
	delete(s.items, key)
	delete(s.doubted, key)
	s.bury(key, rev)
	s.dirty = true
	s.out.Removed(key)
}

// bury remembers that an item was gone at rev.
func (s *state) bury(key string, rev int64) {
	if s.tombs[key] >= rev {
		return
	}
	s.tombs[key] = rev
	s.removed = append(s.removed, Removal{Key: key, Rev: rev})
	if len(s.removed) <= s.keep {
		return
	}
	oldest := s.removed[0]
	s.removed = slices.Delete(s.removed, 0, 1)
	s.floor = max(s.floor, oldest.Rev)
	if s.tombs[oldest.Key] == oldest.Rev {
		delete(s.tombs, oldest.Key)
	}
}

// replace takes in everything as it was at a revision.
func (s *state) replace(items []infra.Value, at int64, d doubts) {
	if s.newest == 0 {
		s.floor = at
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
	s.reach(at)
}

// setDoubtEnd says until when those may come back for which that wasn't known.
func (s *state) setDoubtEnd(end time.Time) {
	for key, d := range s.doubted {
		if d.end.IsZero() {
			d.end = end
			s.doubted[key] = d
		}
	}
}

// dropDoubted takes out what did not come back in time.
func (s *state) dropDoubted(now time.Time) {
	for key, d := range s.doubted {
		if !d.end.IsZero() && !now.Before(d.end) {
			s.remove(key, d.rev, doubts{})
		}
	}
}

// delta answers a neighbour that knows all changes up to q.After.
func (s *state) delta(q DeltaRequest) Delta {
	if q.After >= s.floor {
		return s.changesAfter(q.After)
	}
	if !q.All {
		return Delta{Newest: s.newest, RemovalsUnknown: true}
	}
	return s.page(q.Last)
}

// changesAfter holds changes in the order of their revisions. Newest is the last of
// them where it is cut.
func (s *state) changesAfter(after int64) Delta {
	d := Delta{Newest: s.newest}
	for _, v := range s.items {
		if v.ModRev > after {
			d.Items = append(d.Items, v)
		}
	}
	slices.SortFunc(d.Items, func(a, b infra.Value) int { return cmp.Compare(a.ModRev, b.ModRev) })
	if n := wholeRevisions(d.Items, fitting(d.Items, s.pageBytes)); n < len(d.Items) {
		d.Newest = d.Items[n].ModRev - 1
		d.Items = d.Items[:n]
	}
	for _, r := range s.removed {
		if r.Rev > after && r.Rev <= d.Newest {
			d.Removed = append(d.Removed, r)
		}
	}
	d.Removed = append(d.Removed, s.doubtful(after, d.Newest)...)
	return d
}

// doubtful are the removals after a revision that may be none. They are told like
// others: once a node knows of something newer, nobody tells it of them again.
func (s *state) doubtful(after, upTo int64) []Removal {
	var out []Removal
	for key, d := range s.doubted {
		if d.rev > after && d.rev <= upTo {
			out = append(out, Removal{Key: key, Rev: d.rev, Unconfirmed: true, UnconfirmedMS: d.leftMS()})
		}
	}
	return out
}

// wholeRevisions moves a cut at n so that it parts no revision, and leaves one at
// least before it.
func wholeRevisions(items []infra.Value, n int) int {
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

// page holds items in the order of their keys.
func (s *state) page(last string) Delta {
	d := Delta{Newest: s.newest, Full: true}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key > last {
			d.Items = append(d.Items, s.items[key])
		}
	}
	n := fitting(d.Items, s.pageBytes)
	d.More = n < len(d.Items)
	d.Items = d.Items[:n]
	d.Removed = s.doubtful(0, d.Newest)
	return d
}

// fitting is the number of leading items that make a page: one at least.
func fitting(items []infra.Value, bound int) int {
	size := 0
	for i, v := range items {
		size += len(v.Key) + len(v.Data)
		if size > bound && i > 0 {
			return i
		}
	}
	return len(items)
}

// merge takes in what a neighbour knows. What it doubts may come back until it says
// so, or until end if it can't say.
//
// What goes wrong when each node doubts for the whole time anew: the store is back for
// a while, a replica leaves, and the one reader that still doubts it a little tells
// the others first. They go on sending it work for two seconds.
func (s *state) merge(d Delta, end time.Time) {
	if d.Newest <= s.newest || d.RemovalsUnknown {
		return
	}
	if d.Full {
		s.replace(d.Items, d.Newest, doubts{})
	}
	for _, v := range d.Items {
		s.put(v)
	}
	for _, r := range d.Removed {
		s.remove(r.Key, r.Rev, doubts{on: r.Unconfirmed, end: r.doubtEnd(end)})
	}
	s.reach(d.Newest)
}

func (s *state) settle() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.out.BatchDone()
}
