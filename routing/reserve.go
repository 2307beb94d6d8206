package routing

import "math"

// This file keeps memory of an engine free for runs that become longer than expected. It is made for
// engines that hold 8 to 32 runs, whose estimated memory is a sum of independent lengths.

// overflowDeviations is how many standard deviations of the sum are kept free. A sum of 8 or more
// lengths is near a normal distribution: it exceeds its mean by more than that in one of 100 cases. Runs
// reach their ends at different times, so an engine runs out of memory in far fewer.
const overflowDeviations = 2.33

// memoryReserve returns the tokens to keep free for runs whose memory is known with the given variance.
// It is 0 if their memory is a bound.
func memoryReserve(variance float64) float64 {
	if !(variance > 0) {
		return 0
	}
	return overflowDeviations * math.Sqrt(variance)
}

// Needs returns how many tokens of memory an engine without work must have for the request.
func (r *PickRequest) Needs() int {
	return r.MemoryTokens + int(math.Ceil(memoryReserve(r.MemorySpread)))
}

// spreadLoad is implemented by a Live that knows the variance of the memory that it estimates.
type spreadLoad interface {
	Spread() float64
}

func (c *Candidate) memorySpread() float64 {
	if s, ok := c.Live.(spreadLoad); ok {
		return s.Spread()
	}
	return 0
}
