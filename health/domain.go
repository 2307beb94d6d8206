package health

import (
	"maps"
	"slices"
	"sync"
	"time"

	"wigeondale/event"
)

// The backend servers of one service in one failure domain crash together far more often than
// by chance.
//
// If each server were evaluated by itself, a silent crash would be found server by server,
// each after its own threshold, so that callers would wait longer than necessary; and work,
// copies and second attempts would still be sent to the members from which nothing was
// received since the crash. Requests would fail several times in a row, and copies would never
// be made. If the servers are evaluated together, the silence of several servers can be
// distinguished from chance much sooner, and a few failures at the same moment are enough to
// avoid the whole domain for a while.
const (
	// minDomainSize is the number of members from which a domain is evaluated as a whole.
	minDomainSize = 4
	// minDomainFailures is how many members must fail within domainFailureWindow before a
	// crash of the domain is considered. Two members rarely fail so close together for
	// unrelated reasons.
	minDomainFailures = 2
	// minDomainDecoding is how many members must be decoding for their common silence to
	// count: two members are often silent together because both read prompts.
	minDomainDecoding   = 3
	domainFailureWindow = 300 * time.Millisecond
	// domainSample is how many of the members that did not fail are queried, to find out
	// whether most of the domain works.
	domainSample = 5
	// minDomainSilence is how long each decoding member must be silent at least before their
	// common silence counts. Shorter pauses are normal: a prompt is read between two decode
	// steps.
	minDomainSilence = 220 * time.Millisecond
	// maxChance bounds the probability that all decoding members are silent by chance. If the
	// probability is maxChance or less, the common silence is taken for a crash.
	maxChance = 1e-4
	// crashedStreamSilence is the least silence after which a stream of a crashed domain is
	// resumed elsewhere because of the crash. All other streams are evaluated as usual.
	crashedStreamSilence = 150 * time.Millisecond
	// domainCrashWindow is how long after a crash further failures of the domain belong to the
	// same crash: crashed replicas seldom work again sooner, so a second crash is unlikely.
	domainCrashWindow = 2 * time.Second
	// activityWindow is how recent a member's activity must be to exempt it from the suspicion
	// of its domain.
	activityWindow = 100 * time.Millisecond
)

// domain is the set of backend servers of one service in one failure domain, which are
// expected to fail together.
type domain struct {
	name string

	mu      sync.Mutex
	members map[*engine]struct{}
	failed  map[*engine]int64 // when each member failed last

	crash crash
	// confirming is true while members that failed are queried to find out whether the domain
	// crashed, so that one confirmation runs at a time.
	confirming bool
	queriedAt  int64 // when the members were last queried about their common silence, 0 if never
}

// SetFailureDomain sets the failure domain of a backend server. Backend servers of the same
// service and failure domain are evaluated together.
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

func (d *domain) remove(e *engine) {
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

// list returns a copy of the list of the domain's members.
func (d *domain) list() []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*engine, 0, len(d.members))
	for e := range d.members {
		out = append(out, e)
	}
	return out
}

// recordFailure records that e failed at t, and reports whether the caller must confirm that
// the domain crashed. The result is true if, with this failure, at least minDomainFailures
// members have failed within domainFailureWindow. Exception: the result is false if the domain
// has fewer than minDomainSize members, while a confirmation is under way, or when the crash
// is already known.
func (d *domain) recordFailure(e *engine, t int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.members) < minDomainSize {
		return false
	}
	d.failed[e] = t
	knownCrash := d.crash.at != 0 && t-d.crash.at < int64(domainCrashWindow)
	if d.confirming || knownCrash || d.countRecentFailures(t) < minDomainFailures {
		return false
	}
	d.confirming = true
	return true
}

// endConfirmation ends the confirmation that recordFailure started.
func (d *domain) endConfirmation() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.confirming = false
}

func (d *domain) countRecentFailures(t int64) int {
	n := 0
	for e, at := range d.failed {
		if t-at > int64(domainFailureWindow) {
			delete(d.failed, e)
			continue
		}
		n++
	}
	return n
}

// recentFailures returns the members that failed within domainFailureWindow.
func (d *domain) recentFailures(t int64) []*engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countRecentFailures(t)
	return slices.Collect(maps.Keys(d.failed))
}

// sampleOthers returns up to domainSample members that did not fail recently.
func (d *domain) sampleOthers(t int64) []*engine {
	failed := d.recentFailures(t)
	var out []*engine
	for _, e := range d.list() { // in random order
		if len(out) < domainSample && !slices.Contains(failed, e) {
			out = append(out, e)
		}
	}
	return out
}

// clearFailure clears the failure of a member that turned out to be alive.
func (d *domain) clearFailure(e *engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failed, e)
}

// recordFailure records one failure of e. Failures of several members at the same moment
// suggest that the domain crashed. Where engines can be queried, recordFailure then starts a
// query to confirm the crash; where they can't, it handles the crash at once.
func (m *Monitor) recordFailure(e *engine, t int64) {
	d := e.domain.Load()
	if d == nil || !d.recordFailure(e, t) {
		return
	}
	if m.RunQuerier != nil {
		go m.confirmCrash(d, t)
		return
	}
	d.endConfirmation()
	m.domainCrashed(d, t, "members failed together", "")
}

// HandleDomainReport handles another router's report that a domain crashed. The report is
// ignored if this router has just seen activity of some member: the other router may be the one
// that is isolated.
func (m *Monitor) HandleDomainReport(from, name string) {
	m.mu.RLock()
	d := m.domains[name]
	m.mu.RUnlock()
	if d == nil {
		return
	}
	t := m.sinceEpoch(time.Now())
	for _, e := range d.list() {
		if e.recentlyActive(t) {
			return
		}
	}
	m.domainCrashed(d, t, "reported by another router", from)
}

// domainCrashed keeps new work away from all members without recent activity, and has their
// streams resumed elsewhere. from is the router that reported the crash, or "" if this one noticed it. It acts once for each crash: a further call within
// domainCrashWindow belongs to the same crash and has no effect.
func (m *Monitor) domainCrashed(d *domain, t int64, reason, from string) {
	if !d.recordCrash(t) {
		return
	}
	n := 0
	var used []*engine
	for _, e := range d.list() {
		if e.recentlyActive(t) {
			continue
		}
		n++
		if e.used(t) {
			used = append(used, e)
		}
		v := e.silentStreams(t)
		m.ejectEngine(e, Suspect, t)
		m.cancel(v)
	}
	m.log.Emit(event.DomainSuspect, "domain", d.name, "backends", n, "reason", reason, "from", from)
	m.startDomainRecheck(d, t, used)
	if m.OnDomain != nil {
		m.OnDomain(d.name)
	}
}

// recentlyActive reports whether the engine showed activity within activityWindow.
func (e *engine) recentlyActive(t int64) bool {
	return t-max(e.lastToken.Load(), e.lastConfirmedAt.Load()) < int64(activityWindow)
}

// recordCrash reports whether a crash noticed at t is a new crash, and records t if so.
func (d *domain) recordCrash(t int64) bool { return d.due(&d.crash.at, t, domainCrashWindow) }

// due reports whether *last is at least span before t, or 0 because it was never set. If so,
// due sets *last to t.
func (d *domain) due(last *int64, t int64, span time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if *last != 0 && t-*last < int64(span) {
		return false
	}
	*last = t
	return true
}
