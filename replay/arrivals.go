package replay

import (
	"math/rand/v2"
	"time"
)

// Rate is a rate of arrivals that applies from the offset From until the From of the next
// Rate in the list.
type Rate struct {
	From      time.Duration
	PerSecond float64
}

// Arrivals returns the times of Poisson arrivals, as offsets from the start, that are drawn
// from seed at the given rates. The rates must be sorted by From. The last arrival is the
// first one at or after end.
func Arrivals(seed uint64, end time.Duration, rates ...Rate) []time.Duration {
	rng := rand.New(rand.NewPCG(seed, seed))
	var out []time.Duration
	at := time.Duration(0)
	for at < end {
		rate := rates[0].PerSecond
		for _, r := range rates {
			if at >= r.From {
				rate = r.PerSecond
			}
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		out = append(out, at)
	}
	return out
}
