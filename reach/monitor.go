package reach

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/event"
	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("reach")

// tickInterval is how often Run decides whether to probe backend servers.
const tickInterval = 50 * time.Millisecond

// Config configures a Monitor.
type Config struct {
	// ServiceOf returns the id and the service of the backend server at an address, and false if
	// none is known there.
	ServiceOf func(addr string) (id, service string, ok bool)
	// Backends returns the backend servers of a service that take requests.
	Backends func(service string) []fleet.Backend
	// Probe reports whether a connection to a backend server opens.
	Probe func(ctx context.Context, b fleet.Backend) bool
	// OnChange, if set, is called when this router is cut off from a service and when that ends.
	// It must not block.
	OnChange func(service string, cutOff bool)
	Log      *event.Log
	Set      *metrics.Set
}

// Monitor finds out from which services this router is cut off. It implements
// backend.ConnObserver. It is safe for concurrent use.
type Monitor struct {
	cfg  Config
	cuts *metrics.Counter
	wake chan struct{} // signals that a connection has failed

	cutOff atomic.Pointer[map[string]bool] // read without the lock; replaced when it changes

	mu       sync.Mutex
	services map[string]*service
	// waiting holds the functions that AfterCheck was given, by service.
	waiting map[string][]func(cutOff bool)
}

// New returns a Monitor. The functions of cfg are not called before the first connection is
// reported.
func New(cfg Config) *Monitor {
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(string, bool) {}
	}
	m := &Monitor{cfg: cfg, services: map[string]*service{}, waiting: map[string][]func(bool){}, wake: make(chan struct{}, 1), cuts: cfg.Set.NewCounter("wigeon_cuts_total")}
	cfg.Set.NewGauge("wigeon_services_cut_off", func() float64 { return float64(len(m.CutOffServices())) })
	return m
}

// CutOff reports whether this router is cut off from a service.
func (m *Monitor) CutOff(service string) bool {
	if m == nil {
		return false
	}
	off := m.cutOff.Load()
	return off != nil && (*off)[service]
}

// CutOffServices returns the services from which this router is cut off, in order.
func (m *Monitor) CutOffServices() []string {
	off := m.cutOff.Load()
	if off == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(*off))
}

// Any reports whether this router is cut off from any service.
func (m *Monitor) Any() bool {
	return m != nil && len(m.CutOffServices()) > 0
}

// ConnOpened implements backend.ConnObserver.
func (m *Monitor) ConnOpened(addr string) {
	if id, name, ok := m.cfg.ServiceOf(addr); ok {
		m.connected(name, id, time.Now())
	}
}

// ConnFailed implements backend.ConnObserver.
func (m *Monitor) ConnFailed(addr string, _ error) {
	id, name, ok := m.cfg.ServiceOf(addr)
	if !ok {
		return
	}
	now := time.Now()
	m.mu.Lock()
	m.service(name).fail(id, now)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	m.look(name, now)
}

// AfterCheck calls fn once it is known whether this router is cut off from a service: at once if
// nothing suggests that it is, else after the check.
func (m *Monitor) AfterCheck(name string, fn func(cutOff bool)) {
	m.look(name, time.Now())
	m.mu.Lock()
	s := m.service(name)
	if s.phase == checking {
		m.waiting[name] = append(m.waiting[name], fn)
		m.mu.Unlock()
		return
	}
	cutOff := s.phase == cut
	m.mu.Unlock()
	fn(cutOff)
}

// CheckCutOff reports whether this router is cut off from a service, after a check if failures are
// reason for one. It returns true if ctx ends first.
func (m *Monitor) CheckCutOff(ctx context.Context, name string) bool {
	result := make(chan bool, 1)
	m.AfterCheck(name, func(cutOff bool) { result <- cutOff })
	select {
	case cutOff := <-result:
		return cutOff
	case <-ctx.Done():
		return true
	}
}

// Run checks services and probes their backend servers until ctx ends. It sleeps while all
// connections work.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		}
		m.watch(ctx)
	}
}

// watch decides at intervals whether probes are due, until none can be due.
func (m *Monitor) watch(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			watched := m.watched()
			if len(watched) == 0 {
				return
			}
			for _, name := range watched {
				m.look(name, now)
			}
		}
	}
}

// watched returns the services for which a probe may be due.
func (m *Monitor) watched() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, s := range m.services {
		if s.phase == cut || len(s.failed) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// service returns the state of a service. The caller holds m.mu.
func (m *Monitor) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{}
		m.services[name] = s
	}
	return s
}

// look sends the probes that are due for a service.
func (m *Monitor) look(name string, now time.Time) {
	read := func() []fleet.Backend { return m.cfg.Backends(name) }
	m.mu.Lock()
	due := m.service(name).due(read, now)
	m.mu.Unlock()
	for _, b := range due {
		go m.probe(name, b)
	}
}

func (m *Monitor) probe(name string, b fleet.Backend) {
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
	defer cancel()
	if m.cfg.Probe(ctx, b) {
		m.connected(name, b.ID, time.Now())
		return
	}
	now := time.Now()
	m.mu.Lock()
	s := m.service(name)
	begins := s.probeFailed(b.ID, now)
	evidence := len(s.failed)
	if begins {
		m.setCutOff(name, true)
	}
	fns := m.takeWaiting(name, s)
	m.mu.Unlock()
	if begins {
		m.cuts.Inc()
		m.cfg.Log.Emit(event.CutOffBegun, "service", name, "failed", evidence, "known", len(m.cfg.Backends(name)))
		m.cfg.OnChange(name, true)
	}
	for _, fn := range fns {
		fn(begins)
	}
}

func (m *Monitor) connected(name, id string, now time.Time) {
	m.mu.Lock()
	s := m.service(name)
	age := now.Sub(s.since)
	ends := s.connected(id, now)
	if ends {
		m.setCutOff(name, false)
	}
	fns := m.takeWaiting(name, s)
	m.mu.Unlock()
	if ends {
		m.cfg.Log.Emit(event.CutOffEnded, "service", name, "backend", id, "age_ms", age.Milliseconds())
		m.cfg.OnChange(name, false)
	}
	for _, fn := range fns {
		fn(false)
	}
}

// takeWaiting returns the functions that waited for the end of a check, if it has ended. The
// caller holds m.mu.
func (m *Monitor) takeWaiting(name string, s *service) []func(bool) {
	if s.phase == checking {
		return nil
	}
	fns := m.waiting[name]
	delete(m.waiting, name)
	return fns
}

// setCutOff records whether this router is cut off from a service. The caller holds m.mu.
func (m *Monitor) setCutOff(name string, off bool) {
	next := map[string]bool{}
	if before := m.cutOff.Load(); before != nil {
		next = maps.Clone(*before)
	}
	delete(next, name)
	if off {
		next[name] = true
	}
	m.cutOff.Store(&next)
}
