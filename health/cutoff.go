package health

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// What a router that is cut off from backend servers has noticed of them must not count as their
// failure. This file removes it.

// EndSilentStreams ends the streams of a service that are silent, so that their answers go on
// elsewhere: this router is cut off from the service. Streams on connections that still work aren't
// silent.
func (m *Monitor) EndSilentStreams(service string) {
	t := m.sinceEpoch(time.Now())
	for _, d := range m.domainsOf(service) {
		for _, e := range d.list() {
			m.cancel(e.silentStreams(t))
		}
	}
}

// ResetService makes the backend servers of a service healthy and forgets the failures of their
// domains: they were noticed while this router was cut off from the service.
func (m *Monitor) ResetService(service string) {
	for _, d := range m.domainsOf(service) {
		d.forgetFailures()
		for _, e := range d.list() {
			m.reset(e)
		}
	}
}

// ResetAll makes all backend servers healthy, as ResetService does for those of a service.
func (m *Monitor) ResetAll() {
	m.mu.RLock()
	all := slices.Collect(maps.Values(m.engines))
	domains := slices.Collect(maps.Values(m.domains))
	m.mu.RUnlock()
	for _, d := range domains {
		d.forgetFailures()
	}
	for _, e := range all {
		m.reset(e)
	}
}

func (m *Monitor) reset(e *engine) {
	e.mu.Lock()
	previous := e.state
	e.recover()
	e.mu.Unlock()
	if previous != Healthy {
		m.ejected.Add(-1)
	}
}

// forgetFailures forgets the failures of the domain's members and the crash of the domain.
func (d *domain) forgetFailures() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.failed)
	d.crash = crash{}
}

// ServiceOfDomain returns the service to which the name of a failure domain belongs.
func ServiceOfDomain(name string) string {
	service, _, _ := strings.Cut(name, "/")
	return service
}

func (m *Monitor) domainsOf(service string) []*domain {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []*domain
	for name, d := range m.domains {
		if ServiceOfDomain(name) == service {
			out = append(out, d)
		}
	}
	return out
}
