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
)

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

// streamTable returns a Table with the routes of streams alone.
func streamTable(routes []Route) *Table {
	t := &Table{hosts: map[string][]*Route{}}
	for i := range routes {
		t.addHost(&routes[i])
	}
	return t
}
