package once

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/event"
	"wigeondale/kvlog"
)

// voidsAtOnce is how many voids wait for their batch together.
const voidsAtOnce = 256

// voidQueue holds the attempts that are to be voided: at most limit of them,
// the oldest dropped first.
type voidQueue struct {
	limit int
	wake  chan struct{}

	mu    sync.Mutex
	order []Op
}

func newVoidQueue(limit int) *voidQueue {
	return &voidQueue{limit: limit, wake: make(chan struct{}, 1)}
}

// add reports whether another operation was dropped for it.
func (q *voidQueue) add(op Op) (dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order = append(q.order, op)
	if len(q.order) > q.limit {
		q.order = q.order[1:]
		dropped = true
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return dropped
}

func (q *voidQueue) takeAll() []Op {
	q.mu.Lock()
	defer q.mu.Unlock()
	ops := q.order
	q.order = nil
	return ops
}

// takeKey removes and returns the operations on one key.
func (q *voidQueue) takeKey(k KeyID) []Op {
	q.mu.Lock()
	defer q.mu.Unlock()
	var taken []Op
	rest := q.order[:0]
	for _, op := range q.order {
		if op.Key == k {
			taken = append(taken, op)
			continue
		}
		rest = append(rest, op)
	}
	q.order = rest
	return taken
}

func (c *Claims) queueVoid(op Op) {
	op.Kind = OpVoid
	if c.voids.add(op) {
		c.cfg.Events.Emit(event.ClaimVoidsDropped, "limit", maxVoids)
	}
}

// flushVoid voids this node's own given-up attempts at the key before another
// attempt claims it, so that the caller's retry isn't refused for them.
func (c *Claims) flushVoid(ctx context.Context, k KeyID) {
	c.voidAll(ctx, c.voids.takeKey(k))
}

// voidAll returns how many voids were put back. They are sent together, so
// that they share batches.
func (c *Claims) voidAll(ctx context.Context, ops []Op) int {
	var left atomic.Int64
	var group errgroup.Group
	group.SetLimit(voidsAtOnce)
	for _, op := range ops {
		group.Go(func() error {
			r := c.route(ctx, op)
			c.count("void", r, op)
			if r.Code != CodeDone {
				c.queueVoid(op)
				left.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait() // no error is returned above
	return int(left.Load())
}

// Run voids given-up attempts and compacts the logs of the shards that this
// node owns, until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.RetryAfter)
	defer tick.Stop()
	wake := c.voids.wake
	// Learnt early, so that a claim during a later outage isn't the first to ask.
	_, _ = c.open(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			wake = c.voids.wake
			_, _ = c.open(ctx) // a failure is an event already
		case <-wake:
		}
		if c.voidAll(ctx, c.voids.takeAll()) > 0 {
			wake = nil // the service fails: wait for the tick
		}
		c.compactOwned(ctx)
	}
}

func (c *Claims) compactOwned(ctx context.Context) {
	for _, s := range c.known() {
		if _, self := c.fwd.Owner(s.id); !self {
			continue
		}
		if err := s.compact(ctx, time.Now()); err != nil {
			c.cfg.Events.Emit(event.ClaimsCompactFailed, "shard", s.id, "err", err)
		}
	}
}

// compact drops the claims past the window and stores a snapshot once enough
// entries came since the last.
func (s *shard) compact(ctx context.Context, now time.Time) error {
	v := s.current()
	if v == nil || !v.due(s.cfg.CompactEvery) {
		return nil
	}
	if s.append(ctx, v, s.expiry(v, now)) != CodeDone {
		return Error.New("expiry not written")
	}
	upTo, data, err := v.save()
	if err != nil {
		return Error.Wrap(err)
	}
	err = v.log.Snapshot(ctx, upTo, data)
	if err != nil && !errors.Is(err, kvlog.ErrStaleSnapshot) {
		return Error.Wrap(err)
	}
	v.setSnapshot(upTo)
	return nil
}

// expiry takes the earlier of this node's clock and the log's latest time: a
// node whose clock runs ahead must not drop claims that are in their window.
func (s *shard) expiry(v *view, now time.Time) entry {
	v.mu.Lock()
	latest := time.Unix(int64(v.table.latest), 0)
	v.mu.Unlock()
	base := now
	if latest.Before(base) {
		base = latest
	}
	before := base.Add(-s.cfg.Window - s.cfg.ClockSkew).Unix()
	return entry{AtUnix: latest.Unix(), ExpireBeforeUnix: max(before, 0)}
}

func (v *view) due(every uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied-v.snapshot >= every
}

// save holds the lock only for a copy: encoding a large table takes many times
// as long, and every claim of the shard waits for the lock.
func (v *view) save() (uint64, []byte, error) {
	v.mu.Lock()
	upTo, copied := v.applied, v.table.save()
	v.mu.Unlock()
	data, err := copied.encode()
	return upTo, data, err
}

func (v *view) setSnapshot(n uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshot = max(v.snapshot, n)
}

// ShardDump is the state of one shard, for a dump of the process's state.
type ShardDump struct {
	Shard    int    `json:"shard"`
	Owner    string `json:"owner"`
	Open     bool   `json:"open"` // whether this node has read the shard
	Position uint64 `json:"position"`
	Snapshot uint64 `json:"snapshot"`
	Claims   int    `json:"claims"`
	Down     bool   `json:"down"` // whether claims are refused at once
}

// Dump returns the state of each shard; none before their number is known.
func (c *Claims) Dump() any {
	shards := c.known()
	dumps := make([]ShardDump, 0, len(shards))
	for _, s := range shards {
		owner, _ := c.fwd.Owner(s.id)
		d := ShardDump{Shard: s.id, Owner: owner, Down: s.isDown()}
		if v := s.current(); v != nil {
			v.mu.Lock()
			d.Open, d.Position, d.Snapshot, d.Claims = true, v.applied, v.snapshot, len(v.table.claims)
			v.mu.Unlock()
		}
		dumps = append(dumps, d)
	}
	return dumps
}
