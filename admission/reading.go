package admission

import (
	"sync"
	"time"
)

// PrefillRate learns how fast the engines of a service read prompts, from the time between
// a request's sending and its first piece. What else the engine did meanwhile is part
// of it: that is how fast a prompt is read there now.
//
// Without it the time that a backlog of prompts takes would have to be set for each
// deployment: with one that is too high requests wait at engines until they are late,
// with one that is too low they are refused while engines idle.
type PrefillRate struct {
	mu   sync.Mutex
	rate float64 // tokens a second; 0 while unknown
}

// readingWeight is the weight of the latest prompt in the rate: some ten prompts make
// most of it.
const readingWeight = 0.1

// Observe takes in that so many tokens were read until a first piece came.
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
	r.rate += readingWeight * (rate - r.rate)
}

// TokensWithin is how many tokens are read within a time; 0 while that isn't known.
func (r *PrefillRate) TokensWithin(d time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate * d.Seconds()
}
