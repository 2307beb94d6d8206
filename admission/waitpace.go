package admission

import (
	"math"
	"time"

	"wigeondale/schedule"
)

// waitPace measures how fast the requests of a WaitQueue are granted slots, to estimate how long a request
// will wait. The load for which it decides: less urgent requests arrive at five times their usual rate,
// and urgent ones go before them.
//
// Each priority has a measure of its own, in which only the requests count that are at least as urgent. One
// measure for the whole queue would be wrong for all of them: for an urgent request it counts slots of less
// urgent ones, which this router gave up to more urgent requests elsewhere, and a less urgent request would
// be promised a wait that more urgent requests use up.
type waitPace struct {
	byLevel  [schedule.Priorities]grantPace
	arrivals [schedule.Priorities]arrivalRate
}

// grantPace is the interval between two grants to requests of a level or a more urgent one.
type grantPace struct {
	interval time.Duration // while requests were waiting; 0 while unknown
	last     time.Time     // when the last slot was granted
}

type levelTimes [schedule.Priorities]time.Time

const (
	// intervalWeight is the weight of the latest interval between two grants in their moving
	// average, grantPace.interval.
	intervalWeight = 0.2
	// intervalMaxAge is the time since the last grant after which grantPace.interval is no longer
	// valid, since it dates from an earlier burst.
	intervalMaxAge = 5 * time.Second
	// maxUrgentShare bounds the part of the slots that more urgent requests are expected to use, so
	// that the expected wait stays finite.
	maxUrgentShare = 0.95
	// minRate is the rate of arrivals below which none are expected: the last one was about half a
	// minute ago.
	minRate = 0.001
)

// granted records a grant of a level. The interval between two grants counts only if the granted requests had to
// wait, and if requests were waiting during the whole interval.
//
// If other intervals counted, then at a router with little traffic the measure would be the
// interval at which requests arrive, not the one at which engines have free slots, and a
// request that is alone in the queue would be refused although it is the next one.
func (p *waitPace) granted(level int, first levelTimes, now time.Time) {
	for l := level; l < len(p.byLevel); l++ {
		p.byLevel[l].granted(!first[l].After(p.byLevel[l].last), now)
	}
}

func (g *grantPace) granted(busy bool, now time.Time) {
	gap := now.Sub(g.last)
	switch {
	case g.last.IsZero() || gap > intervalMaxAge:
		g.interval = 0
	case !busy:
	case g.interval == 0:
		g.interval = gap
	default:
		g.interval += time.Duration(intervalWeight * float64(gap-g.interval))
	}
	g.last = now
}

// arrived records that a request of a priority has to wait.
func (p *waitPace) arrived(priority int, now time.Time) { p.arrivals[priority].add(now) }

// expected returns the expected time until n requests of a priority or a more urgent one have been granted a slot. More
// urgent requests that arrive meanwhile go first, so the slots that they are expected to use don't count.
func (p *waitPace) expected(priority, n int, first levelTimes, now time.Time) (time.Duration, bool) {
	g := &p.byLevel[priority]
	if g.interval == 0 || now.Sub(g.last) > intervalMaxAge {
		return 0, false
	}
	sinceGrant := min(now.Sub(first[priority]), now.Sub(g.last))
	interval := max(g.interval, sinceGrant/2)
	urgent := min(p.urgentRate(priority, now)*interval.Seconds(), maxUrgentShare)
	if urgent == 0 {
		return time.Duration(n) * interval, true
	}
	return time.Duration(float64(n) * float64(interval) / (1 - urgent)), true
}

// urgentRate returns how many requests that are more urgent than a priority begin to wait per second.
func (p *waitPace) urgentRate(priority int, now time.Time) float64 {
	sum := 0.0
	for i := range priority {
		sum += p.arrivals[i].perSecond(now)
	}
	return sum
}

// arrivalRate is a rate of arrivals in which older arrivals count less.
type arrivalRate struct {
	rate float64
	at   time.Time
}

func (r *arrivalRate) add(now time.Time) {
	r.rate, r.at = r.perSecond(now)+1/intervalMaxAge.Seconds(), now
}

func (r *arrivalRate) perSecond(now time.Time) float64 {
	rate := r.rate * math.Exp(-now.Sub(r.at).Seconds()/intervalMaxAge.Seconds())
	if rate < minRate {
		return 0
	}
	return rate
}
