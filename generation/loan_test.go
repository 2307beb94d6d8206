package generation

import (
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// Guards against a retry that is given up, or waits for 100 ms, although another router lends budget within a few
// milliseconds; and against one that waits for a loan for longer than its target allows.
func TestRetryWaitsForALoan(t *testing.T) {
	crash := []script{{lastChunk: 2, err: errBroken}}
	refusal := []script{{openErr: &backend.Refused{Status: 503}}}
	for name, c := range map[string]struct {
		scripts  []script
		loan     time.Duration
		maxWait  time.Duration
		attempts int
		outcome  fleet.Outcome
		longest  time.Duration
	}{
		"started":                  {crash, 7 * time.Millisecond, time.Second, 2, fleet.Complete, 20 * time.Millisecond},
		"started, later":           {crash, 250 * time.Millisecond, time.Second, 1, fleet.Failed, 0},
		"not started":              {refusal, 7 * time.Millisecond, time.Second, 2, fleet.Complete, 20 * time.Millisecond},
		"not started, no loan":     {refusal, time.Minute, time.Second, 1, fleet.NotRun, 120 * time.Millisecond},
		"not started, little time": {refusal, time.Minute, 30 * time.Millisecond, 1, fleet.NotRun, 31 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctestRun(t, func() {
				w := &fakeFleet{chunks: 9, loanAfter: c.loan, scripts: c.scripts}
				from := time.Now()
				res, _ := w.run(t, func(r *Request) { r.Opaque.MaxWait = c.maxWait })
				took := time.Since(from)
				if len(w.opened) != c.attempts || res.Outcome != c.outcome || c.longest > 0 && took > c.longest {
					t.Errorf("%s %s in %d attempts after %v, waits for loans %v", res.Outcome, res.Code, len(w.opened), took, w.awaited)
				}
			})
		})
	}
}
