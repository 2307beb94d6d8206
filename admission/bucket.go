package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change. Its level falls below zero when a request cost
// more than estimated: that debt has to be refilled first. golang.org/x/time/rate supports
// neither debts nor refunds.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(rate, burst float64, now time.Time) {
	if b.at.IsZero() {
		b.level, b.at = burst, now
		return
	}
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level += d * rate
		b.at = now
	}
	b.level = min(b.level, burst)
}

// take draws cost. If the level is too low, it draws nothing, and wait is the time until the
// level suffices (the longest time.Duration if the rate is zero). Exception: a full bucket
// admits a cost above the burst and goes into debt, since otherwise a long generation could
// never run.
func (b *bucket) take(cost, rate, burst float64, now time.Time) (ok bool, wait time.Duration) {
	b.refill(rate, burst, now)
	need := min(cost, burst)
	if b.level >= need {
		b.level -= cost
		return true, 0
	}
	if rate <= 0 {
		return false, math.MaxInt64
	}
	return false, time.Duration((need - b.level) / rate * float64(time.Second))
}

// give adds tokens that were drawn because of an overestimate. A negative number draws the
// tokens that were missing because of an underestimate.
func (b *bucket) give(tokens float64) { b.level += tokens }

// decayed measures a rate of events per second. The weight of an event decays with a
// half-life.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) fade(now time.Time, halfLife time.Duration) {
	if age := now.Sub(d.at); !d.at.IsZero() && age > 0 {
		d.sum *= math.Exp2(-age.Seconds() / halfLife.Seconds())
	}
	d.at = now
}

func (d *decayed) add(n float64, now time.Time, halfLife time.Duration) {
	d.fade(now, halfLife)
	d.sum += n
}

// perSecond returns the rate: the sum of the weighted events divided by the mean length of the
// exponential window, which is halfLife/ln 2.
func (d *decayed) perSecond(now time.Time, halfLife time.Duration) float64 {
	d.fade(now, halfLife)
	return d.sum * math.Ln2 / halfLife.Seconds()
}
