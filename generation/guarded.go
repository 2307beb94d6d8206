package generation

import (
	"time"

	"wigeondale/quarantine"
)

// noteOutlived clears the request of suspicion when a run of it has lived long enough.
func (x *run) noteOutlived(a *attempt, now time.Time) {
	if !a.outlived && quarantine.PastEarlyWindow(now.Sub(a.firstAt)) {
		a.outlived = true
		x.followed.Answered()
	}
}
