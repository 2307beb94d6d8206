package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// Current holds the Table in force in this process. The version of the table in force only
// grows: a stale read of the store, a restarted watch or another router may deliver an older
// table after a newer one.
type Current struct {
	// FirstStart means that the first table is in force since before any stream of the deployment began. It is set before that table is
	// installed.
	FirstStart bool

	table atomic.Pointer[Table]

	mu      sync.Mutex // held while a table is installed
	moves   moves
	tenures tenures
}

// Get returns the table in force, or nil before the first table is installed.
func (c *Current) Get() *Table { return c.table.Load() }

// Install puts a newer table into force. It returns false, and changes nothing, if the
// version of t isn't higher than the version of the table in force.
func (c *Current) Install(t *Table) bool { return c.install(t, false) }

// InstallNext does the same with a table that directly follows the one in force: the store had none between.
func (c *Current) InstallNext(t *Table) bool { return c.install(t, true) }

func (c *Current) install(t *Table, follows bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && old.Version >= t.Version {
		return false
	}
	now := time.Now()
	switch {
	case old == nil:
		c.moves.begin(t, c.FirstStart, now)
	case follows:
		c.moves.follow(old, t, now)
	default:
		c.moves.replace(old, t, now)
	}
	c.tenures.add(t, now)
	c.table.Store(t)
	return true
}
