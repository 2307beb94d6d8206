package directory

import (
	"sync"
	"time"

	"wigeondale/event"
)

const (
	// relearnTime is how long an engine's cache map isn't used after a gap in the engine's
	// events. In that time the map fills again, because the engine reports a stored block
	// again when the block is used again.
	relearnTime = 20 * time.Second
	// maxBlocks bounds the memory of one engine's map. Blocks beyond this number are
	// not recorded; the only cost is that prompts with these blocks may not be routed
	// to the engine that has them cached.
	maxBlocks = 16384
)

// CacheEvent reports that an engine stored or removed one prefix block.
type CacheEvent struct {
	Seq    uint64
	Stored bool
	Block  uint64
}

// CacheBatch is the response to a poll for the cache events after a sequence number.
type CacheBatch struct {
	Incarnation string
	Events      []CacheEvent
}

// cacheMap records the blocks known to be in one engine's prefix cache.
type cacheMap struct {
	mu          sync.RWMutex
	incarnation string
	seq         uint64
	blocks      map[uint64]struct{}
	trustedFrom time.Time
}

// lastSeq returns the sequence number of the last event applied, after which the next poll
// for cache events continues.
func (c *cacheMap) lastSeq() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.seq
}

// apply applies a batch and reports whether events were missing. If events were missing,
// apply clears the map, because a "removed" event may be lost: without the clearing, this
// router would send prompts to a cache that no longer contains their blocks, for as long
// as the engine runs.
func (c *cacheMap) apply(b CacheBatch, now time.Time) (gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Incarnation != c.incarnation {
		c.incarnation, c.seq = b.Incarnation, 0
		c.blocks = nil
		c.trustedFrom = now
	}
	for _, e := range b.Events {
		if e.Seq <= c.seq {
			continue
		}
		if e.Seq != c.seq+1 {
			gap = true
			c.blocks = nil
			c.trustedFrom = now.Add(relearnTime)
		}
		c.seq = e.Seq
		c.applyEvent(e)
	}
	return gap
}

func (c *cacheMap) applyEvent(e CacheEvent) {
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
	if len(c.blocks) == 0 || now.Before(c.trustedFrom) {
		return 0
	}
	for n, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return n
		}
	}
	return len(blocks)
}

// CacheEvents applies a batch of an engine's cache events to the map of that engine's
// cache, and logs a gap in the events. A batch of an unknown engine is ignored.
func (d *Directory) CacheEvents(id string, b CacheBatch, now time.Time) {
	r := d.index.get(id)
	if r == nil {
		return
	}
	if r.cache.apply(b, now) {
		d.log.Emit(event.CacheGap, "backend", id)
	}
}

// CacheAfter returns the sequence number of the last cache event of the engine that was
// applied, after which the next poll continues; 0 means that the poll starts with the
// first event.
func (d *Directory) CacheAfter(id string) uint64 {
	r := d.index.get(id)
	if r == nil {
		return 0
	}
	return r.cache.lastSeq()
}
