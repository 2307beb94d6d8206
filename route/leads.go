package route

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file knows how the routes led streams that this process has had in force. A stream begins by routes that some router has in force:
// if all routers led streams the same for some time, no stream was moved in that time, whatever configurations there were.

// Leads identifies how routes lead streams: tables with the same Leads lead each stream to the same service.
type Leads uint64

// leads returns the Leads of a table's routes.
func (t *Table) leads() Leads {
	h := xxhash.New()
	field := func(s string) {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	for i := range t.streamRoutes {
		r := &t.streamRoutes[i]
		for _, s := range []string{r.Host, r.Prefix, r.Service} {
			field(s)
		}
		for _, s := range r.Split {
			field(s.Service)
			field(strconv.FormatUint(uint64(s.Weight), 10))
		}
		field("")
	}
	return Leads(h.Sum64())
}

// tenure is the time in which routes with some Leads were in force.
type tenure struct {
	leads Leads
	until time.Time // zero while they are
}

// tenures are those of this process, the latest last.
type tenures struct {
	all  []tenure
	from time.Time // they are complete since then
}

// maxTenures is the number of tenures that are kept.
const maxTenures = 256

// add records that a table is in force from now on.
func (t *tenures) add(table *Table, now time.Time) {
	if t.from.IsZero() {
		t.from = now
	}
	if n := len(t.all); n > 0 {
		t.all[n-1].until = now
	}
	t.all = append(t.all, tenure{leads: table.leads()})
	if over := len(t.all) - maxTenures; over > 0 {
		t.from = t.all[over-1].until
		t.all = slices.Delete(t.all, 0, over)
	}
}

// LedWithin returns the different Leads that were in force in this process within a time, and false if it hasn't had routes in force for
// as long.
func (c *Current) LedWithin(d time.Duration) (leads []Leads, covers bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.tenures.all {
		if (e.until.IsZero() || now.Sub(e.until) <= d) && !slices.Contains(leads, e.leads) {
			leads = append(leads, e.leads)
		}
	}
	return leads, !c.tenures.from.IsZero() && now.Sub(c.tenures.from) >= d
}

// Unconfirmed returns for how long there may have been moves that this process doesn't know and can't read from the store, with the
// version in force, and false if there are none or that isn't known.
func (c *Current) Unconfirmed() (within time.Duration, version int64, ok bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m, t := &c.moves, c.table.Load()
	if t == nil || m.unread || !m.unknown(now) || m.base.table == nil || m.base.at.IsZero() || m.base.since != m.lost {
		return 0, 0, false
	}
	return now.Sub(m.base.at), t.Version, true
}

// Confirm takes in that all routers led streams as the version in force does for the time that Unconfirmed returned with it.
func (c *Current) Confirm(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.table.Load(); t != nil && t.Version == version && !c.moves.unread {
		c.moves.completeAt(t)
	}
}
