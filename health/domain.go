package health

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wigeondale/event"
)

// A failure domain's backend servers of one service crash together far more
// often than by chance.
//
// What goes wrong when each is judged alone: a silent crash is found server by
// server, each after its own threshold, so that callers wait longer than they
// must; and work, copies and second tries go on being sent to those of the
// domain that nobody has heard of since. It shows as requests that fail several
// times in a row, and as copies that were never made. Judged together, silence
// of several servers is told from chance much sooner, and a few failures at the
// same moment are enough to keep away from all of the domain for a while.
const (
	// domainMinimum is the number of members from which a domain is judged.
	domainMinimum = 4
	// domainFailures is how many members must fail within domainWindow, which two
	// unrelated ones rarely do.
	domainFailures = 2
	// domainDecoding is how many members must decode for their common silence to
	// count: two often read prompts at the same time.
	domainDecoding = 3
	domainWindow   = 300 * time.Millisecond
	// domainWitnesses is how many that did not fail are asked whether the domain is there.
	domainWitnesses = 5
	// domainSilence is the least silence of each member that counts. Pauses up
	// to it are everyday: a prompt is read between two decode steps.
	domainSilence = 220 * time.Millisecond
	// domainChance is the probability, taken over the members that decode, below
	// which their common silence is no chance.
	domainChance = 1e-4
	// crashedSilence is the silence from which a stream of a crashed domain goes on
	// elsewhere. Others are judged as usual.
	crashedSilence = 150 * time.Millisecond
	// domainCrash is the time in which all failures belong to one crash: crashed replicas
	// are seldom back sooner.
	domainCrash = 2 * time.Second
	// aliveWithin is how fresh a sign of life keeps a member out of the
	// suspicion of its domain.
	aliveWithin = 100 * time.Millisecond
)

// domain is the set of backend servers that are expected to fail together.
type domain struct {
	name string

	mu      sync.Mutex
	members map[*engine]struct{}
	failed  map[*engine]int64 // when each of them failed last

	crashedAt int64 // 0 if never
	// confirming tells that it is being found out whether the domain crashed.
	confirming bool
	askedAt    int64 // when its members were asked last about their common silence, 0 if never
}

// SetFailureDomain tells in which failure domain a backend server is. Those of the same
// service and domain are judged together.
func (m *Monitor) SetFailureDomain(backend, service, failureDomain string) {
	e := m.engine(backend)
	name := service + "/" + failureDomain
	m.mu.Lock()
	d := m.domains[name]
	if d == nil {
		d = &domain{name: name, members: map[*engine]struct{}{}, failed: map[*engine]int64{}}
		m.domains[name] = d
	}
	m.mu.Unlock()
	e.domain.Store(d)
	d.mu.Lock()
	d.members[e] = struct{}{}
	d.mu.Unlock()
}

func (d *domain) forget(e *engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.members, e)
	delete(d.failed, e)
}

func (d *domain) size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.members)
}

// list returns the members.
func (d *domain) list() []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*engine, 0, len(d.members))
	for e := range d.members {
		out = append(out, e)
	}
	return out
}

// fail notes that e failed at t and tells whether it is to be found out whether the domain
// crashed: with each failure of a series, but not while that is being found out, or known.
func (d *domain) fail(e *engine, t int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.members) < domainMinimum {
		return false
	}
	d.failed[e] = t
	knownCrash := d.crashedAt != 0 && t-d.crashedAt < int64(domainCrash)
	if d.confirming || knownCrash || d.recent(t) < domainFailures {
		return false
	}
	d.confirming = true
	return true
}

// confirmed ends what fail began.
func (d *domain) confirmed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirming = false
}

func (d *domain) recent(t int64) int {
	n := 0
	for e, at := range d.failed {
		if t-at > int64(domainWindow) {
			delete(d.failed, e)
			continue
		}
		n++
	}
	return n
}

// lately returns the members that failed within domainWindow.
func (d *domain) lately(t int64) []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recent(t)
	return slices.Collect(maps.Keys(d.failed))
}

// witnesses are some members that did not fail lately.
func (d *domain) witnesses(t int64) []*engine {
	failed := d.lately(t)
	var out []*engine
	for _, e := range d.list() { // in random order
		if len(out) < domainWitnesses && !slices.Contains(failed, e) {
			out = append(out, e)
		}
	}
	return out
}

// spare takes back the failure of a member that turned out to be alive.
func (d *domain) spare(e *engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failed, e)
}

// noteFailure counts one failure and acts on a domain that crashed by it.
func (m *Monitor) noteFailure(e *engine, t int64) {
	d := e.domain.Load()
	if d == nil || !d.fail(e, t) {
		return
	}
	if m.RunQuerier != nil {
		go m.confirmCrash(d, t)
		return
	}
	d.confirmed()
	m.crashed(d, t, "members failed together")
}

// HandleDomainReport takes in another router's word that a domain crashed. It counts
// unless some member has given this router a sign of life just now: the other
// router may be the one that is cut off.
func (m *Monitor) HandleDomainReport(name string) {
	m.mu.RLock()
	d := m.domains[name]
	m.mu.RUnlock()
	if d == nil {
		return
	}
	t := m.at(time.Now())
	for _, e := range d.list() {
		if e.alive(t) {
			return
		}
	}
	m.crashed(d, t, "another router says so")
}

// crashed keeps new work away from all members without a sign of life, and has
// their streams go on elsewhere. Once for each crash: what follows within
// domainCrash belongs to it.
func (m *Monitor) crashed(d *domain, t int64, reason string) {
	if !d.enter(t) {
		return
	}
	n := 0
	for _, e := range d.list() {
		if e.alive(t) {
			continue
		}
		n++
		v := e.silent(t)
		m.ejectAlone(e, Suspect, t)
		m.cancel(v)
	}
	m.log.Emit(event.DomainSuspect, "domain", d.name, "backends", n, "reason", reason)
	if m.OnDomain != nil {
		m.OnDomain(d.name)
	}
}

// alive tells whether the engine gave a sign of life just now.
func (e *engine) alive(t int64) bool {
	return t-max(e.last.Load(), e.vouchedAt.Load()) < int64(aliveWithin)
}

// enter tells whether a crash at t is a new one.
func (d *domain) enter(t int64) bool { return d.due(&d.crashedAt, t, domainCrash) }

// due tells whether the last time lies span or more before t, and makes t the last one
// if so.
func (d *domain) due(last *int64, t int64, span time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *last != 0 && t-*last < int64(span) {
		return false
	}
	*last = t
	return true
}

// judgeDomains suspects all silent members of a domain in which several decode
// and none has spoken for longer than chance explains. inUse holds all engines
// with open streams.
func (m *Monitor) judgeDomains(inUse []*engine, t int64) {
	of := map[*domain][]*engine{}
	for _, e := range inUse {
		if d := e.domain.Load(); d != nil {
			of[d] = append(of[d], e)
		}
	}
	for d, engines := range of {
		m.judgeDomain(d, engines, t)
	}
}

func (m *Monitor) judgeDomain(d *domain, inUse []*engine, t int64) {
	if len(inUse) < domainDecoding || d.size() < domainMinimum {
		return
	}
	chance, decoding := 1.0, 0
	for _, e := range inUse {
		silence, ok := e.decodingSilence(t)
		if !ok {
			continue
		}
		if silence < domainSilence {
			return
		}
		decoding++
		chance *= m.survival(e, silence)
	}
	if decoding < domainDecoding || chance > domainChance {
		return
	}
	if m.RunQuerier == nil {
		m.crashed(d, t, reasonSilence)
		return
	}
	if d.ask(t) {
		go m.confirmSilence(d, inUse)
	}
}

// decodingSilence is the silence of an engine whose streams wait for a next
// token; false when none does.
func (e *engine) decodingSilence(t int64) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waitedOn() {
		return 0, false
	}
	h := e.history(t)
	return h.Silence, h.Streams > 0
}

// silent is the verdict that cancels the streams of a crashed domain's member:
// those that wait for their first token, and those that are silent for long
// enough to tell.
func (e *engine) silent(t int64) verdict {
	return e.verdictOn(ErrSuspect, func(s *Stream) bool {
		return !s.blocked.Load() && (s.last.Load() == 0 || s.silence(t) >= crashedSilence)
	})
}

// survival is the share of an engine's gaps that are longer than d.
func (m *Monitor) survival(e *engine, d time.Duration) float64 {
	s := e.gaps.Shares().WithPrior(m.priorShares())
	return s.survival(m.policy.TailExponent)[bucketOf(d)]
}
