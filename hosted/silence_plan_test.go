package hosted

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// silencePlan is what happens in a fleet.
type silencePlan struct {
	kind      string // of silent servers: server, rack, domain, all
	routers   int
	silent    []int // servers
	silences  []period
	crash     int // server that crashes, -1 for none
	crashAt   time.Duration
	second    []int // servers of a second software version
	tight     bool  // the retry budget
	leaving   bool  // some clients leave during a silence
	frozen    bool  // silent servers don't work
	earlyHead bool  // servers send the head of an answer before they work on it
}

func drawPlan(rng *rand.Rand, routers, servers int) silencePlan {
	p := silencePlan{routers: routers, crash: -1, tight: rng.IntN(5) < 2, leaving: rng.IntN(3) == 0, earlyHead: rng.IntN(2) == 0, frozen: rng.IntN(4) == 0}
	first := rng.IntN(servers)
	inDomain := func(n int) (of []int) {
		for i := first; len(of) < n; i = (i + modelDomains) % servers {
			of = append(of, i)
		}
		return of
	}
	switch n := rng.IntN(20); {
	case n < 3:
		p.kind, p.silent = "server", inDomain(1)
	case n < 6:
		p.kind, p.silent = "rack", inDomain(2+rng.IntN(2))
	case n < 16:
		p.kind, p.silent = "domain", inDomain(servers/modelDomains)
	default:
		p.kind, p.silent = "all", rng.Perm(servers)
	}
	from := modelCalm
	for range 1 + rng.IntN(10)/7 {
		to := from + drawDuration(rng, 200*time.Millisecond, 3*time.Second)
		p.silences = append(p.silences, period{from, to})
		from = to + drawDuration(rng, 50*time.Millisecond, 800*time.Millisecond)
	}
	if other := rng.IntN(servers); rng.IntN(4) == 0 && !slices.Contains(p.silent, other) {
		p.crash, p.crashAt = other, modelCalm+drawDuration(rng, -200*time.Millisecond, time.Second)
	}
	if rng.IntN(4) == 0 {
		p.second = rng.Perm(servers)[:2+rng.IntN(3)]
	}
	return p
}

func (p *silencePlan) String() string {
	s := fmt.Sprintf("%d routers; silent: %s %v", p.routers, p.kind, p.silent)
	for _, one := range p.silences {
		s += fmt.Sprintf(" %v to %v", one.from, one.to)
	}
	if p.crash >= 0 {
		s += fmt.Sprintf("; server %d crashes at %v", p.crash, p.crashAt)
	}
	return s + fmt.Sprintf("; second version %v, tight budget %v, early head %v, frozen %v", p.second, p.tight, p.earlyHead, p.frozen)
}

func drawDuration(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

func (p *silencePlan) end() time.Duration { return p.silences[len(p.silences)-1].to }
