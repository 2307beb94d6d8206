package admission

import "time"

// account is the state of one client account on this router.
type account struct {
	id          string
	limit       Limit
	fraction    float64 // this router's part of the fleet-wide limit
	tokens      bucket
	demand      decayed
	running     int
	waiting     int
	reachable   peerTotals // demand of the peers that are reachable
	unreachable peerTotals // last known demand of the unreachable peers
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

// concurrent is this router's part of the bound on concurrent requests, rounded up: rounded down,
// an account with a low limit would be refused by most routers.
func (a *account) concurrent() int {
	return int(float64(a.limit.MaxConcurrent)*a.fraction + 0.999)
}

// updateFraction recomputes this router's part of the limit from the demand here and at the
// peers.
func (a *account) updateFraction(now time.Time, halfLife time.Duration) {
	localDemand := a.demand.perSecond(now, halfLife)
	limit := a.limit.TokensPerSecond
	if limit <= 0 {
		limit = max(localDemand, 1) // only MaxConcurrent is divided
	}
	localDemand = min(localDemand, limit)
	// The level was accumulated at the old fraction: refill at that rate before changing it.
	a.tokens.refill(a.rate(), a.burst(), now)
	a.fraction = limitShare(limit, localDemand, a.reachable, a.unreachable) / limit
}

// charge draws a ticket's cost, or returns how long until that is possible.
func (a *account) charge(cost float64, now time.Time) (ok bool, wait time.Duration) {
	if a.limit.TokensPerSecond <= 0 {
		return true, 0
	}
	return a.tokens.take(cost, a.rate(), a.burst(), now)
}

// settle corrects the estimate when the actual cost is known.
func (a *account) settle(estimated, actual float64) {
	if a.limit.TokensPerSecond > 0 {
		a.tokens.give(estimated - actual)
	}
}
