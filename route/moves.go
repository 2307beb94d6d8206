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
}

// moves holds the recent moves, and when the last one expires that found no place.
type moves struct {
	recent    []move
	unknownAt time.Time
}

// add records that next takes the place of old.
func (m *moves) add(old, next *Table, now time.Time) {
	m.recent = slices.DeleteFunc(m.recent, func(e move) bool { return !now.Before(e.expires) })
	if old == nil || slices.EqualFunc(old.streamRoutes, next.streamRoutes, leadsTheSame) {
		return
	}
	longest := time.Duration(0)
	for i := range old.streamRoutes {
		longest = max(longest, cmp.Or(old.streamRoutes[i].Timeout, unlimitedLifetime))
	}
	m.recent = append(m.recent, move{routes: streamTable(old.streamRoutes), expires: now.Add(longest + takeUpMargin)})
	if len(m.recent) > maxMoves {
		if e := m.recent[0].expires; e.After(m.unknownAt) {
			m.unknownAt = e
		}
		m.recent = slices.Delete(m.recent, 0, 1)
	}
}

// leadsTheSame reports whether two routes lead the same streams to the same services.
func leadsTheSame(a, b Route) bool {
	return a.Host == b.Host && a.Prefix == b.Prefix && a.Service == b.Service && slices.Equal(a.Split, b.Split)
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

// BeganAt returns the service at which a stream began that is taken up through route r, which the table in force has for the host and
// path. beganAs is the attempt that began it, or "" if that isn't known. certain is false if the service can't be known: streams that
// may still be taken up began at several.
func (c *Current) BeganAt(r *Route, host, path, beganAs string) (service string, certain bool) {
	pick := func(r *Route) (string, bool) {
		if beganAs == "" {
			return r.soleService()
		}
		return r.PickStream(beganAs), true
	}
	service, certain = pick(r)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.moves.unknownAt) {
		return "", false
	}
	for _, e := range c.moves.recent {
		if !now.Before(e.expires) {
			continue
		}
		before, found := e.routes.Match(host, path)
		if !found {
			continue
		}
		was, one := pick(before)
		certain = certain && one && was == service
	}
	return service, certain
}

// Moves returns the number of moves that are kept.
func (c *Current) Moves() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.moves.recent)
}

// streamTable returns a Table with the routes of streams alone.
func streamTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for i := range routes {
		t.addHost(&routes[i])
	}
	return t
}
