package retrybudget

import "time"

// Load: of 985 routers, a third is dead or cut off during a crash of failure domains, or runs the
// previous release, which doesn't know the call. A retry has 100 ms, so the routers that can't lend
// must not be asked again and again.

const (
	// restUnknown is how long a router isn't asked that doesn't know the call. It is replaced by
	// one that does within minutes, during a roll-out of the routers.
	restUnknown = time.Minute
	// restSilent is how long a router isn't asked that didn't reply in time.
	restSilent = 2 * time.Second
	// restSpent is how long a router isn't asked that lent less than it was asked for.
	restSpent = time.Second
)

// Answer is what became of a request for a loan.
type Answer int

// Answers.
const (
	Lent     Answer = iota // as much as was asked
	LentPart               // less than was asked, or nothing
	Silent                 // no reply in time
	Unknown                // the router doesn't know the call
)

// Lenders chooses the routers to ask. It isn't safe for concurrent use.
type Lenders struct {
	rests map[string]time.Duration // until when a router isn't asked
}

// Record records what became of a request to a router.
func (l *Lenders) Record(now time.Duration, router string, a Answer) {
	rest := map[Answer]time.Duration{LentPart: restSpent, Silent: restSilent, Unknown: restUnknown}[a]
	if rest == 0 {
		return
	}
	if l.rests == nil {
		l.rests = map[string]time.Duration{}
	}
	l.rests[router] = now + rest
}

// Candidates returns those of the routers that may be asked now. It forgets the rests that are over.
func (l *Lenders) Candidates(now time.Duration, routers []string) []string {
	out := make([]string, 0, len(routers))
	for router, until := range l.rests {
		if until <= now {
			delete(l.rests, router)
		}
	}
	for _, r := range routers {
		if _, rests := l.rests[r]; !rests {
			out = append(out, r)
		}
	}
	return out
}

// Sample returns n of the candidates at random, in their place. intN returns a random number below
// its argument.
func Sample(candidates []string, n int, intN func(int) int) []string {
	n = min(n, len(candidates))
	for i := range n {
		j := i + intN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:n]
}
