package backpressure

import (
	"cmp"
	"slices"
	"time"
)

// Report is what one backend server asks, for the state dump.
type Report struct {
	Backend string `json:"backend"`
	Service string `json:"service"`
	// Limit is the limit in requests a second of all routers, PerSecond the share of this router.
	Limit     float64 `json:"limit,omitempty"`
	PerSecond float64 `json:"per_second"`
	// From is the router that reported it, or empty if the backend server told this router.
	From string `json:"from,omitempty"`
	// AgeMS is the time since it was stated first, HeardMS since it was confirmed last.
	AgeMS   int64 `json:"age_ms"`
	HeardMS int64 `json:"heard_ms"`
}

// Reports returns what the backend servers ask, ordered by their ids.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Report{}
	for _, st := range t.byID {
		l := &st.limit
		if !l.stated() {
			continue
		}
		perSecond, _ := t.fill(st, now)
		out = append(out, Report{
			Backend: st.id, Service: st.service, Limit: l.rate, PerSecond: perSecond, From: l.source,
			AgeMS: now.Sub(l.learnedAt).Milliseconds(), HeardMS: now.Sub(l.heardAt).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Backend, b.Backend) })
	return out
}
