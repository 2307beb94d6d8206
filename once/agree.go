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

// maxShards bounds the number that is read from the key-value service.
const maxShards = 1 << 16

// shardsPart ends the name of the key that holds the number of shards.
const shardsPart = "shards"

// ErrInvalidShardCount means that the key-value service holds no usable number of shards.
var ErrInvalidShardCount = errors.New("number of shards unreadable")

// agreement is the number of shards that all nodes use.
//
// What goes wrong without it: two nodes whose settings name different numbers
// look for one key in two logs, and each is granted it. Nobody notices until
// the request has run twice. So the number is a key that is created once and
// never written again; whoever creates it, every node uses what it holds. A
// node that has not read it refuses claims.
type agreement struct {
	shards atomic.Pointer[[]*shard] // nil until the number is known
	read   singleflight.Group

	mu        sync.Mutex
	downUntil time.Time
}

// known returns the shards, none before their number is known.
func (c *Claims) known() []*shard {
	if list := c.agreed.shards.Load(); list != nil {
		return *list
	}
	return nil
}

// open returns the shards, after it has learnt their number if need be.
func (c *Claims) open(ctx context.Context) ([]*shard, error) {
	if list := c.known(); list != nil {
		return list, nil
	}
	if c.agreed.isDown() {
		return nil, Error.Wrap(ErrUnavailable)
	}
	done := c.agreed.read.DoChan("", func() (any, error) { return nil, c.agree() })
	select {
	case r := <-done:
		return c.known(), r.Err
	case <-ctx.Done():
		return nil, Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx)))
	}
}

// agree creates the key, or reads what it holds. A create whose answer is lost
// may land later, but only where nothing is; the next call reads it.
func (c *Claims) agree() error {
	if c.known() != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.SendTimeout)
	defer cancel()
	n, err := c.readShards(ctx)
	if err != nil {
		c.agreed.failed(c.cfg.Cooldown)
		c.cfg.Events.Emit(event.ClaimsUnavailable, "shard", "all", "err", err)
		return Error.Wrap(err)
	}
	if n != c.cfg.Shards {
		c.cfg.Events.Emit(event.ClaimsShardsDiffer, "settings", c.cfg.Shards, "agreed", n)
	}
	list := c.newShards(n)
	c.agreed.shards.Store(&list)
	return nil
}

func (c *Claims) readShards(ctx context.Context) (int, error) {
	mine := []byte(strconv.Itoa(c.cfg.Shards))
	created, v, err := c.cfg.KV.Create(ctx, c.cfg.Prefix+shardsPart, mine)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if created {
		return c.cfg.Shards, nil
	}
	return parseShards(v)
}

func parseShards(v infra.Value) (int, error) {
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
		s.local = &batcher{send: s.send, maxOps: maxBatchOps, maxQueue: maxQueue}
		relay := func(ops []Op) []Result { return c.relay(s.id, ops) }
		s.relay = &batcher{send: relay, maxOps: maxBatchOps, maxQueue: maxQueue}
		list = append(list, s)
	}
	return list
}

// isDown is true for a short time after a failure, as for a shard.
func (a *agreement) isDown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.downUntil)
}

func (a *agreement) failed(cooldown time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.downUntil = time.Now().Add(cooldown)
}
