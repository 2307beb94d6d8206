package inventory

import "time"

const (
	// settle is how long a reader bears that the inventory says otherwise than
	// its own unchanged reading, which may come from a lagging replica of the
	// list, before it puts its reading in force.
	settle = 30 * time.Second
	// confirmAfter is the least time between a much smaller reading and the one
	// that confirms it; every reading between them must be as small.
	confirmAfter = 10 * time.Second
	// shownShare: a reading that lacks more than one in so many is held back.
	shownShare = 2
)

// Observer turns one reader's readings into changes of the inventory. It is
// pure but for its own memory.
//
// Failure story: the list has no version, and two readers may see it through
// replicas that lag differently. If a reader compared its reading with the
// inventory alone, the one behind would undo each change that the other one
// brings, in turn, for as long as the lag lasts. So what counts is a change
// between two readings of the same reader; a lasting difference without such a
// change (a reader that died with half of its news untold) counts only after
// settle.
type Observer struct {
	self    string
	last    map[string]Item    // own last reading; nil before the first
	differs map[string]dispute // by key
	small   time.Time          // first of the small readings held back; zero: none
	lacked  int                // entries that the last one of them lacked
}

// dispute is a record that says otherwise than this reader's reading.
type dispute struct {
	record Record
	since  time.Time
}

// Decision says what became of a reading.
type Decision int

// The verdicts of Observe.
const (
	Accepted  Decision = iota
	Withheld           // much smaller than the inventory: nothing follows from it
	Confirmed          // much smaller, but so were the readings before it
)

// NewObserver returns the Observer of the reader self.
func NewObserver(self string) *Observer { return &Observer{self: self} }

// Reset forgets the last reading. A node that reads again after a while must
// not take for a change of now what changed long ago.
func (o *Observer) Reset() { o.last, o.differs, o.small = nil, nil, time.Time{} }

// Observe returns the records to be merged into s after a reading that began
// at started.
func (o *Observer) Observe(s *State, list []Item, started time.Time) ([]Record, Decision) {
	reading := make(map[string]Item, len(list))
	for _, i := range list {
		if i.ID != "" {
			reading[i.key()] = i
		}
	}
	verdict := o.judge(s, reading, started)
	if verdict == Withheld {
		return nil, verdict
	}
	news := &findings{Observer: o, state: s, started: started, disputes: map[string]dispute{}}
	next := make(map[string]Item, len(reading))
	for key, i := range reading {
		before, seen := o.last[key]
		news.compare(key, i, true, seen && before == i)
		next[key] = i
	}
	for key, r := range s.records {
		if _, listed := reading[key]; listed || r.Removed {
			continue
		}
		_, seen := o.last[key]
		news.compare(key, r.Item, false, !seen)
	}
	news.postpone(next)
	o.last, o.differs = next, news.disputes
	return news.changes, verdict
}

// judge holds back a reading that lacks more than half of the inventory, or is
// empty: an outage of the list must not take the fleet out of service. An empty
// one is never believed, since the reader itself stands on the list.
func (o *Observer) judge(s *State, reading map[string]Item, now time.Time) Decision {
	live, gone := 0, 0
	for key, r := range s.records {
		if r.Removed {
			continue
		}
		live++
		if _, listed := reading[key]; !listed {
			gone++
		}
	}
	if len(reading) > 0 && shownShare*gone <= live {
		o.small = time.Time{}
		return Accepted
	}
	if len(reading) == 0 {
		o.small = time.Time{}
		return Withheld
	}
	// A list that fills up again after a restart of its service starts anew.
	if o.small.IsZero() || gone < o.lacked {
		o.small = now
	}
	o.lacked = gone
	if now.Sub(o.small) < confirmAfter {
		return Withheld
	}
	o.small = time.Time{}
	return Confirmed
}

// findings collects what one reading changes.
type findings struct {
	*Observer
	state    *State
	started  time.Time
	changes  []Record
	disputes map[string]dispute
	late     []string // keys whose record is newer than this reading
}

// compare holds an entry against its record. same tells that this reader's last
// reading showed it as this one does.
func (f *findings) compare(key string, i Item, listed, same bool) {
	r, known := f.state.records[key]
	switch {
	case known && r.Removed && !listed, known && listed && r.shows(i):
		return
	case !known && f.last == nil:
		f.changes = append(f.changes, first(i))
		return
	case known && f.newer(r):
		f.late = append(f.late, key)
		return
	}
	if known && (same || f.last == nil) && !f.settled(key, r) {
		return
	}
	f.changes = append(f.changes, f.change(r, known, i, listed))
}

// newer tells that the record came from a reading that began after this one.
// One far ahead comes from a wrong clock and is overtaken, see State.stamp.
func (f *findings) newer(r Record) bool {
	ahead := r.At - f.started.UnixMilli()
	return ahead > 0 && ahead < settle.Milliseconds()
}

func (f *findings) settled(key string, r Record) bool {
	d, ok := f.differs[key]
	if !ok || d.record != r {
		d = dispute{r, f.started}
	}
	f.disputes[key] = d
	return f.started.Sub(d.since) >= settle
}

// first is the record of an entry that nobody has seen to change. Every reader
// of the same list makes the same one, so that a whole fleet that starts has
// nothing to exchange; and anything that was seen to change goes before it.
func first(i Item) Record { return Record{Item: i} }

func (f *findings) change(old Record, known bool, i Item, listed bool) Record {
	at := f.state.stamp(f.started)
	next := Record{Item: i, Removed: !listed, At: at, Reader: f.self, FirstSeen: at, LeavingAt: old.LeavingAt}
	if known && !old.Removed && old.Item.sameLife(i) {
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

// postpone leaves what is late as the last reading had it, so that the next
// reading still finds the change.
func (f *findings) postpone(next map[string]Item) {
	for _, key := range f.late {
		before, seen := f.last[key]
		if seen {
			next[key] = before
			continue
		}
		delete(next, key)
	}
}
