package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fleet"
)

const (
	// takeUpMargin is the time after a stream's timeout within which its client may still take it up, and unlimitedLifetime how long a
	// stream without a timeout may be taken up.
	takeUpMargin      = 5 * time.Second
	unlimitedLifetime = 10 * time.Minute
	// maxMoves is the number of moves that are kept.
	maxMoves = 64
)

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
}

// base is a version to which later ones are compared.
type base struct {
	version int64
	table   *Table         // nil if only the version is known
	since   fleet.Revision // the store has no later configuration up to this revision; if there is no table, up to the one before the version's
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

// follow records that next takes the place of old, with no table between.
func (m *moves) follow(old, next *Table, now time.Time) {
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
	m.age(old, now)
	m.change(old, next, now)
	if m.complete {
		m.unknownFrom = now
	}
	m.complete = false
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
	m.base = base{inForce.Version, inForce, max(inForce.Revision, m.base.since)}
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
func (m *moves) unknown(now time.Time) bool { return !m.complete && now.Before(m.unknownUntil) }

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

// NeedsRecords reports whether it takes a record to know at which service a stream began: routes have moved, or may have moved without
// this process knowing it for some time.
func (c *Current) NeedsRecords() bool {
	if c.RecentMoves() > 0 {
		return true
	}
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

// SeenUpTo takes in that a version is the latest one up to a revision of the store.
func (c *Current) SeenUpTo(version int64, revision fleet.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil || t.Version != version {
		return
	}
	c.moves.age(t, time.Now())
	if c.moves.complete {
		c.moves.base.since = max(c.moves.base.since, revision)
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
	if m.stated.version == t.Version || !m.complete {
		return t, false
	}
	follows := m.stated.version >= m.sameSince && m.stated.version < t.Version
	settled := !now.Before(m.droppedUntil) && !slices.ContainsFunc(m.recent, func(e move) bool { return now.Before(e.expires) })
	return t, follows || connected && settled
}

// streamLifetime returns how long any stream may last from its first chunk to its last take-up.
func (t *Table) streamLifetime() time.Duration {
	longest := time.Duration(0)
	for i := range t.streamRoutes {
		longest = max(longest, cmp.Or(t.streamRoutes[i].Timeout, unlimitedLifetime))
	}
	return longest + takeUpMargin
}

// leadsTheSame reports whether two routes lead the same paths to the same services.
func leadsTheSame(a, b Route) bool {
	return a.Host == b.Host && a.Prefix == b.Prefix && a.Service == b.Service && slices.Equal(a.Split, b.Split)
}

// compareStreams reports whether paths that old leads to services are led to others by next, or nowhere. Both have routes of streams
// only. The paths at which that can change are the prefixes of both.
func compareStreams(old, next *Table) (redirected, removed bool) {
	for _, r := range slices.Concat(old.streamRoutes, next.streamRoutes) {
		before, wasLed := old.Match(r.Host, r.Prefix)
		after, isLed := next.Match(r.Host, r.Prefix)
		switch {
		case wasLed && isLed:
			redirected = redirected || before.Service != after.Service || !slices.Equal(before.Split, after.Split)
		case wasLed:
			removed = true
		}
	}
	return redirected, removed
}

// PickStream returns the service for a stream. It depends on the id of the attempt that begins the stream only, so that a later attempt
// goes to the same service through any router.
func (r *Route) PickStream(id string) string { return r.Pick(xxhash.Sum64String(id)) }

// soleService returns the service of all streams of the route, and false if there are several.
func (r *Route) soleService() (string, bool) {
	only, several := "", false
	for _, s := range r.Split {
		if s.Weight > 0 {
			several = several || only != "" && only != s.Service
			only = s.Service
		}
	}
	if only == "" {
		return r.Service, true
	}
	return only, !several
}

// Origin is the service at which a stream began, as far as the configurations say.
type Origin struct {
	Service string
	// Certain is false if streams that may still be taken up may have begun at several services.
	Certain bool
	// Others are further services at which the stream may have begun.
	Others []string
	// MovesUnknown reports that there may have been moves that this process doesn't know.
	MovesUnknown bool
}

// Origin returns where a stream began that is taken up through route r, which the table in force has for the host and path. beganAs is
// the attempt that began it, or "" if that isn't known.
func (c *Current) Origin(r *Route, host, path, beganAs string) Origin {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	table := c.table.Load()
	o := Origin{MovesUnknown: c.moves.unknown(now)}
	o.Certain = !o.MovesUnknown && !now.Before(c.moves.droppedUntil)
	o.Service, o.Certain = r.originOf(beganAs, o.Certain)
	for _, e := range c.moves.recent {
		before, found := e.routes.Match(host, path)
		if !found || !now.Before(e.expires) {
			continue
		}
		was, one := before.originOf(beganAs, true)
		o.Certain = o.Certain && one && was == o.Service
		o.add(was)
	}
	if !o.Certain {
		for service := range table.streams {
			o.add(service)
		}
	}
	return o
}

// originOf returns the service at which the route begins the stream of an attempt. certain stays set unless there may be several.
func (r *Route) originOf(beganAs string, certain bool) (service string, stillCertain bool) {
	if beganAs != "" {
		return r.PickStream(beganAs), certain
	}
	service, only := r.soleService()
	return service, certain && only
}

func (o *Origin) add(service string) {
	if service != "" && service != o.Service && !slices.Contains(o.Others, service) {
		o.Others = append(o.Others, service)
	}
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

// streamTable returns a Table with the routes of streams alone.
func streamTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for i := range routes {
		t.addHost(&routes[i])
	}
	return t
}
