package backpressure

import (
	"time"

	"wigeondale/backend"
	"wigeondale/event"
)

const (
	// maxRest bounds a rest. A backend server that means longer says so again.
	maxRest = 10 * time.Minute
	// trialTimeout is how long the answer to the first request after a rest may take before
	// another request is sent.
	trialTimeout = time.Second
)

// rest is the time for which a backend server wants no request of this router. After it, one
// request is sent, and more only after its answer: the requests that have waited for the end of
// the rest would otherwise overload the backend server again at once.
type rest struct {
	since   time.Time // when the first refusal of this rest arrived; zero if there is none
	until   time.Time
	trialAt time.Time // when the last request after until was sent
}

func (r *rest) asked() bool { return !r.since.IsZero() }

func (r *rest) accepts(now time.Time) bool {
	return !r.asked() || (!now.Before(r.until) && now.Sub(r.trialAt) >= trialTimeout)
}

func (r *rest) take(now time.Time) {
	if r.asked() {
		r.trialAt = now
	}
}

// observeRest applies an answer to a request that was sent at sentAt. A shorter rest does not end
// a longer one, and nothing but the answer to a request that was sent after the rest ends it: other
// answers were under way when the backend server asked. The caller holds t.mu.
func (t *Tracker) observeRest(st *state, sentAt, now time.Time, s backend.Statement) {
	r := &st.rest
	if s.Rest > 0 {
		if !r.asked() {
			r.since = now
			t.cfg.Log.Emit(event.RestBegun, "backend", st.id, "service", st.service, "rest_ms", s.Rest.Milliseconds())
		}
		if until := now.Add(min(s.Rest, maxRest)); until.After(r.until) {
			r.until = until
		}
		r.trialAt = time.Time{}
		return
	}
	if r.asked() && !sentAt.Before(r.until) {
		t.cfg.Log.Emit(event.RestEnded, "backend", st.id, "service", st.service, "age_ms", now.Sub(r.since).Milliseconds())
		*r = rest{}
	}
}
