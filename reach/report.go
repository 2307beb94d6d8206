package reach

import (
	"slices"
	"time"
)

// Report is the state of the links to one service, for the state dump.
type Report struct {
	Service string
	CutOff  bool
	AgeMS   int64 // since the state began
	Failed  int   // backend servers whose connections failed lately
}

// State is the part of a node's state dump about links to backend servers.
type State struct {
	Services []Report
	// Reported holds the services from which other routers report that they are cut off.
	Reported map[string][]string
	// PassedOn is the number of requests that other routers run for this one, by router.
	PassedOn map[string]int
}

// Reports returns the state of the links to each service whose connections failed once.
func (m *Monitor) Reports(now time.Time) []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Report
	for name, s := range m.services {
		if s.since.IsZero() && len(s.failed) == 0 {
			continue
		}
		r := Report{Service: name, CutOff: s.phase == cut, Failed: len(s.failed)}
		if !s.since.IsZero() {
			r.AgeMS = now.Sub(s.since).Milliseconds()
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return out
}
