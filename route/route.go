// Package route holds the routes, services and client accounts of one version of the
// configuration, and finds the route and the account of a request.
//
// It guards against handling a request by a version of the configuration that is older
// than a version whose effect has already been seen: a revoked API key would work again,
// or a route's requests would go to a service from which the route has been moved away. A
// Table is therefore immutable, a request uses one Table from start to end, and Current
// only ever moves to a higher version.
package route

import (
	"strings"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("route")

// Kind defines whether the requests of a route may be repeated.
type Kind uint8

// The kinds of a route.
const (
	// Once is the kind of route whose requests may run at most once.
	Once Kind = iota
	// Repeatable is the kind of route whose requests may run more than once.
	Repeatable
	// Stream is the kind of route whose responses are streams of numbered chunks, so that a
	// client can resume them.
	Stream
)

// String returns the name of the kind that is used in logs.
func (k Kind) String() string {
	switch k {
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	}
	return "once"
}

// WeightedService is one of the services of a split route. Its part of the requests is its
// weight divided by the sum of the weights.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how the requests for one host and path prefix are handled.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Service     string // when Split is empty
	Split       []WeightedService
	Kind        Kind
	Resumable   bool          // a stream may continue at another replica
	Timeout     time.Duration // time within which a request gets its final answer; 0 means no limit
	Target      time.Duration // deadline for an answer, or for a stream's first chunk, to be on time
	MaxAttempts int
	Priority    int // of waiting requests; 0 is the highest
	// StatedPriority is the configured number, 0 if there is none; backend servers are sent this one.
	StatedPriority int
	Open           bool // no key is needed
}

// Replayable reports whether more than one backend server may run the same request of this
// route.
func (r *Route) Replayable() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for one request, chosen by the random number n: each service of
// Split in proportion to its weight, or Service if Split has no weight.
func (r *Route) Pick(n uint64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return r.Service
	}
	at := int(n % uint64(total))
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Service
}

// Allows reports whether requests of the route may go to a service.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return len(r.Split) == 0 && r.Service == service
}

// Service is the configuration of the replicas of one service.
type Service struct {
	Name       string
	HealthPath string // where its replicas answer health checks
	// Engine is true if the service's replicas are model engines. Each replica then has
	// memory for Memory tokens of the requests that it runs.
	Engine bool
	Memory int
	// KeepsCopies is true if a replica keeps an up-to-date copy of each run at another
	// replica from the start of the run. MakesCopies is true if a replica makes a copy of
	// a run on request.
	KeepsCopies, MakesCopies bool
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is true.
	Priority       int
	StatedPriority int
	HasPriority    bool
}

// Limits bounds what a client may send.
type Limits struct {
	BodyBytes                  int64
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is the content of one version of the configuration.
type Config struct {
	Version  int64
	Revision fleet.Revision // of the item in the store; 0 if not known
	Routes   []Route
	Services []Service
	Accounts []Account
	// Keyless is true if the configuration has no accounts, so that no request needs a
	// key.
	Keyless bool
	Limits  Limits
}

// Table maps hosts and paths to routes, names to services and API keys to client accounts, for
// one configuration version. It is immutable.
type Table struct {
	Version   int64
	Revision  fleet.Revision
	Keyless   bool
	Limits    Limits
	hosts     map[string][]*Route
	services  map[string]Service
	keys      map[string]*Account
	streams   map[string]time.Duration // longest timeout of the resumable streams, by service; 0 means no limit
	urgencies map[string][]urgency     // by service, the most urgent first
	// streamRoutes are the routes of streams.
	streamRoutes []Route
}

// NewTable builds the Table of one version of the configuration.
func NewTable(c *Config) *Table {
	t := &Table{
		Version:   c.Version,
		Revision:  c.Revision,
		Keyless:   c.Keyless,
		Limits:    c.Limits,
		hosts:     map[string][]*Route{},
		services:  map[string]Service{},
		keys:      map[string]*Account{},
		streams:   map[string]time.Duration{},
		urgencies: map[string][]urgency{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.addHost(r)
		t.addStreams(r)
		t.addUrgencies(r, c)
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		for _, key := range a.Keys {
			t.keys[key] = a
		}
	}
	return t
}

func (t *Table) addHost(r *Route) {
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	if r.Kind == Stream {
		t.streamRoutes = append(t.streamRoutes, *r)
	}
}

// addStreams takes in the timeout of a route of resumable streams.
func (t *Table) addStreams(r *Route) {
	if r.Kind != Stream || !r.Resumable {
		return
	}
	services := []string{r.Service}
	for _, s := range r.Split {
		services = append(services, s.Service)
	}
	for _, service := range services {
		longest, known := t.streams[service]
		switch {
		case !known || r.Timeout <= 0:
			t.streams[service] = max(r.Timeout, 0)
		case longest > 0:
			t.streams[service] = max(longest, r.Timeout)
		}
	}
}

// Streams returns the services that have resumable streams, with the longest timeout of these; 0
// means no limit.
func (t *Table) Streams() map[string]time.Duration { return t.streams }

// Match returns the route of the host that has the longest prefix with which the path
// begins. The bool is false if no route of the host has such a prefix.
func (t *Table) Match(host, path string) (*Route, bool) {
	var best *Route
	for _, r := range t.hosts[hostOf(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best, best != nil
}

// hostOf removes the port from a Host header and makes it lower case.
func hostOf(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Account returns the client account to which the key belongs. The bool is false if the key is
// empty or belongs to no account.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok && key != ""
}

// OnlyEngine returns the service whose replicas are model engines. The bool is false unless
// exactly one service has such replicas.
func (t *Table) OnlyEngine() (Service, bool) {
	var only Service
	n := 0
	for _, s := range t.services {
		if s.Engine {
			only = s
			n++
		}
	}
	return only, n == 1
}

// Service returns the service of the given name, or the zero value if the configuration has no
// such service.
func (t *Table) Service(name string) Service { return t.services[name] }

// HasService reports whether the configuration has a service of the given name.
func (t *Table) HasService(name string) bool {
	_, ok := t.services[name]
	return ok
}
