package health

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"wigeondale/event"
)

// Result reports the end of a connection attempt, or of a call to a service that is not a
// model engine: err is nil when the first byte of an answer came. A connection that was merely
// accepted must not be reported as a success: the kernel of a frozen engine accepts
// connections too.
func (m *Monitor) Result(backend string, err error) {
	e := m.engine(backend)
	if err == nil {
		m.success(e)
		return
	}
	t := m.sinceEpoch(time.Now())
	state := Down
	if timedOut(err) {
		state = Suspect
	}
	e.mu.Lock()
	if state == Suspect && e.state != Healthy && !e.probeInFlight {
		e.mu.Unlock()
		return // the silence of which the engine is suspected already
	}
	e.refusedInRow++
	failedProbe := e.state != Healthy
	out := failedProbe || e.refusedInRow >= m.policy.DownAfter
	e.mu.Unlock()
	if out {
		m.eject(e, state, t)
		return
	}
	m.recordFailure(e, t)
}

// timedOut reports whether a connection attempt ended without an answer of the host: at a timeout, or
// by this process, for the silence of the engine or another cause.
func timedOut(err error) bool {
	cause, _ := errors.AsType[*Cause](err)
	netErr, _ := errors.AsType[net.Error](err)
	return cause != nil || errors.Is(err, context.Canceled) || (netErr != nil && netErr.Timeout())
}

// Late reports that a call to a service that is not a model engine was abandoned: the call was
// sent to another backend server long after it was sent to this one, and the other backend
// server answered first. Such a late answer is weak evidence, since some answers of a healthy
// server are late too. Only several late answers in a row, over some time and with no answer
// in time in between, make the server suspect.
//
// Without this evidence, a replica that accepts calls but never answers would lose each race
// and stay healthy, since a cancelled call gives no result. The replica's share of all calls
// would be late, and each of these calls would cost a second attempt until the budget for
// second attempts is spent and callers wait for their deadlines.
func (m *Monitor) Late(backend string) {
	t := m.sinceEpoch(time.Now())
	e := m.engine(backend)
	if e.recordLate(t, &m.policy) {
		m.eject(e, Suspect, t)
	}
}

// success makes e healthy after an answer. If e was ejected, success also records the pause that
// ended with the answer, and reports the recovery through OnChange.
func (m *Monitor) success(e *engine) {
	e.mu.Lock()
	previous := e.state
	e.recover()
	incarnation := e.incarnation
	lastToken := e.lastTokenBeforeSuspect
	e.lastTokenBeforeSuspect = 0
	e.mu.Unlock()
	if previous == Healthy {
		return
	}
	m.recordPause(e, lastToken)
	m.ejected.Add(-1)
	m.log.Emit(event.BackendRecovered, "backend", e.id)
	m.notifyChange(e.id, incarnation, PeerReportAlive)
}

// recordPause is called when an engine that was suspected answers again as the same
// incarnation. It records the time since the engine's last token before the suspicion as a
// gap. Without such gaps, only pauses that were waited out would be recorded: an engine that
// often pauses for longer than its threshold would be suspected each time, and the threshold
// would never adapt. lastToken is 0, and no gap is recorded, if no such token is known.
func (m *Monitor) recordPause(e *engine, lastToken int64) {
	if lastToken == 0 {
		return
	}
	e.gaps.Add(time.Duration(m.sinceEpoch(time.Now()) - lastToken))
}

// eject keeps new work from e, and records the ejection as a failure in e's failure domain.
func (m *Monitor) eject(e *engine, state State, t int64) {
	m.ejectEngine(e, state, t)
	m.recordFailure(e, t)
}

// ejectEngine keeps new work from e, without recording a failure in e's failure domain.
func (m *Monitor) ejectEngine(e *engine, state State, t int64) {
	e.mu.Lock()
	previous, probed := e.state, e.probeInFlight
	e.eject(state, t, &m.policy)
	if state == Suspect && previous == Healthy {
		e.lastTokenBeforeSuspect = e.lastToken.Load()
	}
	if state == Suspect && (previous == Healthy || (probed && e.recheck == recheckWithDomain)) {
		e.recheck = m.recheckKindAt(e, t)
	}
	incarnation := e.incarnation
	e.mu.Unlock()
	m.startRecheck(e)
	if previous != Healthy {
		return
	}
	m.ejected.Add(1)
	m.watch(e)
	m.log.Emit(event.BackendEjected, "backend", e.id, "state", state.String())
	kind := PeerReportSuspect
	if state == Down {
		kind = PeerReportDown
	}
	m.notifyChange(e.id, incarnation, kind)
}

func (m *Monitor) notifyChange(backend, incarnation string, kind PeerReportKind) {
	if m.OnChange != nil {
		m.OnChange(backend, incarnation, kind)
	}
}

// State returns the assumed state of a backend server now.
func (m *Monitor) State(backend string) State {
	t := m.sinceEpoch(time.Now())
	e := m.engine(backend)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.currentState(t)
}

// reinstatedFor is how long an ejected engine that Usable reinstated may get work.
const reinstatedFor = time.Second

// Allow is called just before a request is sent to a backend server, and reports whether the
// request may be sent. The result is true for a healthy backend server, and for a backend
// server that Usable reinstated because of the ejection bound. For an ejected backend server
// whose backoff has ended, the result is true for a single request at a time, which serves as
// the probe: its Token or Result decides. A request can serve as the probe since work is
// idempotent or not yet sent; many probes at once would be a retry storm on a backend server
// that has just started.
func (m *Monitor) Allow(backend string) bool {
	t := m.sinceEpoch(time.Now())
	e := m.engine(backend)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.allow(t, m.policy.ProbeTimeout) {
		return false
	}
	e.usedAt = t
	return true
}

// HandlePeerReport handles another router's report about one incarnation of a backend server.
// The report raises the prior of failure for a while, and so shortens the accepted silence. A
// report never ejects a backend server by itself, since the other router may be the one that
// is isolated.
func (m *Monitor) HandlePeerReport(backend, incarnation string, kind PeerReportKind) {
	e := m.engine(backend)
	t := m.sinceEpoch(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != "" && e.incarnation != incarnation {
		return
	}
	if kind == PeerReportAlive {
		e.peerReportUntil = 0
		return
	}
	e.peerReportUntil = t + int64(m.policy.PeerReportTTL)
}

// SetIncarnation sets which incarnation of a backend server answered last. Peer reports about
// earlier incarnations no longer apply to a new incarnation, which may be probed at once.
func (m *Monitor) SetIncarnation(backend, incarnation string) {
	e := m.engine(backend)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == incarnation {
		return
	}
	known := e.incarnation != ""
	e.incarnation = incarnation
	e.lastTokenBeforeSuspect = 0
	e.peerReportUntil = 0
	if known {
		e.retryAt = 0
	}
}

// ejectedMember is an ejected member of a replica set.
type ejectedMember struct {
	index int
	state State
	since int64
}

// Usable returns for each member of a replica set whether the member may get work; nil means
// that all members may. At most MaxEjectedShare of the set is ejected: beyond that, the
// members with the weakest evidence against them are reinstated. When most of a fleet seems to
// be down, the error is usually on the observer's side, and ejecting these members would move
// the whole load onto the few left.
func (m *Monitor) Usable(ids []string) []bool {
	if m.ejected.Load() == 0 {
		return nil
	}
	t := m.sinceEpoch(time.Now())
	usable := make([]bool, len(ids))
	var out []ejectedMember
	for i, id := range ids {
		e := m.engine(id)
		e.mu.Lock()
		state := e.currentState(t)
		usable[i] = state == Healthy || (state == Probing && e.probeFree(t))
		if !usable[i] {
			out = append(out, ejectedMember{i, e.state, e.stateSince})
		}
		e.mu.Unlock()
	}
	for _, i := range selectReinstated(out, len(ids), m.policy.MaxEjectedShare) {
		usable[i] = true
		m.engine(ids[i]).reinstate(t)
	}
	return usable
}

// selectReinstated returns the indices of the ejected members to take back into use. Silent
// members come before members that refuse connections, since silence is the weaker evidence;
// of each kind the members ejected longest ago come first, since they had most time to
// recover.
func selectReinstated(out []ejectedMember, members int, share float64) []int {
	excess := len(out) - int(share*float64(members))
	if excess <= 0 {
		return nil
	}
	slices.SortFunc(out, func(a, b ejectedMember) int {
		return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(a.since, b.since))
	})
	reinstated := make([]int, 0, excess)
	for _, s := range out[:excess] {
		reinstated = append(reinstated, s.index)
	}
	return reinstated
}
