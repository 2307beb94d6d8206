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

// maxConcurrentVoids is the maximum number of voids that wait for a batch at the same
// time.
const maxConcurrentVoids = 256

// voidQueue is a queue of void operations that still have to be written. It has at most
// limit operations; when the queue is full, add drops the oldest operation.
type voidQueue struct {
	limit int
	wake  chan struct{}

	mu  sync.Mutex
	ops []Op
}

func newVoidQueue(limit int) *voidQueue {
	return &voidQueue{limit: limit, wake: make(chan struct{}, 1)}
}

// add appends op and reports whether it dropped the oldest operation because the queue
// was full.
func (q *voidQueue) add(op Op) (dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ops = append(q.ops, op)
	if len(q.ops) > q.limit {
		q.ops = q.ops[1:]
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
	ops := q.ops
	q.ops = nil
	return ops
}

// takeKey removes and returns the operations on one key.
func (q *voidQueue) takeKey(k KeyID) []Op {
	q.mu.Lock()
	defer q.mu.Unlock()
	var taken []Op
	remaining := q.ops[:0]
	for _, op := range q.ops {
		if op.Key == k {
			taken = append(taken, op)
			continue
		}
		remaining = append(remaining, op)
	}
	q.ops = remaining
	return taken
}

func (c *Claims) queueVoid(op Op) {
	op.Kind = OpVoid
	if c.voids.add(op) {
		c.cfg.Events.Emit(event.ClaimVoidsDropped, "limit", maxQueuedVoids)
	}
}

// flushVoids writes the queued voids of this node's abandoned attempts for the key
// before another attempt claims it, so that a caller's retry is not refused because of
// the abandoned attempts.
func (c *Claims) flushVoids(ctx context.Context, k KeyID) {
	c.voidAll(ctx, c.voids.takeKey(k))
}

// voidAll writes the void operations and returns how many of them failed and were
// queued again. It submits the operations concurrently, so that they share batches.
func (c *Claims) voidAll(ctx context.Context, ops []Op) int {
	var requeued atomic.Int64
	var group errgroup.Group
	group.SetLimit(maxConcurrentVoids)
	for _, op := range ops {
		group.Go(func() error {
			r := c.execute(ctx, op)
			c.countResult("void", r, op)
			if r.Code != CodeDone {
				c.queueVoid(op)
				requeued.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions of the group return no error
	return int(requeued.Load())
}

// Run voids abandoned attempts and compacts the logs of the shards that this
// node owns, until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	tick := time.NewTicker(c.cfg.RetryAfter)
	defer tick.Stop()
	wake := c.voids.wake
	// Read the number of shards now, so that claims do not depend on reading that
	// number from the key-value service during a later outage.
	_, _ = c.openShards(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			wake = c.voids.wake
			_, _ = c.openShards(ctx) // a failure has been logged already
		case <-wake:
		}
		if c.voidAll(ctx, c.voids.takeAll()) > 0 {
			wake = nil // the key-value service fails: retry at the next tick
		}
		c.compactOwned(ctx)
	}
}

func (c *Claims) compactOwned(ctx context.Context) {
	for _, s := range c.loadedShards() {
		if _, self := c.fwd.Owner(s.id); !self {
			continue
		}
		if err := s.compact(ctx, time.Now()); err != nil {
			c.cfg.Events.Emit(event.ClaimsCompactFailed, "shard", s.id, "err", err)
		}
	}
}

// compact removes the claims that are older than the window: it appends an entry to the log
// that removes them, and then stores a snapshot of the table. It does nothing until
// Config.CompactEvery entries were applied since the last snapshot.
func (s *shard) compact(ctx context.Context, now time.Time) error {
	v := s.currentView()
	if v == nil || !v.needsCompaction(s.cfg.CompactEvery) {
		return nil
	}
	if s.append(ctx, v, s.expiry(v, now)) != CodeDone {
		return Error.New("expiry entry was not written to the log")
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

// expiry returns the log entry that removes the claims older than the window. It
// uses the earlier of this node's clock and the latest time in the log, because
// a node whose clock runs ahead must not remove claims within their window.
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

func (v *view) needsCompaction(every uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied-v.snapshot >= every
}

// save returns the table's position and its encoded snapshot. It holds the lock
// only while it copies the table: every claim of the shard waits for the lock,
// and encoding a large table takes many times as long as copying it.
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
	Open     bool   `json:"open"` // whether this node has read the shard's log
	Position uint64 `json:"position"`
	Snapshot uint64 `json:"snapshot"`
	Claims   int    `json:"claims"`
	Down     bool   `json:"down"` // whether claims are refused without a try because a batch failed recently
}

// Dump returns the state of each shard. It is empty while the number of shards
// is not known yet.
func (c *Claims) Dump() any {
	shards := c.loadedShards()
	dumps := make([]ShardDump, 0, len(shards))
	for _, s := range shards {
		owner, _ := c.fwd.Owner(s.id)
		d := ShardDump{Shard: s.id, Owner: owner, Down: s.inCooldown()}
		if v := s.currentView(); v != nil {
			v.mu.Lock()
			d.Open, d.Position, d.Snapshot, d.Claims = true, v.applied, v.snapshot, len(v.table.claims)
			v.mu.Unlock()
		}
		dumps = append(dumps, d)
	}
	return dumps
}
