package quarantine

import (
	"context"
	"time"

	"wigeondale/clock"
)

// DefaultStartWait is a value of Config.StartWait that is longer than the time to link to another router.
const DefaultStartWait = 500 * time.Millisecond

// CallHolds is the name of the call between routers that fetches what is quarantined.
const CallHolds = "quarantine.held"

const (
	// holdsInterval is how often a router fetches what is quarantined from a random neighbour. After its start,
	// the router retries until a neighbour has answered, first after holdsRetryInterval, then at twice the interval
	// each time.
	holdsInterval      = time.Minute
	holdsRetryInterval = 200 * time.Millisecond
)

// HoldsRequest is the request of CallHolds.
type HoldsRequest struct {
	// Evidence asks for the recent crashes too. Routers of builds that don't know the field reply without them.
	Evidence bool `cbor:"1,keyasint,omitempty"`
}

// CurrentHolds returns the holds of all quarantined requests and parts, and the evidence if it is asked for.
func (g *Guard) CurrentHolds(req HoldsRequest) Update {
	u := Update{Holds: g.Holds(), PartHolds: g.PartHolds(), Informed: g.informed.Load()}
	if req.Evidence {
		u.Evidence = g.evidence()
	}
	return u
}

// startUninformed has requests wait until another router replies, but at the latest until Config.StartWait has passed: the
// records of holds may be missing in the store, or the store may be unavailable.
func (g *Guard) startUninformed() {
	if g.cfg.StartWait == 0 {
		g.informed.Store(true)
		return
	}
	time.AfterFunc(g.cfg.StartWait, g.setInformed)
}

func (g *Guard) setInformed() {
	if !g.informed.Swap(true) {
		g.wakeWaiting()
	}
}

// FetchHolds fetches what is quarantined at another router. It returns the id of that router, or false if
// none answered.
type FetchHolds func(ctx context.Context, req HoldsRequest) (u Update, from string, ok bool)

// HoldsCall fetches what is quarantined at one other router, by CallHolds.
type HoldsCall func(ctx context.Context, from string, req HoldsRequest) (Update, error)

// SyncHoldsFrom fetches what is quarantined at a router to which a link has come up. Each neighbour is asked, since some
// may have just started and have no holds yet.
func (g *Guard) SyncHoldsFrom(from string, call HoldsCall) {
	g.syncHoldsOnce(context.Background(), func(ctx context.Context, req HoldsRequest) (Update, string, bool) {
		u, err := call(ctx, from, req)
		return u, from, err == nil
	})
}

// SyncHolds fetches what is quarantined from other routers until ctx ends, since a router that has just
// started or was isolated has missed updates.
func (g *Guard) SyncHolds(ctx context.Context, fetch FetchHolds) error {
	wait := holdsRetryInterval
	for clock.Sleep(ctx, wait) {
		if g.syncHoldsOnce(ctx, fetch) {
			wait = holdsInterval
			continue
		}
		wait = min(2*wait, holdsInterval)
	}
	return nil
}

func (g *Guard) syncHoldsOnce(ctx context.Context, fetch FetchHolds) bool {
	ctx, stop := context.WithTimeout(ctx, holdsRetryInterval)
	defer stop()
	wanted := g.evidenceClaims.claim()
	u, from, ok := fetch(ctx, HoldsRequest{Evidence: wanted})
	if ok {
		g.HandleUpdate(from, u)
	}
	if u.Evidence != nil {
		g.addEvidence(from, u.Evidence)
	}
	switch {
	case u.Informed:
		g.setInformed()
	case wanted:
		g.evidenceClaims.release()
	}
	return ok
}
