package admission

import "time"

// account is the state of one client account on this router.
type account struct {
	id       string
	limit    Limit
	fraction float64 // this router's part of the fleet-wide limit
	tokens   bucket
	demand   decayed
	running  int
	waiting  int
	heard    others // peers heard
	lost     others // peers lost, by their last known demands
}

func (a *account) weight() float64 {
	if a.limit.Weight <= 0 {
		return 1
	}
	return a.limit.Weight
}

// rate and burst are this router's parts of the limit.
func (a *account) rate() float64 { return a.limit.TokensPerSecond * a.fraction }

func (a *account) burst() float64 {
	b := a.limit.Burst
	if b <= 0 {
		b = a.limit.TokensPerSecond
	}
	return b * a.fraction
}

// concurrent is this router's part of the bound on requests at once, rounded
// up: rounded down, an account with few would be shut out of most routers.
func (a *account) concurrent() int {
	return int(float64(a.limit.MaxConcurrent)*a.fraction + 0.999)
}

// split works out this router's fraction anew.
func (a *account) split(now time.Time, half time.Duration) {
	own := a.demand.perSecond(now, half)
	limit := a.limit.TokensPerSecond
	if limit <= 0 {
		limit = max(own, 1) // only MaxConcurrent is split
	}
	own = min(own, limit)
	// The level belongs to the old fraction: refill at it before changing.
	a.tokens.refill(a.rate(), a.burst(), now)
	a.fraction = share(limit, own, a.heard, a.lost) / limit
}

// charge draws a ticket's cost, or says how long until it could.
func (a *account) charge(cost float64, now time.Time) (ok bool, wait time.Duration) {
	if a.limit.TokensPerSecond <= 0 {
		return true, 0
	}
	return a.tokens.take(cost, a.rate(), a.burst(), now)
}

// settle corrects the estimate once the real cost is known.
func (a *account) settle(estimated, actual float64) {
	if a.limit.TokensPerSecond > 0 {
		a.tokens.give(estimated - actual)
	}
}
