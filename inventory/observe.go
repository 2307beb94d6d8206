package inventory

import "time"

const (
	// mismatchTimeout is how long the inventory may differ from a reader's unchanged
	// reading before the reader changes the inventory to match its reading. Before that
	// time, the reading may come from a lagging replica of the list.
	mismatchTimeout = 30 * time.Second
	// confirmAfter is the minimum time between a reading that is much smaller than the
	// inventory and the reading that confirms it. Every reading between them must be as
	// small.
	confirmAfter = 10 * time.Second
	// missingDivisor defines when a reading is withheld: when it lacks more than
	// 1/missingDivisor of the entries in the inventory.
	missingDivisor = 2
)

// Observer turns one reader's readings into changes of the inventory. It has no side
// effects except on its own memory.
//
// The list has no version, and two readers may see it through replicas that lag by
// different times. If a reader compared its reading with the inventory alone, the
// reader whose replica is behind would undo each change that the other reader makes,
// and the other reader would make the change again, for as long as the lag lasts. So
// only a change between two readings of the same reader counts.
//
// Exception: a difference between reading and inventory that has lasted for mismatchTimeout
// counts without such a change. Such a difference arises if a reader crashes before it has
// sent all its updates.
type Observer struct {
	self        string
	last        map[string]Item     // this reader's last reading; nil before the first
	mismatches  map[string]mismatch // by key
	smallSince  time.Time           // time of the first of the small readings being withheld; zero if none is
	lastMissing int                 // number of entries that the last withheld small reading lacked
}

// mismatch is a record that differs from this reader's reading, and the time since when it
// has differed.
type mismatch struct {
	record Record
	since  time.Time
}

// Decision states whether a reading may change the inventory.
type Decision int

// The decisions of Observe.
const (
	Accepted  Decision = iota
	Withheld           // the reading is much smaller than the inventory and changes nothing
	Confirmed          // the reading is much smaller, but so were the readings before it
)

// NewObserver returns the Observer of the reader with the id self.
func NewObserver(self string) *Observer { return &Observer{self: self} }

// Reset forgets the last reading, the mismatches and since when small readings have been
// withheld. Otherwise a node that reads again after a while would report changes that were
// made long ago as changes made now.
func (o *Observer) Reset() { o.last, o.mismatches, o.smallSince = nil, nil, time.Time{} }

// Observe evaluates the reading list, which started at started, and returns the records to
// be merged into s because of it. A withheld reading gives no records.
func (o *Observer) Observe(s *State, list []Item, started time.Time) ([]Record, Decision) {
	reading := make(map[string]Item, len(list))
	for _, i := range list {
		if i.ID != "" {
			reading[i.key()] = i
		}
	}
	decision := o.evaluate(s, reading, started)
	if decision == Withheld {
		return nil, decision
	}
	found := &findings{Observer: o, state: s, started: started, newMismatches: map[string]mismatch{}}
	next := make(map[string]Item, len(reading))
	for key, i := range reading {
		before, seen := o.last[key]
		found.compare(key, i, true, seen && before == i)
		next[key] = i
	}
	for key, r := range s.records {
		if _, listed := reading[key]; listed || r.Removed {
			continue
		}
		_, seen := o.last[key]
		found.compare(key, r.Item, false, !seen)
	}
	found.keepPrevious(next)
	o.last, o.mismatches = next, found.newMismatches
	return found.changes, decision
}

// evaluate withholds a reading that is empty or lacks more than half of the inventory:
// an outage of the list must not take the fleet out of service. It accepts a smaller
// reading once all readings of the last confirmAfter were as small. An empty reading is
// never accepted, since the reader itself is on the list.
func (o *Observer) evaluate(s *State, reading map[string]Item, now time.Time) Decision {
	live, missing := 0, 0
	for key, r := range s.records {
		if r.Removed {
			continue
		}
		live++
		if _, listed := reading[key]; !listed {
			missing++
		}
	}
	if len(reading) > 0 && missingDivisor*missing <= live {
		o.smallSince = time.Time{}
		return Accepted
	}
	if len(reading) == 0 {
		o.smallSince = time.Time{}
		return Withheld
	}
	// If this reading lacks fewer entries than the last withheld one, the list may be
	// filling up after a restart of its service, so the wait starts again.
	if o.smallSince.IsZero() || missing < o.lastMissing {
		o.smallSince = now
	}
	o.lastMissing = missing
	if now.Sub(o.smallSince) < confirmAfter {
		return Withheld
	}
	o.smallSince = time.Time{}
	return Confirmed
}

// findings collects the changes to the inventory that one reading causes.
type findings struct {
	*Observer
	state         *State
	started       time.Time
	changes       []Record
	newMismatches map[string]mismatch
	outdated      []string // keys whose record is newer than this reading
}

// compare compares what this reading shows of an entry with the entry's record, and adds a
// change to f.changes if the record must change because of this reading. listed means that
// this reading contains the entry. same means that this reader's previous reading showed
// the entry as this reading does.
func (f *findings) compare(key string, i Item, listed, same bool) {
	r, known := f.state.records[key]
	switch {
	case known && r.Removed && !listed, known && listed && r.matches(i):
		return
	case !known && f.last == nil:
		f.changes = append(f.changes, firstRecord(i))
		return
	case known && f.newer(r):
		f.outdated = append(f.outdated, key)
		return
	}
	if known && (same || f.last == nil) && !f.mismatchLasted(key, r) {
		return
	}
	f.changes = append(f.changes, f.changedRecord(r, known, i, listed))
}

// newer reports whether the record came from a reading that started after this one. A
// record whose time is far ahead comes from a reader with a wrong clock and does not
// count as newer; State.nextStamp makes this reading prevail over it.
func (f *findings) newer(r Record) bool {
	ahead := r.At - f.started.UnixMilli()
	return ahead > 0 && ahead < mismatchTimeout.Milliseconds()
}

func (f *findings) mismatchLasted(key string, r Record) bool {
	d, ok := f.mismatches[key]
	if !ok || d.record != r {
		d = mismatch{r, f.started}
	}
	f.newMismatches[key] = d
	return f.started.Sub(d.since) >= mismatchTimeout
}

// firstRecord returns the record of an entry that no reader has seen change. Every
// reader of the same list makes the same record, so that a fleet that starts has
// nothing to exchange. Any record of a change prevails over a first record, because its
// At is higher.
func firstRecord(i Item) Record { return Record{Item: i} }

func (f *findings) changedRecord(old Record, known bool, i Item, listed bool) Record {
	at := f.state.nextStamp(f.started)
	next := Record{Item: i, Removed: !listed, At: at, Reader: f.self, FirstSeen: at, LeavingAt: old.LeavingAt}
	if known && !old.Removed && old.Item.sameIncarnation(i) {
		next.FirstSeen = old.FirstSeen
	}
	if known && !old.Removed && old.Item.Leaving {
		next.LeavingAt = max(next.LeavingAt, at-1)
	}
	if listed && i.Leaving {
		next.LeavingAt = at
	}
	return next
}

// keepPrevious stores, for the entries in which this reading is outdated, what the
// previous reading showed, so that the next reading still detects the change.
func (f *findings) keepPrevious(next map[string]Item) {
	for _, key := range f.outdated {
		before, seen := f.last[key]
		if seen {
			next[key] = before
			continue
		}
		delete(next, key)
	}
}
