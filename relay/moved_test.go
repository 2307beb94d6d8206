package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/route"
)

// lastService is a Runner that records the service of the latest request.
type lastService string

func (s *lastService) Run(_ context.Context, req generation.Request, _ generation.Sink) generation.Result {
	*s = lastService(req.Opaque.Service)
	return generation.Result{Outcome: fleet.Complete}
}

// movable is a relay whose only stream routes change.
type movable struct {
	t       *testing.T
	relay   *Relay
	table   *route.Current
	version int64
	written []*route.Table // all configurations, as the store has them
	runner  lastService
}

func newMovable(t *testing.T, routes ...route.Route) *movable {
	return newMovableWith(t, &route.Current{FirstStart: true}, routes...)
}

func newMovableWith(t *testing.T, table *route.Current, routes ...route.Route) *movable {
	m := &movable{t: t, table: table}
	m.relay = New(Config{Table: m.table, Runner: &m.runner, Budgets: noBudgets{}, LearnMoves: func(context.Context) {
		m.table.LearnMoves(slices.Clone(m.written))
	}})
	m.install(routes...)
	return m
}

func (m *movable) install(routes ...route.Route) { m.table.Install(m.write(routes...)) }

// write writes a configuration to the store.
func (m *movable) write(routes ...route.Route) *route.Table {
	m.version++
	for i := range routes {
		r := &routes[i]
		r.Host, r.Kind, r.Resumable, r.Open, r.Timeout = "h", route.Stream, true, true, 20*time.Second
		if r.Prefix == "" {
			r.Prefix = "/p/"
		}
	}
	t := route.NewTable(&route.Config{Version: m.version, Revision: fleet.Revision(m.version), Routes: routes})
	m.written = append(m.written, t)
	return t
}

// send returns the service to which a request goes, or the status of its refusal.
func (m *movable) send(id, beganAs string, last int) string {
	m.runner = ""
	v := m.relay.Serve(m.t.Context(), &Request{ID: id, Host: "h", Path: "/p/q/x", FirstChunk: last + 1, HasPartialAnswer: last > 0, BeganAs: beganAs}, nil)
	if v.Status != 0 {
		return http.StatusText(v.Status)
	}
	return string(m.runner)
}

var (
	toA   = route.Route{Service: "a"}
	toB   = route.Route{Service: "b"}
	split = route.Route{Split: []route.WeightedService{{Service: "a", Weight: 60}, {Service: "b", Weight: 40}}}
)

// Guards against a stream that goes on at another service of its route than the one that began it.
func TestTakeUpGoesToTheServiceThatBeganTheStream(t *testing.T) {
	shifted := route.Route{Split: []route.WeightedService{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}}
	longer := toB
	longer.Prefix = "/p/q/"
	for name, c := range map[string]struct {
		before, after []route.Route
		streams       int // that go on, of 200 named ones and of 200 unnamed ones
		unnamed       int
	}{
		"one service":          {[]route.Route{toA}, nil, 200, 200},
		"split route":          {[]route.Route{split}, nil, 200, 0},
		"moved route":          {[]route.Route{toA}, []route.Route{toB}, 0, 0},
		"longer prefix":        {[]route.Route{toA}, []route.Route{toA, longer}, 0, 0},
		"route becomes split":  {[]route.Route{toA}, []route.Route{split}, 100, 0},
		"weights are shifted":  {[]route.Route{split}, []route.Route{shifted}, 150, 0},
		"removed and put back": {[]route.Route{toA}, []route.Route{}, 0, 0},
		"another route":        {[]route.Route{toA}, []route.Route{toA, {Service: "b", Prefix: "/other/"}}, 200, 200},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				m := newMovable(t, c.before...)
				services := map[string]string{}
				for i := range 200 {
					id := fmt.Sprint("q", i)
					services[id] = m.send(id, "", 0)
				}
				if c.after != nil {
					m.install(c.after...)
				}
				goOn := map[bool]int{}
				for id, service := range services {
					for _, named := range []bool{true, false} {
						beganAs := id
						if !named {
							beganAs = ""
						}
						switch got := m.send(id+"-again", beganAs, 12); got {
						case service:
							goOn[named]++
						case "Service Unavailable", "Not Found":
						default:
							t.Errorf("%s, named %v: began at %s, goes on at %s", id, named, service, got)
						}
					}
				}
				if goOn[true] < c.streams || goOn[false] < c.unnamed {
					t.Errorf("%d named and %d unnamed streams go on, want %d and %d", goOn[true], goOn[false], c.streams, c.unnamed)
				}
			})
		})
	}
}

// Guards against streams that are refused for a move that no stream has outlived.
func TestMoveIsForgottenWithTheLastOfItsStreams(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := newMovable(t, toA)
		m.install(toB)
		if got := m.send("again", "q", 12); got != "Service Unavailable" {
			t.Errorf("got %s", got)
		}
		time.Sleep(time.Minute)
		m.install(toB)
		if got := m.send("again", "q", 12); got != "b" {
			t.Errorf("got %s", got)
		}
	})
}

// Guards against a history of moves that grows with the number of configurations.
func TestManyMovesAreNotKept(t *testing.T) {
	m := newMovable(t, toA)
	for range 1000 {
		m.install(toB)
		m.install(toA)
	}
	if n := m.table.RecentMoves(); n > 100 {
		t.Errorf("%d moves are kept", n)
	}
	if got := m.send("again", "q", 12); got != "Service Unavailable" {
		t.Errorf("got %s", got)
	}
}

// Guards against a stream that ends, or goes on elsewhere, although a record says at which service it began.
func TestRecordSaysWhereAStreamBegan(t *testing.T) {
	const refused = "Service Unavailable"
	other := route.Route{Service: "b", Prefix: "/other/"}
	for name, c := range map[string]struct {
		routes   []route.Route // before the take-up, the last of them in force
		started  bool          // the router started after streams had begun
		stated   int64         // version of which the store states that streams began by its routes
		recorded string
		want     string
	}{
		"recorded before the move":           {[]route.Route{toA, toB}, false, 0, "a", "a"},
		"recorded since the move":            {[]route.Route{toA, toB}, false, 0, "b", "b"},
		"no record":                          {[]route.Route{toA, toB}, false, 0, "", refused},
		"started since the move":             {[]route.Route{toB}, true, 0, "a", "a"},
		"started, no record":                 {[]route.Route{toB}, true, 0, "", refused},
		"started, records unknown":           {[]route.Route{toB}, true, 0, "unknown", refused},
		"started, recorded elsewhere":        {[]route.Route{toB}, true, 0, "c", refused}, // no route of streams leads there
		"started, routes stated":             {[]route.Route{toB}, true, 1, "", "b"},
		"started, stated before a move":      {[]route.Route{toA, toB}, true, 1, "", refused},
		"started, stated since a move":       {[]route.Route{toA, toB, toB}, true, 2, "b", "b"},
		"started, stated of a later version": {[]route.Route{toB}, true, 2, "", refused},
		"stated, no record of a move":        {[]route.Route{toA, toB}, false, 1, "", refused},
	} {
		table := &route.Current{FirstStart: !c.started}
		table.SetStated(c.stated, 0)
		m := newMovableWith(t, table, c.routes[0], route.Route{Service: "a", Prefix: "/a/"}, other)
		for _, r := range c.routes[1:] {
			m.install(r, route.Route{Service: "a", Prefix: "/a/"}, other)
		}
		m.relay.cfg.RecordedAt = func(_ context.Context, _, beganAs string, services []string) (string, error) {
			switch {
			case c.recorded == "unknown":
				return "", errors.New("the store is away")
			case beganAs == "q" && slices.Contains(services, c.recorded):
				return c.recorded, nil
			}
			return "", nil
		}
		if got := m.send("again", "q", 12); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against a stream that goes on at another service at a router that got several configurations at once, so that it has not seen
// the one by which the stream began.
func TestMoveBetweenTwoConfigurationsIsNotOverlooked(t *testing.T) {
	for name, c := range map[string]struct {
		between route.Route
		gone    bool // the store's history
		want    string
	}{
		"moved and back":               {toB, false, "Service Unavailable"},
		"not moved":                    {toA, false, "a"},
		"moved and back, not readable": {toB, true, "Service Unavailable"},
		"not moved, not readable":      {toA, true, "Service Unavailable"},
	} {
		m := newMovable(t, toA)
		m.write(c.between)
		m.install(toA)
		if c.gone {
			m.written = nil
		}
		for _, beganAs := range []string{"q", ""} {
			if got := m.send("again", beganAs, 12); got != c.want {
				t.Errorf("%s, take-up of %q: %s, want %s", name, beganAs, got, c.want)
			}
		}
	}
}

// Guards against a service that counts as chosen by another configuration than the one that chose it.
func TestRequestNamesTheConfigurationThatChoseItsService(t *testing.T) {
	m := newMovable(t, toA)
	var got generation.Request
	m.relay.cfg.Runner = fixedResult{generation.Result{Outcome: fleet.Complete}, &got}
	for _, r := range []route.Route{toA, toB} {
		m.install(r)
		m.send("q", "", 0)
		if got.Opaque.ConfigVersion != m.version || got.Opaque.Service != r.Service {
			t.Errorf("service %s by configuration %d, want %s by %d", got.Opaque.Service, got.Opaque.ConfigVersion, r.Service, m.version)
		}
	}
}
