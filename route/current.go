package route

import "sync/atomic"

// Current is the Table in force in this process. Its version only grows: a stale read
// of the store, a restarted watch or another router may deliver an older one later.
type Current struct {
	table atomic.Pointer[Table]
}

// Get returns the table in force, or nil before the first.
func (c *Current) Get() *Table { return c.table.Load() }

// Install puts a newer table into force; it returns false if the table isn't newer.
func (c *Current) Install(t *Table) bool {
	for {
		old := c.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if c.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
