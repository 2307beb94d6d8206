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

// pause stops the decay until at is set again.
func (a *arrival) pause(now time.Time) {
	a.recent, a.at = a.decayed(now), now
}

const (
	// steadyBytes is the number of recent bytes from which a message is not slow, however long it is, unless nothing has arrived for
	// steadyGap.
	steadyBytes = 16 << 10
	steadyGap   = 200 * time.Millisecond
)

// progress returns the recent share of the message, from 0 to 1. A message that has just begun has 1, however short it is, so that
// it goes before one that stands still or trickles; so has a long one that arrives steadily.
func (a *arrival) progress(now time.Time) float64 {
	if a.total == 0 {
		return 1
	}
	recent := a.decayed(now)
	if recent >= steadyBytes && now.Sub(a.at) < steadyGap {
		return 1
	}
	return recent / a.total
}
