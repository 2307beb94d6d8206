package retrybudget

import "time"

// Routers holds the number of routers that share a burst: the largest number that was known within
// a window. If a router dies, its retries still count for a window, so the others must not divide
// its part among themselves before.
type Routers struct {
	Window  time.Duration
	current int
	former  []former // larger numbers, in falling order
}

type former struct {
	count int
	until time.Duration // when it stops counting
}

// Update records the number that is known now, and returns the number that counts.
func (r *Routers) Update(now time.Duration, count int) int {
	if count < r.current {
		r.former = append(r.former, former{r.current, now + r.Window + Keep})
	}
	r.current = count
	return r.Last(now)
}

// Last returns the number that counts, going by the last update.
func (r *Routers) Last(now time.Duration) int {
	most, kept := r.current, r.former[:0]
	for _, f := range r.former {
		if f.until > now {
			kept = append(kept, f)
			most = max(most, f.count)
		}
	}
	if r.former = kept; len(kept) > maxFormer {
		r.former = mergeFormer(kept)
	}
	return most
}

// maxFormer bounds the memory if the number changes all the time.
const maxFormer = 32

// mergeFormer replaces several numbers by the largest of them, which counts until the last of them
// would have stopped counting.
func mergeFormer(all []former) []former {
	one := all[0]
	for _, f := range all {
		one = former{max(one.count, f.count), max(one.until, f.until)}
	}
	return append(all[:0], one)
}
