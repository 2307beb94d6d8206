package directory

import (
	"sync"
	"time"

	"wigeondale/event"
)

const (
	// relearn is how long an engine's cache map is not trusted after a gap in
	// its events: stored blocks are heard of again as they are used anew.
	relearn = 20 * time.Second
	// maxBlocks bounds the memory of one engine's map. Further blocks are not
	// kept, which only costs affinity.
	maxBlocks = 16384
)

// CacheEvent says that an engine stored or removed one prefix block.
type CacheEvent struct {
	Seq    uint64
	Stored bool
	Block  uint64
}

// CacheBatch is an answer to a poll for cache events after some number.
type CacheBatch struct {
	Incarnation string
	Events      []CacheEvent
}

// cacheMap is what is known of one engine's prefix cache.
type cacheMap struct {
	mu          sync.RWMutex
	incarnation string
	seq         uint64
	blocks      map[uint64]struct{}
	trustFrom   time.Time
}

// after is the number from which to ask on.
func (c *cacheMap) after() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.seq
}

// apply takes in a batch; it returns true when events were missing. Without
// the check, a lost "removed" would draw prompts to a cache that no longer
// holds them, for as long as the engine lives.
func (c *cacheMap) apply(b CacheBatch, now time.Time) (gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Incarnation != c.incarnation {
		c.incarnation, c.seq = b.Incarnation, 0
		c.blocks = nil
		c.trustFrom = now
	}
	for _, e := range b.Events {
		if e.Seq <= c.seq {
			continue
		}
		if e.Seq != c.seq+1 {
			gap = true
			c.blocks = nil
			c.trustFrom = now.Add(relearn)
		}
		c.seq = e.Seq
		c.change(e)
	}
	return gap
}

func (c *cacheMap) change(e CacheEvent) {
	if !e.Stored {
		delete(c.blocks, e.Block)
		return
	}
	if len(c.blocks) >= maxBlocks {
		return
	}
	if c.blocks == nil {
		c.blocks = map[uint64]struct{}{}
	}
	c.blocks[e.Block] = struct{}{}
}

func (c *cacheMap) hits(blocks []uint64, now time.Time) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if len(c.blocks) == 0 || now.Before(c.trustFrom) {
		return 0
	}
	for n, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return n
		}
	}
	return len(blocks)
}

// CacheEvents takes in a batch of an engine's cache events.
func (d *Directory) CacheEvents(id string, b CacheBatch, now time.Time) {
	r := d.table.Load().byID[id]
	if r == nil {
		return
	}
	if r.cache.apply(b, now) {
		d.log.Emit(event.CacheGap, "backend", id)
	}
}

// CacheAfter is the number of the last cache event taken in, from which the
// next poll asks on.
func (d *Directory) CacheAfter(id string) uint64 {
	r := d.table.Load().byID[id]
	if r == nil {
		return 0
	}
	return r.cache.after()
}
