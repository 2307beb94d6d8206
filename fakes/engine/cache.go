package engine

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"
)

// maxEvents bounds the cache events kept for readers.
const maxEvents = 8192

// CacheEvent tells that a prefix block entered or left the cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Type  string `json:"type"` // "stored" or "removed"
	Block string `json:"block"`
	at    time.Time
}

// cache is a least-recently-used set of prefix blocks. Its events have gaps: a
// dropped event uses up a sequence number.
type cache struct {
	limit       int
	dropPercent int
	rng         *rand.Rand
	order       *list.List // front: most recently used
	blocks      map[uint64]*list.Element
	events      []CacheEvent
	seq         uint64
}

func newCache(limit, dropPercent int, rng *rand.Rand) *cache {
	return &cache{
		limit:       limit,
		dropPercent: dropPercent,
		rng:         rng,
		order:       list.New(),
		blocks:      make(map[uint64]*list.Element),
	}
}

// use stores the blocks and returns how many leading ones were there already.
func (c *cache) use(blocks []uint64, now time.Time) int {
	hits := 0
	for i, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			c.store(b, now)
			continue
		}
		c.order.MoveToFront(e)
		if hits == i {
			hits++
		}
	}
	return hits
}

func (c *cache) store(b uint64, now time.Time) {
	if c.order.Len() >= c.limit {
		last := c.order.Back()
		old := c.order.Remove(last).(uint64)
		delete(c.blocks, old)
		c.emit("removed", old, now)
	}
	c.blocks[b] = c.order.PushFront(b)
	c.emit("stored", b, now)
}

func (c *cache) emit(kind string, b uint64, now time.Time) {
	c.seq++
	if c.rng.IntN(100) < c.dropPercent {
		return
	}
	c.events = append(c.events, CacheEvent{c.seq, kind, fmt.Sprintf("%016x", b), now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// after lists the events past seq that happened no later than until.
func (c *cache) after(seq uint64, until time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}
