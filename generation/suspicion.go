package generation

import (
	"time"

	"wigeondale/quarantine"
)

// clearSuspicion clears the request of the suspicion that it crashes backend servers, once one
// of its runs has lasted long enough past its first token.
func (x *run) clearSuspicion(a *attempt, now time.Time) {
	if !a.suspicionCleared && quarantine.PastEarlyWindow(now.Sub(a.firstAt)) {
		a.suspicionCleared = true
		x.tracked.Answered()
	}
}
