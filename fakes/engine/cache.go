package engine

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"time"
)

// maxCacheEvents bounds the events that a cache keeps for GET /v1/cache-events.
const maxCacheEvents = 8192

// CacheEvent reports that a prefix block was added to or removed from the cache.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Type  string `json:"type"` // "stored" or "removed"
	Block string `json:"block"`
	at    time.Time
}

// cache is a least-recently-used set of prefix blocks. The cache drops a share of its
// events on purpose. A dropped event uses up a sequence number, so readers see a gap.
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

// lookUpAndStore stores the blocks and returns how many of the leading blocks were cached
// before.
func (c *cache) lookUpAndStore(blocks []uint64, now time.Time) int {
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
		oldest := c.order.Back()
		block := c.order.Remove(oldest).(uint64)
		delete(c.blocks, block)
		c.addEvent("removed", block, now)
	}
	c.blocks[b] = c.order.PushFront(b)
	c.addEvent("stored", b, now)
}

func (c *cache) addEvent(kind string, b uint64, now time.Time) {
	c.seq++
	if c.rng.IntN(100) < c.dropPercent {
		return
	}
	c.events = append(c.events, CacheEvent{c.seq, kind, fmt.Sprintf("%016x", b), now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents/2:]
	}
}

// eventsAfter returns the events with a sequence number above seq that happened no later
// than until.
func (c *cache) eventsAfter(seq uint64, until time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(until) {
			out = append(out, e)
		}
	}
	return out
}
