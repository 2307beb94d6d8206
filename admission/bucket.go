package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change. Its level may fall below
// zero when a request cost more than was estimated: the debt is paid first.
// golang.org/x/time/rate knows neither debts nor refunds.
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

// take draws cost; when it is short, wait is the time until it would do. A
// cost above the burst is let through by a full bucket and leaves a debt:
// otherwise a long draft could never run.
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

// give returns what was estimated too much, or draws what was too little.
func (b *bucket) give(tokens float64) { b.level += tokens }

// decayed is a rate of events per second that forgets with a half-life.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) fade(now time.Time, half time.Duration) {
	if age := now.Sub(d.at); !d.at.IsZero() && age > 0 {
		d.sum *= math.Exp2(-age.Seconds() / half.Seconds())
	}
	d.at = now
}

func (d *decayed) add(n float64, now time.Time, half time.Duration) {
	d.fade(now, half)
	d.sum += n
}

// perSecond is the rate: the sum over an exponential window, whose mean length
// is half/ln 2.
func (d *decayed) perSecond(now time.Time, half time.Duration) float64 {
	d.fade(now, half)
	return d.sum * math.Ln2 / half.Seconds()
}
