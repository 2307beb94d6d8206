package health

import (
	"time"

	"wigeondale/event"
)

// crash is the last crash of a domain as far as this router assumes one.
type crash struct {
	at    int64     // 0 if never
	used  []*engine // ejected members that this router used
	ended bool      // the members answer again
}

// startDomainRecheck starts the queries of a domain whose members were ejected at t, if this router
// used any of them. Of the members that it didn't use, it queries a sample.
func (m *Monitor) startDomainRecheck(d *domain, t int64, used []*engine) {
	d.mu.Lock()
	d.crash = crash{at: t, used: used}
	d.mu.Unlock()
	if m.RunQuerier != nil && len(used) > 0 {
		// Until then the members that this router used have answered their first query, or have not.
		time.AfterFunc(recheckInterval+queryTimeout, func() { m.recheckDomain(d, t) })
	}
}

// recheckDomain queries members of a domain that was taken for crashed at the time at, and again
// after recheckInterval while most of them are silent.
func (m *Monitor) recheckDomain(d *domain, at int64) {
	t := m.sinceEpoch(time.Now())
	used, assumed := d.assumedCrash(at, t, m.policy.MinBackoff)
	if !assumed {
		return
	}
	sampled := d.sampleEjected(t)
	working := m.recheckAll(sampled)
	for _, e := range used {
		if max(e.lastToken.Load(), e.lastConfirmedAt.Load()) > at {
			working++
		}
	}
	if working >= minDomainFailures && 2*working > len(sampled)+len(used) {
		m.domainAnswers(d, "")
		return
	}
	time.AfterFunc(recheckInterval, func() { m.recheckDomain(d, at) })
}

// recheckAll queries engines concurrently, and returns how many of them answer.
func (m *Monitor) recheckAll(queried []*engine) (answered int) {
	answers := make(chan bool, len(queried))
	for _, e := range queried {
		go func() { answers <- m.recheck(e) }()
	}
	for range queried {
		if <-answers {
			answered++
		}
	}
	return answered
}

// assumedCrash reports whether the domain is still taken for crashed at t because of the crash at
// the time at, and returns the ejected members that this router used.
func (d *domain) assumedCrash(at, t int64, backoff time.Duration) ([]*engine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crash.used, d.crash.at == at && d.crash.assumed(t, backoff)
}

func (c *crash) assumed(t int64, backoff time.Duration) bool {
	return c.at != 0 && !c.ended && t-c.at < int64(backoff)
}

// sampleEjected returns up to domainSample members that were ejected with the domain and not used
// by this router.
func (d *domain) sampleEjected(t int64) []*engine {
	var out []*engine
	for _, e := range d.list() { // in random order
		if len(out) == domainSample {
			break
		}
		if e.ejectedWithDomain(t) {
			out = append(out, e)
		}
	}
	return out
}

func (e *engine) ejectedWithDomain(t int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recheck == recheckWithDomain && e.inBackoff(t)
}

// HandleDomainAnswers handles another router's report that a domain that was taken for crashed
// answers again. Members that this router used are not released: it queries them itself.
func (m *Monitor) HandleDomainAnswers(from, name string) {
	m.mu.RLock()
	d := m.domains[name]
	m.mu.RUnlock()
	if d != nil {
		m.domainAnswers(d, from)
	}
}

// domainAnswers ends the backoff of the members that were ejected with their domain. It acts once
// for each crash. from is the router that reported the answers, or "" if this one got them.
func (m *Monitor) domainAnswers(d *domain, from string) {
	t := m.sinceEpoch(time.Now())
	d.mu.Lock()
	assumed := d.crash.assumed(t, m.policy.MinBackoff)
	d.crash.ended = true
	d.mu.Unlock()
	if !assumed {
		return
	}
	for _, e := range d.list() {
		if e.ejectedWithDomain(t) {
			e.endBackoff(t)
		}
	}
	m.log.Emit(event.DomainAnswers, "domain", d.name, "from", from)
	if m.OnDomainAnswers != nil {
		m.OnDomainAnswers(d.name)
	}
}
