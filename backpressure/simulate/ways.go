package simulate

import (
	"time"

	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/fleet"
)

// bucket is a Limiter that gives this router a rate of its own. It compares ways to divide a limit.
type bucket struct {
	cfg      backpressure.Config
	share    func(limit float64, nodes int) float64
	limit    float64 // 0: none
	tokens   float64
	filledAt time.Time
	nodes    int
	nodesAt  time.Time // when nodes was read
}

// NewEqualShares returns the Limiter of a router that takes an equal share of the limit, and may send one
// request at once.
func NewEqualShares(cfg backpressure.Config) Limiter {
	return &bucket{cfg: cfg, share: func(limit float64, nodes int) float64 { return limit / float64(max(nodes, 1)) }}
}

// NewOwnLimit returns the Limiter of a router that applies the whole limit for itself.
func NewOwnLimit(cfg backpressure.Config) Limiter {
	return &bucket{cfg: cfg, share: func(limit float64, _ int) float64 { return limit }}
}

// Permit implements Limiter.
func (k *bucket) Permit(_ fleet.Backend, _ backend.Purpose, now time.Time) error {
	if k.limit == 0 {
		return nil
	}
	if now.Sub(k.nodesAt) >= time.Second {
		k.nodes, k.nodesAt = len(k.cfg.Nodes()), now
	}
	perSecond := k.share(k.limit, k.nodes)
	k.tokens = min(k.tokens+perSecond*now.Sub(k.filledAt).Seconds(), 1)
	k.filledAt = now
	if k.tokens < 1 {
		return backend.ErrWithheld
	}
	k.tokens--
	return nil
}

// Observe implements Limiter.
func (k *bucket) Observe(_ fleet.Backend, _, now time.Time, s backend.Statement) {
	if k.limit == 0 {
		k.tokens, k.filledAt = 1, now
	}
	k.limit = s.Limit
}

// HandleUpdate implements Limiter.
func (*bucket) HandleUpdate(string, backpressure.Update, time.Time) {}

// Tick implements Limiter.
func (*bucket) Tick(time.Time) {}
