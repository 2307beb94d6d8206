package generation

import (
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// Guards against a silence that ends a request sooner: a server that refuses the request after a silence, with no retry
// budget left, must end it with the result of a server that refuses at once, and not before it has refused.
func TestRefusalAfterASilenceEndsLikeOneAtOnce(t *testing.T) {
	refusal := &backend.Refused{Status: 503, Code: "overloaded"}
	for name, silence := range map[string]time.Duration{"at once": 0, "after a silence": 1800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			reset := silentServer{silentAt: 1, crash: errBroken}
			refuses := silentServer{silentAt: 1, silence: silence, crash: refusal}
			w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 1}, servers: []silentServer{reset, refuses}}
			bubble.Test(t, func(t *testing.T) {
				began := time.Now()
				res, _ := w.playFor(t, t.Context(), func(r *Request) { r.Opaque.MaxAttempts = 5 })
				took := time.Since(began)
				if res.Outcome != fleet.Failed || res.Code != refusal.Code || len(w.opened) != 2 || took < silence || took > silence+budgetRetryInterval {
					t.Errorf("got %s (%s, %v) in %d attempts after %v", res.Outcome, res.Code, res.Err, len(w.opened), took)
				}
			})
		})
	}
}
