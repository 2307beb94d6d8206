package cost

import (
	"sync"
	"time"
)

const (
	// minChunks is the number of chunks from which on a run says how many tokens a chunk has: with
	// fewer, the tokens of the prompt that the client only estimated would count for too much.
	minChunks = 16
	// Bounds of a plausible number of tokens in a chunk.
	minPerChunk, maxPerChunk = 0.5, 64
	calibrationTTL           = time.Minute
	// calibrationInterval is how often a new observation is wanted.
	calibrationInterval = 5 * time.Second
)

// Calibration learns how many tokens a chunk of an answer has, for each service. Lengths are stated
// in tokens by clients and engines, but a router counts chunks. It is learnt from reports of engines
// on runs of this router: the tokens that a run holds beyond its prompt are those of its chunks.
// It is safe for concurrent use.
type Calibration struct {
	mu       sync.Mutex
	services map[string]*ratio
}

type ratio struct {
	tokens, chunks float64
	at, wantedAt   time.Time
}

// maxServices bounds the services that are calibrated.
const maxServices = 256

func (c *Calibration) of(service string) *ratio {
	r := c.services[service]
	if r == nil && len(c.services) < maxServices {
		if c.services == nil {
			c.services = map[string]*ratio{}
		}
		r = &ratio{}
		c.services[service] = r
	}
	return r
}

// Observe records a run of this router as its engine reports it: the tokens that it holds in memory,
// and its chunks.
func (c *Calibration) Observe(service string, prompt, held, chunks int, now time.Time) {
	tokens := float64(held - prompt)
	if chunks < minChunks || tokens < minPerChunk*float64(chunks) || tokens > maxPerChunk*float64(chunks) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.of(service); r != nil {
		const keep = 1 - 1.0/8
		r.tokens, r.chunks, r.at = r.tokens*keep+tokens, r.chunks*keep+float64(chunks), now
	}
}

// Wanted reports whether an engine should be asked about a run with so many chunks. It returns true
// once in calibrationInterval.
func (c *Calibration) Wanted(service string, chunks int, now time.Time) bool {
	if chunks < minChunks {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.of(service)
	if r == nil || now.Sub(max2(r.at, r.wantedAt)) < calibrationInterval {
		return false
	}
	r.wantedAt = now
	return true
}

func max2(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PerChunk returns the tokens in a chunk. ok is false if that isn't known, or not any more.
func (c *Calibration) PerChunk(service string, now time.Time) (tokens float64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.services[service]
	if r == nil || r.chunks == 0 || now.Sub(r.at) > calibrationTTL {
		return 0, false
	}
	return r.tokens / r.chunks, true
}

// All returns the tokens in a chunk by service, where they are known.
func (c *Calibration) All(now time.Time) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]float64{}
	for service, r := range c.services {
		if r.chunks > 0 && now.Sub(r.at) <= calibrationTTL {
			out[service] = r.tokens / r.chunks
		}
	}
	return out
}
