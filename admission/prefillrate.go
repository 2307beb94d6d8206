package admission

import (
	"sync"
	"time"
)

// PrefillRate estimates how fast the engines of a service read prompts, from the time between
// the sending of a request and its first chunk. Other work that the engine does in that time
// is included: the estimate states how fast a prompt is read at present.
//
// Without the estimate, the time that a backlog of prompts takes would have to be configured
// for each deployment. If the configured speed were too high, requests would wait at engines
// until they are late; if it were too low, requests would be refused while engines are idle.
type PrefillRate struct {
	mu   sync.Mutex
	rate float64 // tokens per second; 0 while unknown
}

// rateWeight is the weight of the latest prompt in the rate, so that about the last ten
// prompts determine most of the rate.
const rateWeight = 0.1

// Observe records that a number of tokens was read in the given time before a first chunk
// arrived.
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

// TokensWithin returns how many tokens are read within a time; 0 while the rate isn't known.
func (r *PrefillRate) TokensWithin(d time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate * d.Seconds()
}
