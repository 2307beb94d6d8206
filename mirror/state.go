package mirror

import (
	"maps"
	"slices"

	"wigeondale/infra"
)

// keptRemovals is how many removals are remembered for neighbours that lag. With
// more in between they are given everything.
const keptRemovals = 256

// Removal says that an item was gone at a revision.
type Removal struct {
	Key string `cbor:"1,keyasint"`
	Rev int64  `cbor:"2,keyasint"`
}

// Delta is what changed between two revisions; with Full, all that there is.
type Delta struct {
	Newest  int64         `cbor:"1,keyasint"`
	Full    bool          `cbor:"2,keyasint,omitempty"`
	Items   []infra.Value `cbor:"3,keyasint,omitempty"`
	Removed []Removal     `cbor:"4,keyasint,omitempty"`
}

// state is what is known of the prefix. An item never goes back to an earlier
// revision, in whatever order news of it come.
type state struct {
	out     Receiver
	items   map[string]infra.Value
	doubted map[string]int64 // missing since an outage, with the revision; not told as gone
	removed []Removal        // the latest, in the order in which they were learnt
	tombs   map[string]int64 // the same by key, so that an older item doesn't come back
	at      int64            // revision up to which the store's changes are known
	newest  int64            // of the newest change that is known
	floor   int64            // removals up to it are not in removed
	keep    int              // removals that are remembered
	dirty   bool             // out was told of something since the last settle
}

func newState(out Receiver) state {
	return state{out: out, keep: keptRemovals, items: map[string]infra.Value{}, doubted: map[string]int64{}, tombs: map[string]int64{}}
}

// reach notes that all changes up to a revision are known.
func (s *state) reach(at int64) { s.at = max(s.at, at) }

func (s *state) put(v infra.Value) {
	if s.items[v.Key].ModRev >= v.ModRev || s.tombs[v.Key] >= v.ModRev {
		return
	}
	delete(s.doubted, v.Key)
	delete(s.tombs, v.Key)
	s.items[v.Key] = v
	s.newest = max(s.newest, v.ModRev)
	s.dirty = true
	s.out.Put(v)
}

// remove takes an item out that was gone at rev. One that may come back is held
// to be doubtful instead.
func (s *state) remove(key string, rev int64, mayComeBack bool) {
	held, ok := s.items[key]
	if held.ModRev > rev {
		return
	}
	if !ok {
		s.bury(key, rev)
		return
	}
	if mayComeBack {
		s.doubted[key] = rev
		return
	}
	delete(s.items, key)
	delete(s.doubted, key)
	s.bury(key, rev)
	s.dirty = true
	s.out.Gone(key)
}

// bury remembers that an item was gone at rev.
func (s *state) bury(key string, rev int64) {
	if s.tombs[key] >= rev {
		return
	}
	s.tombs[key] = rev
	s.newest = max(s.newest, rev)
	s.removed = append(s.removed, Removal{key, rev})
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
func (s *state) replace(items []infra.Value, at int64, mayComeBack bool) {
	if s.at == 0 {
		s.floor = at
	}
	found := make(map[string]bool, len(items))
	for _, v := range items {
		found[v.Key] = true
		s.put(v)
	}
	for _, key := range slices.Collect(maps.Keys(s.items)) {
		if !found[key] {
			s.remove(key, at, mayComeBack)
		}
	}
	s.reach(at)
}

// dropDoubted takes out what did not come back.
func (s *state) dropDoubted() {
	for key, rev := range maps.Clone(s.doubted) {
		s.remove(key, rev, false)
	}
	clear(s.doubted)
}

// delta is what a neighbour lacks that knows all changes up to after.
func (s *state) delta(after int64) Delta {
	d := Delta{Newest: s.newest, Full: after < s.floor}
	for _, v := range s.items {
		if d.Full || v.ModRev > after {
			d.Items = append(d.Items, v)
		}
	}
	for _, r := range s.removed {
		if !d.Full && r.Rev > after {
			d.Removed = append(d.Removed, r)
		}
	}
	return d
}

// merge takes in what a neighbour knows. It saw the removals itself, after any
// doubt of its own.
func (s *state) merge(d Delta) {
	if d.Newest <= s.newest {
		return
	}
	if d.Full {
		s.replace(d.Items, d.Newest, false)
		s.newest = max(s.newest, d.Newest)
		return
	}
	for _, v := range d.Items {
		s.put(v)
	}
	for _, r := range d.Removed {
		s.remove(r.Key, r.Rev, false)
	}
	s.newest = max(s.newest, d.Newest)
	s.reach(d.Newest)
}

func (s *state) settle() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.out.Settled()
}
