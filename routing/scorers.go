package routing

import (
	"github.com/cespare/xxhash/v2"
)

// View is what a scorer sees: the candidates left, with their loads.
type View struct {
	all   []Candidate
	left  []int32
	loads []float64
	ask   *PickRequest
}

func (v *View) at(k int) *Candidate { return &v.all[v.left[k]] }

func (v *View) meanLoad() float64 {
	var sum float64
	for _, l := range v.loads {
		sum += l
	}
	return sum / float64(len(v.loads))
}

// Scorer rates each candidate from 0 (worst) to 1 (best) into out.
type Scorer interface {
	Score(v View, out []float64)
}

// Names of the scorers.
const (
	ScoreLoad       = "load"
	ScoreReported   = "load-reported"
	ScorePrefix     = "prefix-reported"
	ScoreRendezvous = "prefix-rendezvous"
	ScoreDomain     = "failure-domain"
	ScoreSpread     = "resume-spread"
	ScoreSlots      = "free-places"
)

// loadSlack is how many requests a load is compared with: a continuous batch
// takes one more of them at little cost, so that on an idle fleet one request
// must not outweigh a cached prefix.
const loadSlack = 4

// loadScorer prefers the least loaded, by ratio.
type loadScorer struct{}

func (loadScorer) Score(v View, out []float64) {
	least := v.loads[0]
	for _, l := range v.loads {
		least = min(least, l)
	}
	for k, l := range v.loads {
		out[k] = (least + loadSlack) / (l + loadSlack)
	}
}

// Reporter is a Live that also knows what the last report alone said.
type Reporter interface {
	// Reported is the number of requests running and waiting by the last report.
	Reported() float64
}

// reportedScorer goes by the last report alone, whatever was sent since. It
// serves as a baseline.
type reportedScorer struct{}

func (reportedScorer) Score(v View, out []float64) {
	for k := range out {
		load := v.loads[k]
		if r, ok := v.at(k).Live.(Reporter); ok {
			load = r.Reported()
		}
		out[k] = loadSlack / (load + loadSlack)
	}
}

// boundedLoad is how far above the mean a candidate's load may lie while
// prefix affinity still draws work to it. Without a bound one popular prefix
// would overload one engine while others idle.
const boundedLoad = 1.25

func overloaded(load, mean float64) bool { return load > boundedLoad*mean+1 }

// SlotCounter is a Live that knows how many requests its backend server runs at once.
type SlotCounter interface {
	// Slots is that number as far as reports showed it, 0 when unknown.
	Slots() float64
}

func (v *View) places(k int) float64 {
	p, ok := v.at(k).Live.(SlotCounter)
	if !ok {
		return 0
	}
	return p.Slots()
}

// fullShare is the part of its places above which a backend server is taken to
// be full: what other routers sent there shows only in the next report.
const fullShare = 0.9

// full tells that a candidate is known to have no free place. Then no prefix
// draws work to it.
//
// What goes wrong without it: near full load the loads of two engines differ by
// little, and the prefix outweighs that. Work waits at one engine for a long
// draft to end, to spare some milliseconds of prefill, while others have places
// free.
func (v *View) full(k int) bool {
	places := v.places(k)
	return places > 0 && v.loads[k] >= fullShare*places
}

// prefixScorer prefers the cache that is known to hold most of the prompt.
type prefixScorer struct{}

func (prefixScorer) Score(v View, out []float64) {
	if len(v.ask.Blocks) == 0 {
		return
	}
	mean := v.meanLoad()
	total := float64(len(v.ask.Blocks))
	for k := range out {
		if overloaded(v.loads[k], mean) || v.full(k) {
			continue
		}
		out[k] = float64(v.at(k).hits(v.ask.Blocks, v.ask.Now)) / total
	}
}

// leadingBlocks is how many blocks of a prompt decide its rendezvous: prompts
// that share so much come to the same engine.
const leadingBlocks = 2

// rendezvousScorer sends equal prefixes to equal engines without any report:
// the highest hash gets 1, the next 0.5. Overloaded ones pass to the next.
type rendezvousScorer struct{}

func (rendezvousScorer) Score(v View, out []float64) {
	// Resumed streams of one popular prefix would all meet on one engine.
	if len(v.ask.Blocks) == 0 || v.ask.Resume {
		return
	}
	key := v.ask.Blocks[min(leadingBlocks, len(v.ask.Blocks))-1]
	mean := v.meanLoad()
	best, next := -1, -1
	var bestHash, nextHash uint64
	for k := range out {
		if overloaded(v.loads[k], mean) || v.full(k) {
			continue
		}
		h := Rendezvous(key, v.at(k).Backend.ID)
		switch {
		case best < 0 || h > bestHash:
			next, nextHash = best, bestHash
			best, bestHash = k, h
		case next < 0 || h > nextHash:
			next, nextHash = k, h
		}
	}
	if best >= 0 {
		out[best] = 1
	}
	if next >= 0 {
		out[next] = 0.5
	}
}

// Rendezvous is the weight of a member for a key, for highest-random-weight
// hashing.
func Rendezvous(key uint64, id string) uint64 {
	// The finalizer of SplitMix64 mixes the two without another pass over id.
	x := xxhash.Sum64String(id) ^ key
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// domainScorer prefers the router's own failure domain.
type domainScorer struct{}

func (domainScorer) Score(v View, out []float64) {
	for k := range out {
		if v.at(k).Backend.FailureDomain == v.ask.FailureDomain {
			out[k] = 1
		}
	}
}

// spreadScorer gives each resumed request its own order of the candidates, so
// that routers which resume together do not all choose the same idle engine.
type spreadScorer struct{}

func (spreadScorer) Score(v View, out []float64) {
	if !v.ask.Resume {
		return
	}
	for k := range out {
		h := Rendezvous(v.ask.Request, v.at(k).Backend.ID)
		out[k] = float64(h>>11) / (1 << 53)
	}
}

// placesScorer prefers a backend server that has a free place: 1, and less for
// each request that would wait there ahead of this one.
type placesScorer struct{}

func (placesScorer) Score(v View, out []float64) {
	for k := range out {
		out[k] = 1
		if places := v.places(k); places > 0 {
			queued := max(v.loads[k]+1-places, 0)
			out[k] = loadSlack / (queued + loadSlack)
		}
	}
}
