package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	routes  *Table    // those of streams only
	expires time.Time // when the last stream that began by them can't be taken up any more
	// redirected reports that streams that began by them are led elsewhere now. Otherwise routes were removed only.
	redirected bool
}

// moves holds the recent moves, and until when there may be others: those before the first configuration, and those that found no
// place.
type moves struct {
	recent       []move
	startedUntil time.Time
	droppedUntil time.Time
	// first is the first version that this process had in force. sameSince is the first version since which this process has seen no move. stated is the version of which the store states that all
	// streams that may be taken up began by routes that lead as its routes do; 0 if there is none.
	first, sameSince, stated int64
}

// add records that next takes the place of old.
func (m *moves) add(old, next *Table, firstStart bool, now time.Time) {
	m.recent = slices.DeleteFunc(m.recent, func(e move) bool { return !now.Before(e.expires) })
	switch {
	case old == nil:
		m.first, m.sameSince = next.Version, next.Version
		if !firstStart {
			m.startedUntil = now.Add(next.streamLifetime())
		}
	case m.compare(old, next, now):
		m.sameSince = next.Version
	}
	m.bound()
}

// compare records the move, if there is one, that next makes after old.
func (m *moves) compare(old, next *Table, now time.Time) (moved bool) {
	if slices.EqualFunc(old.streamRoutes, next.streamRoutes, leadsTheSame) {
		return false
	}
	redirected, removed := compareStreams(streamTable(old.streamRoutes), streamTable(next.streamRoutes))
	if redirected || removed {
		m.recent = append(m.recent, move{streamTable(old.streamRoutes), now.Add(old.streamLifetime()), redirected})
	}
	return redirected || removed
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

// covered reports whether the store states that all streams began by routes that lead as those of a version do, and this process has
// seen no move since that version. inForce is the version in force: a later one, which the store may state, can have moved routes.
func (m *moves) covered(inForce int64) bool {
	return m.stated > 0 && m.stated >= m.sameSince && m.stated <= inForce
}

// startUnknown reports whether there may have been moves before this process knew the configuration.
func (m *moves) startUnknown(inForce int64, now time.Time) bool {
	return now.Before(m.startedUntil) && !m.covered(inForce)
}

// SetStated takes in that the store states that all streams that may still be taken up began by routes that lead as those of a version
// do; 0 means that it states nothing.
func (c *Current) SetStated(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moves.stated = version
}

// LearnMoves takes in the configurations that were in force before this process started: all of them from the one that the store states
// to the first one that this process had, in order. It returns false, and learns nothing, if they are others.
func (c *Current) LearnMoves(earlier []*Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.moves
	known := slices.IndexFunc(earlier, func(t *Table) bool { return t.Version == m.first })
	if known < 0 || earlier[0].Version != m.stated {
		return false
	}
	now, moved := time.Now(), false
	for i := range known {
		moved = m.compare(earlier[i], earlier[i+1], now) || moved
	}
	m.bound()
	m.startedUntil = time.Time{}
	if !moved && m.sameSince == m.first {
		m.sameSince = m.stated
	}
	return true
}

// NextStated returns the configuration that the store should state, and false if it states that already or this process doesn't know enough.
// connected means that no other router can have begun streams by earlier routes for as long as a stream lasts.
func (c *Current) NextStated(connected bool) (t *Table, due bool) {
	t = c.table.Load()
	if t == nil {
		return nil, false
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.moves
	settled := !now.Before(m.startedUntil) && !now.Before(m.droppedUntil) &&
		!slices.ContainsFunc(m.recent, func(e move) bool { return now.Before(e.expires) })
	return t, m.stated != t.Version && (m.covered(t.Version) || connected && settled)
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
	// StartUnknown reports that there may have been moves before this process knew the configuration.
	StartUnknown bool
}

// Origin returns where a stream began that is taken up through route r, which the table in force has for the host and path. beganAs is
// the attempt that began it, or "" if that isn't known.
func (c *Current) Origin(r *Route, host, path, beganAs string) Origin {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	table := c.table.Load()
	o := Origin{StartUnknown: c.moves.startUnknown(table.Version, now)}
	o.Certain = !o.StartUnknown && !now.Before(c.moves.droppedUntil)
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
