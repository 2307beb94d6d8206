package route

import (
	"slices"
	"time"

	"wigeondale/fleet"
)

// maxMoves is the number of moves that are kept.
const maxMoves = 64

// move is how the routes of streams led to services until a later configuration.
type move struct {
	from, to int64     // versions
	routes   *Table    // those of streams only
	expires  time.Time // when the last stream that began by them can't be taken up any more
	// redirected reports that streams that began by them are led elsewhere now. Otherwise routes were removed only.
	redirected bool
}

// moves holds the recent moves, and until when there may be others.
//
// A process may not see each configuration: one that starts, or gets several at once from another router, knows the latest only. A route
// that was moved there and back meanwhile looks as if it hadn't moved. So the history counts as complete for a version only if the store
// states it, the configurations between were read from the store, or all streams before have ended.
type moves struct {
	recent       []move
	droppedUntil time.Time // when the last stream can't be taken up any more that began before moves which found no place
	unknownUntil time.Time // the same for those that began before the version in force
	complete     bool      // the history up to the version in force is complete
	unknownFrom  time.Time // since when it isn't
	// base is the latest version up to which the history is complete, and sameSince the earliest one since which there was no move until
	// then.
	base      base
	sameSince int64
	stated    base
	lost      fleet.Revision // of a base after which the store's history is gone
	unread    bool           // the store has a later configuration than the one in force, which can't be read
}

// base is a version to which later ones are compared.
type base struct {
	version int64
	table   *Table // nil if only the version is known
	// since is a revision up to which the store has no later configuration; if there is no table, one before that of the version.
	since fleet.Revision
	at    time.Time // when the store had no later one, as SeenUpTo said; zero if that isn't known
}

// begin records the first table. firstStart means that no stream began before.
func (m *moves) begin(first *Table, firstStart bool, now time.Time) {
	m.unknownFrom, m.unknownUntil = now, now.Add(first.streamLifetime())
	if firstStart {
		m.completeAt(first)
		m.sameSince = first.Version
	}
	m.useStated(first)
}

// miss records that there may be tables after the one in force that are not known.
func (m *moves) miss(inForce *Table, now time.Time) {
	m.age(inForce, now)
	if m.complete {
		m.unknownFrom = now
	}
	m.complete = false
	m.unknownUntil = now.Add(inForce.streamLifetime())
}

// follow records that next takes the place of old, with no table between.
func (m *moves) follow(old, next *Table, now time.Time) {
	m.unread = false
	m.age(old, now)
	moved := m.change(old, next, now)
	if m.complete {
		m.completeAt(next)
		if moved {
			m.sameSince = next.Version
		}
	}
	m.useStated(next)
}

// replace records that next takes the place of old, and that there may have been others between.
func (m *moves) replace(old, next *Table, now time.Time) {
	m.unread = false
	m.miss(old, now)
	m.change(old, next, now)
	m.unknownUntil = now.Add(next.streamLifetime())
	m.useStated(next)
}

// change forgets the moves that no stream outlived, and records the one that next makes after old, if it makes one.
func (m *moves) change(old, next *Table, now time.Time) (moved bool) {
	m.recent = slices.DeleteFunc(m.recent, func(e move) bool { return !now.Before(e.expires) })
	moved = m.compare(old, next, now)
	m.bound()
	return moved
}

// age makes the history complete up to the table in force when all streams that began before have ended.
func (m *moves) age(inForce *Table, now time.Time) {
	if !m.complete && !m.unknown(now) {
		m.completeAt(inForce)
		m.sameSince = inForce.Version
	}
}

// completeAt records that the history is complete up to the table in force.
func (m *moves) completeAt(inForce *Table) {
	m.complete = true
	m.base = base{version: inForce.Version, table: inForce, since: max(inForce.Revision, m.base.since)}
}

// useStated uses what the store states if that is later than what this process knows.
func (m *moves) useStated(inForce *Table) {
	switch {
	case m.stated.version > inForce.Version || m.stated.version <= m.base.version:
	case m.stated.version == inForce.Version:
		m.completeAt(inForce)
		m.sameSince = inForce.Version
	default:
		m.base, m.sameSince = m.stated, m.stated.version
	}
}

// unknown reports whether there may have been moves that this process doesn't know.
func (m *moves) unknown(now time.Time) bool {
	return m.unread || !m.complete && now.Before(m.unknownUntil)
}

// compare records the move, if there is one, that next makes after old.
func (m *moves) compare(old, next *Table, now time.Time) (moved bool) {
	if slices.EqualFunc(old.streamRoutes, next.streamRoutes, leadsTheSame) {
		return false
	}
	before := streamTable(old.streamRoutes)
	redirected, removed := compareStreams(before, streamTable(next.streamRoutes))
	if !redirected && !removed {
		return false
	}
	if !slices.ContainsFunc(m.recent, func(e move) bool { return e.from == old.Version && e.to == next.Version }) {
		m.recent = append(m.recent, move{old.Version, next.Version, before, now.Add(old.streamLifetime()), redirected})
	}
	return true
}

// bound drops the earliest of too many moves.
func (m *moves) bound() {
	for len(m.recent) > maxMoves {
		if e := m.recent[0].expires; e.After(m.droppedUntil) {
			m.droppedUntil = e
		}
		m.recent = slices.Delete(m.recent, 0, 1)
	}
}

// learnTime is how long it takes at most, while the store answers, until a process that has missed configurations knows them.
const learnTime = 2 * time.Second

// Unsure reports whether routes may have moved without this process knowing it, for longer than it takes to learn of it.
func (c *Current) Unsure() bool {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Load() != nil && c.moves.unknown(now) && now.Sub(c.moves.unknownFrom) >= learnTime
}

// SetStated takes in that the store states that all streams that may still be taken up began by routes that lead as those of a version
// do. before is a revision before that of the version. Version 0 means that the store states nothing.
func (c *Current) SetStated(version int64, before fleet.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moves.stated = base{version: version, since: before}
	if t := c.table.Load(); t != nil {
		c.moves.useStated(t)
	}
}

// SeenUpTo takes in that a version is the latest one up to a revision of the store, which is what the store had at a time.
func (c *Current) SeenUpTo(version int64, revision fleet.Revision, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil || t.Version != version {
		return
	}
	c.moves.age(t, time.Now())
	if b := &c.moves.base; c.moves.complete {
		b.since = max(b.since, revision)
		if at.After(b.at) {
			b.at = at
		}
	}
}

// Missed takes in that the store has a configuration, later than the one in force, that can't be read.
func (c *Current) Missed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.table.Load(); t != nil {
		c.moves.miss(t, time.Now())
		c.moves.unread = true
	}
}

// UnknownSince returns the revision after which there may have been configurations that this process doesn't know, and false if there
// were none, or the revision isn't known.
func (c *Current) UnknownSince() (revision fleet.Revision, unknown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.moves.base.since
	return since, since != 0 && since != c.moves.lost && c.table.Load() != nil && c.moves.unknown(time.Now())
}

// HistoryLost takes in that the store doesn't have the configurations after a revision of UnknownSince any more.
func (c *Current) HistoryLost(since fleet.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moves.lost = since
}

// LearnMoves takes in all configurations after the revision of UnknownSince, in order. It returns false, and learns nothing, if some
// are missing.
func (c *Current) LearnMoves(later []*Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, t := &c.moves, c.table.Load()
	if m.base.table != nil {
		later = slices.DeleteFunc(later, func(o *Table) bool { return o.Version <= m.base.version })
		later = slices.Insert(later, 0, m.base.table)
	}
	inForce := slices.IndexFunc(later, func(o *Table) bool { return t != nil && o.Version == t.Version })
	if inForce < 0 || later[0].Version != m.base.version {
		return false
	}
	now := time.Now()
	for i := range inForce {
		if m.compare(later[i], later[i+1], now) {
			m.sameSince = later[i+1].Version
		}
	}
	m.bound()
	m.completeAt(t)
	return true
}

// NextStated returns the configuration that the store should state, and false if it states that already or this process doesn't know
// enough. connected means that no other router can have begun streams by earlier routes for as long as a stream lasts.
func (c *Current) NextStated(connected bool) (t *Table, due bool) {
	t = c.table.Load()
	if t == nil {
		return nil, false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.moves
	m.age(t, now)
	if m.stated.version == t.Version || !m.complete || m.unread {
		return t, false
	}
	follows := m.stated.version >= m.sameSince && m.stated.version < t.Version
	settled := !now.Before(m.droppedUntil) && !slices.ContainsFunc(m.recent, func(e move) bool { return now.Before(e.expires) })
	return t, follows || connected && settled
}

// RecentMoves returns the number of configurations since which streams that may still be taken up are led elsewhere.
func (c *Current) RecentMoves() (n int) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.moves.recent {
		if e.redirected && now.Before(e.expires) {
			n++
		}
	}
	return n
}
