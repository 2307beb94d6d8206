package directory

import (
	"time"

	"wigeondale/fleet"
	"wigeondale/routing"
)

// BackendDump is what this router knows about one backend server, in a dump for operators.
type BackendDump struct {
	Backend      fleet.Backend    `json:"backend"`
	Report       fleet.LoadReport `json:"report"`
	Load         float64          `json:"estimated_load"`
	RequestLimit float64          `json:"requests_taken"` // requests at once, as the reports showed
	Leaving      bool             `json:"leaving"`
	Marks        []string         `json:"leaving_incarnations"`
	Member       bool             `json:"in_subset"`
	CacheBlocks  int              `json:"cache_blocks_known"`
}

// Dump returns the known state of each backend server, by id.
func (d *Directory) Dump() map[string]BackendDump {
	now := time.Now()
	d.mu.Lock()
	subset := d.subset
	d.mu.Unlock()
	out := map[string]BackendDump{}
	for _, r := range d.index.all() {
		id := r.id
		b := r.dump(now)
		b.Member = subset == nil || subset[id]
		out[id] = b
	}
	return out
}

func (r *record) dump(now time.Time) BackendDump {
	blocks := r.cache.size()
	r.mu.Lock()
	defer r.mu.Unlock()
	return BackendDump{
		Backend:      *r.backend,
		Report:       r.last,
		Load:         r.Load(now),
		RequestLimit: r.batch.limit(1),
		Leaving:      r.Leaving(),
		Marks:        append([]string(nil), r.marks...),
		CacheBlocks:  blocks,
	}
}

func (c *cacheMap) size() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.blocks)
}

// Capacity returns how many requests this router may have in progress at the given
// candidates of a Snapshot if each candidate runs perBackend requests at once. The load
// of other routers is subtracted. The result is at least 1 while any candidate accepts
// work, because the reported load of other routers lags and may be too high.
func Capacity(candidates []routing.Candidate, perBackend float64, now time.Time) int {
	return capacity(candidates, now, func(*record) float64 { return perBackend })
}
