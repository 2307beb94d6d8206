package rollout

import (
	"maps"
	"time"
)

const (
	// After each report a router waits before it reports further answers of the new version to
	// the other routers. badReportDelay is the least wait if one of these answers is bad, and
	// goodReportDelay is the least wait if none is.
	badReportDelay  = 200 * time.Millisecond
	goodReportDelay = time.Second
	// Some routers report the answers of the old version every oldReportInterval, even if they
	// have seen no answer of the new version: the baseline must be known before the first
	// answers of the new version. oldReporters is the expected number of these routers.
	oldReportInterval = time.Second
	oldReporters      = 8
	// enoughReporters is how many of these must have reported lately to know that the service has few
	// requests.
	enoughReporters = 3
	// verdictInterval is how often a router repeats its report that the new version is bad, since
	// a message may be lost.
	verdictInterval = 500 * time.Millisecond
)

// evidence holds the known answers of both versions: the answers that this router has seen,
// and the answers that other routers reported.
type evidence struct {
	evaluator   evaluator
	local       map[CountKey]uint32 // answers of the new version seen by this router
	localOld    window              // answers of the old version seen by this router
	peerReports map[string]peerReport
	// peerOld counts the recent answers of the old version that other routers reported.
	peerOld map[CountKey]uint32
	// frozenOld is the baseline while all work moves to the new version, and nil before. The
	// old version gives no answers any more then. Without frozenOld the baseline would expire
	// within seconds, and a route on which either version fails now and then would make a
	// healthy version appear bad while work moves.
	frozenOld map[CountKey]uint32
	sendsOld  bool // this router reports answers of the old version even without new answers of the new one

	// reporters are the routers that have reported answers of the new version since all work moved to it.
	reporters map[string]bool
	unsent    bool // local has answers that were not reported yet
	unsentBad bool
	lastSent  time.Duration // time of the last report sent
	sentRuns  int           // streams at old replicas, in that report
	sequence  uint64
}

// localReporter stands for this router among the reporters.
const localReporter = ""

// peerReport is the latest report of another router.
type peerReport struct {
	receivedAt  time.Duration
	incarnation uint64
	sequence    uint64
	new         map[CountKey]uint32
	old         []Count
	oldRuns     int
}

// Observe counts an answer that this router saw. The caller passes only answers of the first
// attempt of a request: an attempt that follows a failure is sent to another replica than the
// first attempt.
func (r *Rollout) Observe(c CountKey, ofNew bool, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil || !r.record.Stage.Open() {
		return
	}
	e := &r.evidence
	if !ofNew {
		c.Domain = ""
		e.localOld.add(c, now)
		return
	}
	if e.local == nil {
		e.local = map[CountKey]uint32{}
	}
	e.local[c]++
	e.reported(localReporter)
	old := e.recentOld(now)
	e.evaluator.add(map[CountKey]uint32{c: 1}, old)
	e.unsent = true
	e.unsentBad = e.unsentBad || baselineOf(old, c.Route, c.Aspect).bad(c.Grade)
	r.evaluate()
}

// Overdue reports whether a request that has waited this long for its answer is already so slow,
// compared with the old version, that the answer will count as bad.
func (r *Rollout) Overdue(route string, aspect Aspect, waited, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := baselineOf(r.evidence.recentOld(now), route, aspect)
	return b.known && GradeOf(waited) >= b.slowFrom
}

// HandleReport adds the answers that another router reports to the evidence. If that router
// considers the new version bad, this router does so too. Reports about another order are
// ignored.
func (r *Rollout) HandleReport(from string, rep Report, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil || rep.Order != r.order.Revision {
		return
	}
	r.orderedAt = min(r.orderedAt, now-time.Duration(rep.ElapsedMS)*time.Millisecond)
	r.evidence.merge(from, rep, now)
	if rep.Bad && !r.bad {
		r.bad = true
		r.epoch++
	}
	r.evaluate()
}

func (e *evidence) merge(from string, rep Report, now time.Duration) {
	before := e.peerReports[from]
	if before.incarnation != rep.Incarnation {
		before = peerReport{}
	}
	if rep.Sequence <= before.sequence {
		return
	}
	latest := peerReport{receivedAt: now, incarnation: rep.Incarnation, sequence: rep.Sequence, new: map[CountKey]uint32{}, old: rep.Old, oldRuns: rep.OldRuns}
	e.removePeerOld(e.peerReports[from].old)
	e.addPeerOld(rep.Old)
	added := map[CountKey]uint32{}
	for _, c := range rep.New {
		latest.new[c.CountKey] = c.N
		if c.N > before.new[c.CountKey] {
			added[c.CountKey] = c.N - before.new[c.CountKey]
		}
	}
	if e.peerReports == nil {
		e.peerReports = map[string]peerReport{}
	}
	e.peerReports[from] = latest
	if len(added) > 0 {
		e.reported(from)
		e.evaluator.add(added, e.recentOld(now))
	}
}

// widened is called when all work moves to the new version.
func (e *evidence) widened(now time.Duration) {
	e.frozenOld = e.recentOld(now)
	e.evaluator.widened()
	e.reporters = map[string]bool{}
}

func (e *evidence) reported(by string) {
	if e.reporters != nil {
		e.reporters[by] = true
	}
}

func (e *evidence) addPeerOld(old []Count) {
	if e.peerOld == nil {
		e.peerOld = map[CountKey]uint32{}
	}
	for _, c := range old {
		e.peerOld[c.CountKey] += c.N
	}
}

func (e *evidence) removePeerOld(old []Count) {
	for _, c := range old {
		if e.peerOld[c.CountKey] -= c.N; e.peerOld[c.CountKey] == 0 {
			delete(e.peerOld, c.CountKey)
		}
	}
}

// expire drops the answers of the old version in reports older than baselineWindow.
func (e *evidence) expire(now time.Duration) {
	for from, rep := range e.peerReports {
		if rep.old != nil && now-rep.receivedAt > baselineWindow {
			e.removePeerOld(rep.old)
			rep.old = nil
			e.peerReports[from] = rep
		}
	}
}

// recentOld returns the recent answers of the old version that this router has seen or other
// routers have reported, or frozenOld unless it is nil.
func (e *evidence) recentOld(now time.Duration) map[CountKey]uint32 {
	if e.frozenOld != nil {
		return e.frozenOld
	}
	sum := maps.Clone(e.peerOld)
	if sum == nil {
		sum = map[CountKey]uint32{}
	}
	e.localOld.addTo(now, sum)
	return sum
}

// recentAnswers returns how many other routers have reported lately, and how many recent answers of
// either version they and this router have seen.
func (e *evidence) recentAnswers(now time.Duration) (reporters, answers int) {
	for _, rep := range e.peerReports {
		if now-rep.receivedAt > 2*oldReportInterval {
			continue
		}
		reporters++
		for _, c := range rep.old {
			answers += int(c.N)
		}
	}
	local := map[CountKey]uint32{}
	e.localOld.addTo(now, local)
	for _, n := range local {
		answers += int(n)
	}
	return reporters, answers + e.evaluator.answers
}

// nextReport returns the report that is due now, or nil if none is due.
func (e *evidence) nextReport(r *Rollout, now time.Duration) *Report {
	since := now - e.lastSent
	e.expire(now)
	switch {
	case e.sendsOld && since >= oldReportInterval:
	case e.unsentBad && since >= badReportDelay:
	case e.unsent && since >= goodReportDelay:
	case e.unsent && since >= badReportDelay && r.record.Stage == Moving && r.missingEvidence(now) != "": // the completion waits for them
	case r.bad && since >= verdictInterval:
	case r.record.Stage == Moving && r.oldRuns > 0 && since >= runsInterval:
	case r.oldRuns != e.sentRuns && r.oldRuns == 0 && since >= badReportDelay:
	default:
		return nil
	}
	e.lastSent, e.sentRuns, e.unsent, e.unsentBad = now, r.oldRuns, false, false
	e.sequence++
	old := map[CountKey]uint32{}
	e.localOld.addTo(now, old)
	return &Report{
		Service: r.order.Service, Order: r.order.Revision, Incarnation: r.cfg.Incarnation, Sequence: e.sequence, ElapsedMS: (now - r.orderedAt).Milliseconds(),
		New: counts(e.local), Old: counts(old), Bad: r.bad,
		OldRuns: r.oldRuns,
	}
}
