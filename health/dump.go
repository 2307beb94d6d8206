package health

import "time"

// BackendDump is what Monitor.Dump returns about one backend server. PeerReported is true while
// another router's report that the backend server fails is current.
type BackendDump struct {
	State        string        `json:"state"`
	Streams      int           `json:"streams"`
	Refused      int           `json:"refused_in_a_row"`
	Backoff      time.Duration `json:"backoff_ns"`
	Threshold    time.Duration `json:"threshold_ns"`
	Incarnation  string        `json:"incarnation"`
	PeerReported bool          `json:"rumoured"`
}

// Dump returns the state of each backend server, by id.
func (m *Monitor) Dump() map[string]BackendDump {
	t := m.sinceEpoch(time.Now())
	out := map[string]BackendDump{}
	for _, e := range m.list() {
		out[e.id] = m.dumpOne(e, t)
	}
	return out
}

func (m *Monitor) dumpOne(e *engine, t int64) BackendDump {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.history(t)
	h.Gaps = e.gaps.Shares().WithPrior(m.priorShares())
	h.PeerReported = t < e.peerReportUntil
	return BackendDump{
		State:        e.currentState(t).String(),
		Streams:      len(e.streams),
		Refused:      e.refusedInRow,
		Backoff:      e.backoff,
		Threshold:    Evaluate(h, &m.policy).Threshold,
		Incarnation:  e.incarnation,
		PeerReported: h.PeerReported,
	}
}
