package daemon

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"wigeondale/generation"
	"wigeondale/once"
	"wigeondale/peer"
	"wigeondale/settings"
)

const (
	claimsPrefix = "wigeondale/claims/"
	callClaims   = "once.batch"
)

func (n *node) buildClaims(set *settings.Settings) error {
	owner := newShardOwner(n.mesh, n.id)
	n.claims = once.New(once.Config{
		Node:        n.id,
		Incarnation: set.Node.Incarnation,
		KV:          n.kv,
		Prefix:      claimsPrefix,
		Shards:      set.Claims.Shards,
		Window:      time.Duration(set.Claims.WindowS) * time.Second,
		Events:      n.log,
		Metrics:     n.set,
	}, owner)
	peer.HandleCall(n.mesh, callClaims, func(ctx context.Context, _ string, b once.Batch) (once.BatchResult, error) {
		return n.claims.HandleBatch(ctx, b)
	})
	return nil
}

// claims adapts once.Claims, the at-most-once claims of keys, to the interface that package
// generation expects.
type claims struct{ *once.Claims }

// Claim claims a key for an attempt, and reports whether the attempt got the key. If it
// remains unknown whether the claim was written, package once voids the claim in the
// background, so that a request that was refused does not leave its key used.
func (c claims) Claim(ctx context.Context, account, key string, body [16]byte, attempt string) (bool, error) {
	v, err := c.Claims.Claim(ctx, account, key, body, attempt)
	if err == nil {
		return v.Granted, nil
	}
	if errors.Is(err, once.ErrKeyReused) {
		return false, &generation.Unavailable{Code: generation.CodeKeyReused, Err: err}
	}
	if !errors.Is(err, once.ErrUnavailable) && !errors.Is(err, once.ErrUnknown) {
		return false, err
	}
	refusal := &generation.Unavailable{Code: generation.CodeNoClaim, Err: err}
	if unavailable, ok := errors.AsType[*once.UnavailableError](err); ok {
		refusal.RetryAfter = unavailable.RetryAfter
	}
	return false, refusal
}

// shardOwner determines which router appends the claims of each shard. Routers whose views
// of the membership differ for a while may both append: the log's conditional create then
// decides. Owners are cached until the membership changes, because ranking hundreds of
// members for each claim would cost more than the rest of the work for that claim.
type shardOwner struct {
	mesh *peer.Mesh
	self string

	mu     sync.Mutex
	owners map[int]string // by shard
}

func newShardOwner(mesh *peer.Mesh, self string) *shardOwner {
	o := &shardOwner{mesh: mesh, self: self, owners: map[int]string{}}
	mesh.OnChange(o.forget)
	return o
}

func (o *shardOwner) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.owners)
}

// Owner returns the router that appends the claims of a shard, chosen by rendezvous hash
// among the alive members, and reports whether it is this router.
func (o *shardOwner) Owner(shard int) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	node, ok := o.owners[shard]
	if !ok {
		node = o.rank(shard)
		o.owners[shard] = node
	}
	return node, node == o.self
}

func (o *shardOwner) rank(shard int) string {
	alive := aliveMembers(o.mesh.Members())
	best := peer.Rendezvous("claims/"+strconv.Itoa(shard), alive, 1)
	if len(best) == 0 {
		return o.self
	}
	return best[0].ID
}

// Forward sends a batch of claims over the peer links to the router that owns their shard.
func (o *shardOwner) Forward(ctx context.Context, node string, b once.Batch) (once.BatchResult, error) {
	return peer.Call[once.Batch, once.BatchResult](ctx, o.mesh, node, callClaims, b)
}

func aliveMembers(members []peer.Member) []peer.Member {
	out := make([]peer.Member, 0, len(members))
	for _, m := range members {
		if m.Alive && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}
