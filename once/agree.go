package once

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"wigeondale/event"
	"wigeondale/infra"
)

// maxShards is the highest number of shards that a node accepts from the key-value
// service.
const maxShards = 1 << 16

// shardCountSuffix is the last part of the key that stores the number of shards.
const shardCountSuffix = "shards"

// ErrInvalidShardCount means that the number of shards that is stored in the key-value
// service is not a number between 1 and maxShards.
var ErrInvalidShardCount = errors.New("invalid number of shards in the key-value service")

// shardAgreement holds the shards, whose number all nodes agree on.
//
// If two nodes were configured with different numbers of shards, they would look up the
// same key in different logs, each would be granted the claim, and the request would
// run twice before any node notices. The number is therefore stored under a key that is
// created once and never overwritten. The first node creates it, and every node uses
// the stored number. A node that has not read the number yet, and fails to read it when
// a claim arrives, refuses the claim.
type shardAgreement struct {
	shards  atomic.Pointer[[]*shard] // nil until the number is known
	loading singleflight.Group

	mu            sync.Mutex
	cooldownUntil time.Time
}

// loadedShards returns the shards, or nil while their number is not known yet.
func (c *Claims) loadedShards() []*shard {
	if list := c.agreement.shards.Load(); list != nil {
		return *list
	}
	return nil
}

// openShards returns the shards. If this node does not know the number of shards yet,
// openShards first reads the number from the key-value service.
func (c *Claims) openShards(ctx context.Context) ([]*shard, error) {
	if list := c.loadedShards(); list != nil {
		return list, nil
	}
	if c.agreement.inCooldown() {
		return nil, Error.Wrap(ErrUnavailable)
	}
	done := c.agreement.loading.DoChan("", func() (any, error) { return nil, c.agreeOnShards() })
	select {
	case r := <-done:
		return c.loadedShards(), r.Err
	case <-ctx.Done():
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx)))
	}
}

// agreeOnShards creates the key that stores the number of shards, or reads the number
// if the key exists. If the answer to a create is lost, the create may still take
// effect later. This is harmless: a create never overwrites an existing key, and the
// next call of agreeOnShards reads the number.
func (c *Claims) agreeOnShards() error {
	if c.loadedShards() != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.SendTimeout)
	defer cancel()
	n, err := c.readShardCount(ctx)
	if err != nil {
		c.agreement.recordFailure(c.cfg.Cooldown)
		c.cfg.Events.Emit(event.ClaimsUnavailable, "shard", "all", "err", err)
		return Error.Wrap(err)
	}
	if n != c.cfg.Shards {
		c.cfg.Events.Emit(event.ClaimsShardsDiffer, "settings", c.cfg.Shards, "agreed", n)
	}
	list := c.newShards(n)
	c.agreement.shards.Store(&list)
	return nil
}

func (c *Claims) readShardCount(ctx context.Context) (int, error) {
	proposal := []byte(strconv.Itoa(c.cfg.Shards))
	created, v, err := c.cfg.KV.Create(ctx, c.cfg.Prefix+shardCountSuffix, proposal)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if created {
		return c.cfg.Shards, nil
	}
	return parseShardCount(v)
}

func parseShardCount(v infra.Value) (int, error) {
	n, err := strconv.Atoi(string(v.Data))
	if err != nil || n < 1 || n > maxShards {
		return 0, fmt.Errorf("%w: %q", ErrInvalidShardCount, v.Data)
	}
	return n, nil
}

func (c *Claims) newShards(n int) []*shard {
	list := make([]*shard, 0, n)
	for i := range n {
		s := &shard{id: i, cfg: &c.cfg}
		s.local = &batcher{send: s.writeBatch, maxOps: maxBatchOps, maxQueue: maxQueue}
		relay := func(ops []Op) []Result { return c.relay(s.id, ops) }
		s.relay = &batcher{send: relay, maxOps: maxBatchOps, maxQueue: maxQueue}
		list = append(list, s)
	}
	return list
}

// inCooldown reports whether the last failure to read the number of shards was less than
// Config.Cooldown ago. Claims are then refused without another try to read the number, for
// the reason given at shard.inCooldown.
func (a *shardAgreement) inCooldown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.cooldownUntil)
}

func (a *shardAgreement) recordFailure(cooldown time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cooldownUntil = time.Now().Add(cooldown)
}
