package mirror

import (
	"cmp"
	"slices"
	"time"

	"wigeondale/fleet"
)

const (
	// minRemovals is how many removals are remembered for neighbours that lag, however old they are.
	// A neighbour that lags by more removals has to read all items.
	minRemovals = 256
	// removalsKept is how long removals beyond minRemovals are remembered. When a failure domain
	// crashes, thousands of items are removed at once; neighbours request them within a second.
	removalsKept = 20 * time.Second
	// maxRemovals bounds the memory that removals take.
	maxRemovals = 1 << 15
	// maxRecent is how many recent changes are indexed by revision. A request for changes
	// before these looks at all items.
	maxRecent = 4096
)

// removalLog holds the latest removals, in the order of their arrival.
type removalLog struct {
	entries []loggedRemoval
	floor   fleet.Revision // removals up to this revision may be missing
	// minKept and keptFor are minRemovals and removalsKept, or smaller values in tests.
	minKept int
	keptFor time.Duration
}

type loggedRemoval struct {
	Removal
	addedAt time.Time
}

// add appends a removal and returns the removals that are no longer remembered.
func (l *removalLog) add(r Removal) (dropped []loggedRemoval) {
	now := time.Now()
	l.entries = append(l.entries, loggedRemoval{r, now})
	n := 0
	for len(l.entries)-n > l.minKept {
		oldest := l.entries[n]
		if now.Sub(oldest.addedAt) < l.keptFor && len(l.entries)-n <= maxRemovals {
			break
		}
		l.floor = max(l.floor, oldest.Rev)
		n++
	}
	dropped = slices.Clone(l.entries[:n])
	l.entries = slices.Delete(l.entries, 0, n)
	return dropped
}

// between returns the removals with revisions above after and up to upTo.
func (l *removalLog) between(after, upTo fleet.Revision) []Removal {
	var out []Removal
	for _, r := range l.entries {
		if r.Rev > after && r.Rev <= upTo {
			out = append(out, r.Removal)
		}
	}
	return out
}

// recentChanges is an index of the latest changed items by revision, so that a neighbour's
// request for the latest changes doesn't look at all items.
type recentChanges struct {
	entries []changedKey   // ordered by revision
	floor   fleet.Revision // changes up to this revision may be missing
	max     int            // maxRecent, or a smaller value in tests
}

type changedKey struct {
	rev fleet.Revision
	key string
}

// add records that an item was changed at a revision.
func (c *recentChanges) add(key string, rev fleet.Revision) {
	if rev <= c.floor {
		return
	}
	at := len(c.entries)
	if at > 0 && c.entries[at-1].rev > rev {
		at, _ = slices.BinarySearchFunc(c.entries, rev, func(e changedKey, rev fleet.Revision) int { return cmp.Compare(e.rev, rev) })
	}
	c.entries = slices.Insert(c.entries, at, changedKey{rev, key})
	if len(c.entries) > 2*c.max {
		drop := len(c.entries) - c.max
		c.floor = c.entries[drop-1].rev
		c.entries = slices.Delete(c.entries, 0, drop)
	}
}

// reset drops all entries. Changes up to the revision floor are not recorded from now on.
func (c *recentChanges) reset(floor fleet.Revision) {
	c.entries = nil
	c.floor = floor
}

// after returns the recorded changes above a revision, and false if some of them may be
// missing.
func (c *recentChanges) after(rev fleet.Revision) ([]changedKey, bool) {
	if rev < c.floor {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(c.entries, rev+1, func(e changedKey, rev fleet.Revision) int { return cmp.Compare(e.rev, rev) })
	return c.entries[at:], true
}
