package backpressure

import (
	"math/rand/v2"
	"time"
)

const (
	// maxWait bounds the time after which clients are asked to come back.
	maxWait = 10 * time.Second
	// waitSpread is the random part by which that time is longer, as a share of it, so that
	// clients that are refused together don't return together.
	waitSpread = 0.25
)

// Wait returns after which time a client should come back whose request none of the given backend
// servers, which belong to one service, accepts now. The clients of all routers come back one
// after the other, at the rate at which the backend servers take requests: a client that comes back
// sooner would be refused again.
func (t *Tracker) Wait(ids []string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	service, perSecond := "", 0.0
	for _, id := range ids {
		if st := t.byID[id]; st != nil && st.limit.stated() {
			service, perSecond = st.service, perSecond+usedShare*st.limit.rate
		}
	}
	if len(t.brittle) > 0 && len(ids) > 0 && t.brittle[t.cfg.Service(ids[0])] != nil {
		return brittleWait
	}
	wait := t.restLeft(ids, now)
	if perSecond > 0 {
		wait = min(wait, t.turn(service, perSecond/float64(max(len(t.allNodes(now)), 1)), now))
	}
	return wait + time.Duration(waitSpread*rand.Float64()*float64(wait))
}

// turn returns the time until the next turn of a service's clients that this router has refused,
// when it may bring back perSecond of them a second. The caller holds t.mu.
func (t *Tracker) turn(service string, perSecond float64, now time.Time) time.Duration {
	next := t.turns[service]
	if next.Before(now) {
		next = now
	}
	next = next.Add(time.Duration(min(1/perSecond, maxWait.Seconds()) * float64(time.Second)))
	if next.Sub(now) > maxWait {
		next = now.Add(maxWait)
	}
	t.turns[service] = next
	return next.Sub(now)
}

// restLeft returns the time until the first of the backend servers' rests ends, at most maxWait. The
// caller holds t.mu.
func (t *Tracker) restLeft(ids []string, now time.Time) time.Duration {
	left := maxWait
	for _, id := range ids {
		if st := t.byID[id]; st != nil && st.rest.asked() && !st.leaving() {
			left = min(left, max(st.rest.until.Sub(now), st.rest.trialAt.Add(trialTimeout).Sub(now), 0))
		}
	}
	return left
}
