package admission

import (
	"sync"
	"time"
)

// PrefillRate estimates how fast the engines of a service read prompts, from the time between the
// sending of a request and its first chunk. Other work of the engine in that time is included:
// the estimate is how fast a prompt is read there at present.
//
// Otherwise the time that a backlog of prompts takes would have to be configured for each
// deployment: if it is too high, requests wait at engines until they are late; if it is too low,
// they are refused while engines are idle.
type PrefillRate struct {
	mu   sync.Mutex
	rate float64 // tokens per second; 0 while unknown
}

// rateWeight is the weight of the latest prompt in the rate: about the last ten prompts determine
// most of it.
const rateWeight = 0.1

// Observe records that a number of tokens was read before a first chunk arrived.
func (r *PrefillRate) Observe(tokens float64, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := tokens / took.Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate == 0 {
		r.rate = rate
		return
	}
	r.rate += rateWeight * (rate - r.rate)
}

// TokensWithin is how many tokens are read within a time; 0 while that isn't known.
func (r *PrefillRate) TokensWithin(d time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate * d.Seconds()
}
