package health

import (
	"cmp"
	"slices"
	"time"

	"wigeondale/event"
)

// Result reports the end of a connection attempt or of a plain call: nil when
// an answer's first byte came, otherwise the error. A connection that was
// merely accepted is no success: the kernel of a frozen engine accepts too.
func (m *Monitor) Result(backend string, err error) {
	e := m.engine(backend)
	if err == nil {
		m.success(e)
		return
	}
	t := m.at(time.Now())
	e.mu.Lock()
	e.refused++
	failedProbe := e.state != Healthy
	down := failedProbe || e.refused >= m.policy.DownAfter
	e.mu.Unlock()
	if down {
		m.eject(e, Down, t)
		return
	}
	m.noteFailure(e, t)
}

// Late reports a plain call that was given up because another backend server,
// asked long after this one, answered first. It is weak evidence, since some
// answers of a sound server are late as well: only several in a row, over some
// time and with no answer in between, make it suspect.
//
// What goes wrong without it: a replica that accepts calls and answers none
// loses each race, and a cancelled call tells nothing. It stays healthy, its
// share of all lookups is late, and each of them costs a second try until the
// budget is spent and callers wait for their deadlines.
func (m *Monitor) Late(backend string) {
	t := m.at(time.Now())
	e := m.engine(backend)
	if e.lateBy(t, &m.policy) {
		m.eject(e, Suspect, t)
	}
}

func (m *Monitor) success(e *engine) {
	e.mu.Lock()
	was := e.state
	e.recover()
	incarnation := e.incarnation
	spokeAt := e.spokeAt
	e.spokeAt = 0
	e.mu.Unlock()
	if was == Healthy {
		return
	}
	m.learnPause(e, spokeAt)
	m.ejected.Add(-1)
	m.log.Emit(event.BackendRecovered, "backend", e.id)
	m.tell(e.id, incarnation, PeerReportAlive)
}

// learnPause records the gap that a suspicion cut short, once the same
// incarnation answers again. Otherwise only pauses that were waited out would
// be seen: an engine that often pauses for longer than its threshold would be
// suspected each time, and the histogram would never tell why.
func (m *Monitor) learnPause(e *engine, spokeAt int64) {
	if spokeAt == 0 {
		return
	}
	e.gaps.Add(time.Duration(m.at(time.Now()) - spokeAt))
}

// eject keeps new work from e, and counts as a failure in its domain.
func (m *Monitor) eject(e *engine, state State, t int64) {
	m.ejectAlone(e, state, t)
	m.noteFailure(e, t)
}

func (m *Monitor) ejectAlone(e *engine, state State, t int64) {
	e.mu.Lock()
	was := e.state
	e.eject(state, t, &m.policy)
	if state == Suspect && was == Healthy {
		e.spokeAt = e.last.Load()
	}
	incarnation := e.incarnation
	e.mu.Unlock()
	if was != Healthy {
		return
	}
	m.ejected.Add(1)
	m.watch(e)
	m.log.Emit(event.BackendEjected, "backend", e.id, "state", state.String())
	kind := PeerReportSuspect
	if state == Down {
		kind = PeerReportDown
	}
	m.tell(e.id, incarnation, kind)
}

func (m *Monitor) tell(backend, incarnation string, kind PeerReportKind) {
	if m.OnChange != nil {
		m.OnChange(backend, incarnation, kind)
	}
}

// State returns what is believed of a backend server now.
func (m *Monitor) State(backend string) State {
	t := m.at(time.Now())
	e := m.engine(backend)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current(t)
}

// reinstatedFor is how long an engine that Usable gave back is allowed work.
const reinstatedFor = time.Second

// Allow is asked just before a dispatch. For a healthy backend server it is
// true, as for one that Usable gave back because of the ejection bound. For
// one whose backoff ended it is true for a single request at a time, whose
// Token or Result decides: work is idempotent or not yet sent, and a crowd of
// probes would be a retry storm on a server that just came up.
func (m *Monitor) Allow(backend string) bool {
	t := m.at(time.Now())
	e := m.engine(backend)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == Healthy {
		return true
	}
	if t >= e.retryAt && e.probeFree(t) {
		e.probing = true
		e.probeUntil = t + int64(m.policy.ProbeTimeout)
		return true
	}
	return t < e.reinstatedUntil
}

// HandlePeerReport takes in what another router says of one incarnation. It raises the
// prior of failure for a while, and so shortens the silence that is borne; it
// never ejects by itself, since the other router may be the one cut off.
func (m *Monitor) HandlePeerReport(backend, incarnation string, kind PeerReportKind) {
	e := m.engine(backend)
	t := m.at(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != "" && e.incarnation != incarnation {
		return
	}
	if kind == PeerReportAlive {
		e.rumourUntil = 0
		return
	}
	e.rumourUntil = t + int64(m.policy.PeerReportTTL)
}

// SetIncarnation tells which incarnation of a backend server answered last. A new
// one starts without rumours, and may be probed at once.
func (m *Monitor) SetIncarnation(backend, incarnation string) {
	e := m.engine(backend)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == incarnation {
		return
	}
	known := e.incarnation != ""
	e.incarnation = incarnation
	e.spokeAt = 0
	e.rumourUntil = 0
	if known {
		e.retryAt = 0
	}
}

// suspicion orders the members of a replica set that are ejected.
type suspicion struct {
	index int
	state State
	since int64
}

// Usable tells for each member of a replica set whether it may get work; nil
// means all. At most MaxEjectedShare of the set is ejected: beyond it, those
// with the weakest evidence are given back, since a fleet that seems to be
// gone is usually an error of the observer, and ejecting the rest would move
// the whole load onto the few left.
func (m *Monitor) Usable(ids []string) []bool {
	if m.ejected.Load() == 0 {
		return nil
	}
	t := m.at(time.Now())
	usable := make([]bool, len(ids))
	var out []suspicion
	for i, id := range ids {
		e := m.engine(id)
		e.mu.Lock()
		state := e.current(t)
		usable[i] = state == Healthy || (state == Probing && e.probeFree(t))
		if !usable[i] {
			out = append(out, suspicion{i, e.state, e.since})
		}
		e.mu.Unlock()
	}
	for _, i := range giveBack(out, len(ids), m.policy.MaxEjectedShare) {
		usable[i] = true
		m.engine(ids[i]).reinstate(t)
	}
	return usable
}

// giveBack returns the indices of ejected members to take back into use:
// silent ones before those that refuse connections, and of each kind those
// ejected longest ago, which had most time to recover.
func giveBack(out []suspicion, members int, share float64) []int {
	excess := len(out) - int(share*float64(members))
	if excess <= 0 {
		return nil
	}
	slices.SortFunc(out, func(a, b suspicion) int {
		return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(a.since, b.since))
	})
	back := make([]int, 0, excess)
	for _, s := range out[:excess] {
		back = append(back, s.index)
	}
	return back
}
