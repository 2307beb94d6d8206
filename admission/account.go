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

// rate returns this router's part of the account's rate limit, in tokens per second. burst
// returns this router's part of the account's limit on bursts, in tokens; if no such limit is
// set, the tokens of one second at the rate limit take its place.
func (a *account) rate() float64 { return a.limit.TokensPerSecond * a.fraction }

func (a *account) burst() float64 {
	b := a.limit.Burst
	if b <= 0 {
		b = a.limit.TokensPerSecond
	}
	return b * a.fraction
}

// concurrent returns this router's part of the bound on concurrent requests, rounded up. If it
// were rounded down, an account with a low limit would be refused by most routers.
func (a *account) concurrent() int {
	return int(float64(a.limit.MaxConcurrent)*a.fraction + 0.999)
}

// updateFraction recomputes this router's part of the account's limit from the account's
// demand at this router and at the peers.
func (a *account) updateFraction(now time.Time, halfLife time.Duration) {
	localDemand := a.demand.perSecond(now, halfLife)
	limit := a.limit.TokensPerSecond
	if limit <= 0 {
		limit = max(localDemand, 1) // only MaxConcurrent is divided
	}
	localDemand = min(localDemand, limit)
	// The level of the token bucket was accumulated at the old fraction, so the bucket is
	// refilled at the old rate before the fraction changes.
	a.tokens.refill(a.rate(), a.burst(), now)
	a.fraction = limitShare(limit, localDemand, a.reachable, a.unreachable) / limit
}

// charge draws a ticket's cost from the account's token bucket. If the level of the bucket is
// too low, charge draws nothing and returns how long to wait until the level suffices. An
// account without a rate limit is not charged.
func (a *account) charge(cost float64, now time.Time) (ok bool, wait time.Duration) {
	if a.limit.TokensPerSecond <= 0 {
		return true, 0
	}
	return a.tokens.take(cost, a.rate(), a.burst(), now)
}

// settle corrects the charge for a ticket when the actual cost is known: it returns to the
// token bucket what was charged too much, or draws from the bucket what was charged too
// little.
func (a *account) settle(estimated, actual float64) {
	if a.limit.TokensPerSecond > 0 {
		a.tokens.give(estimated - actual)
	}
}
