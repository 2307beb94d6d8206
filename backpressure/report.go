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
	PerSecond float64 `json:"per_second,omitempty"`
	// From is the router that reported it, or empty if an answer to this router stated it.
	From string `json:"from,omitempty"`
	// AgeMS is the time since it was stated first, ConfirmedMS since it was confirmed last.
	AgeMS       int64 `json:"age_ms,omitempty"`
	ConfirmedMS int64 `json:"confirmed_ms,omitempty"`
	// RestMS is how much longer it wants no request of this router.
	RestMS int64 `json:"rest_ms,omitempty"`
	// LeavingMS is the time since it became known that it is leaving.
	LeavingMS int64 `json:"leaving_ms,omitempty"`
}

// Reports returns what the backend servers ask, ordered by their ids.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []Report{}
	for _, st := range t.byID {
		if st.limit.stated() || st.rest.asked() || st.leaving() {
			out = append(out, t.report(st, now))
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Backend, b.Backend) })
	return out
}

func (t *Tracker) report(st *state, now time.Time) Report {
	r := Report{Backend: st.id, Service: st.service}
	if l := &st.limit; l.stated() {
		r.PerSecond, _ = t.fill(st, now)
		r.Limit, r.From = l.rate, l.source
		r.AgeMS, r.ConfirmedMS = now.Sub(l.learnedAt).Milliseconds(), now.Sub(l.confirmedAt).Milliseconds()
	}
	if st.rest.asked() {
		r.RestMS = max(st.rest.until.Sub(now), time.Millisecond).Milliseconds()
	}
	if st.leaving() {
		r.LeavingMS = max(now.Sub(st.leftAt), time.Millisecond).Milliseconds()
	}
	return r
}
