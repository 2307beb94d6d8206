package bounded

import (
	"math"
	"time"
)

// arrivalWindow is the time constant with which earlier bytes stop counting.
const arrivalWindow = time.Second

// arrival measures how recently the bytes of a message arrived.
type arrival struct {
	total  float64
	recent float64 // decays with arrivalWindow
	at     time.Time
}

func (a *arrival) add(n int64, now time.Time) {
	a.recent = a.decayed(now) + float64(n)
	a.total += float64(n)
	a.at = now
}

func (a *arrival) decayed(now time.Time) float64 {
	return a.recent * math.Exp(-float64(now.Sub(a.at))/float64(arrivalWindow))
}

// progress returns the recent share of the message, from 0 to 1. A message that has just begun has 1, however short it is, so that
// it goes before one that stands still or trickles.
func (a *arrival) progress(now time.Time) float64 {
	if a.total == 0 {
		return 1
	}
	return a.decayed(now) / a.total
}
