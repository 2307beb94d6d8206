package routing

import (
	"github.com/cespare/xxhash/v2"
)

// View is the input of a scorer: the remaining candidates with their loads.
type View struct {
	all   []Candidate
	left  []int32
	loads []float64
	req   *PickRequest
}

func (v *View) candidate(k int) *Candidate { return &v.all[v.left[k]] }

func (v *View) meanLoad() float64 {
	var sum float64
	for _, l := range v.loads {
		sum += l
	}
	return sum / float64(len(v.loads))
}

// Scorer rates each candidate from 0 (worst) to 1 (best) and stores the rating in out,
// whose values are 0 before the call.
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

// loadSlack is added to loads before they are compared. A continuous batch accepts loadSlack
// more requests at little cost, so on an idle fleet a difference of one request must not
// outweigh a cached prefix.
const loadSlack = 4

// loadScorer prefers the least loaded candidate, which gets 1. The other candidates get
// the ratio of the least load to their own load, each with loadSlack added.
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

// Reporter is implemented by a Live that also knows the load that the last report stated,
// without the requests that were sent since that report.
type Reporter interface {
	// Reported is the number of requests that were running and waiting according to the last
	// report.
	Reported() float64
}

// reportedScorer rates candidates by the last report alone and ignores the requests that
// were sent since that report. It serves as a baseline for comparison with other scorers.
type reportedScorer struct{}

func (reportedScorer) Score(v View, out []float64) {
	for k := range out {
		load := v.loads[k]
		if r, ok := v.candidate(k).Live.(Reporter); ok {
			load = r.Reported()
		}
		out[k] = loadSlack / (load + loadSlack)
	}
}

// boundedLoad is the factor by which a candidate's load may exceed the mean while prefix
// affinity still draws work to that candidate. Without a bound, one popular prefix would
// overload one engine while others are idle.
const boundedLoad = 1.25

func overloaded(load, mean float64) bool { return load > boundedLoad*mean+1 }

// SlotCounter is implemented by a Live that knows how many requests its backend server runs
// at once.
type SlotCounter interface {
	// Slots is the number of requests that the backend server runs at once, as shown by its
	// reports; 0 when unknown.
	Slots() float64
}

func (v *View) slots(k int) float64 {
	p, ok := v.candidate(k).Live.(SlotCounter)
	if !ok {
		return 0
	}
	return p.Slots()
}

// fullShare is the least share of a backend server's slots that must be in use for the backend
// server to count as full. The share is below 1 because requests that other routers sent to
// the backend server show only in the next report.
const fullShare = 0.9

// isFull reports whether a candidate counts as full: at least fullShare of its slots are in
// use. If the number of slots isn't known, isFull returns false. Prefix affinity draws no work
// to a full candidate.
//
// Without this check, near full load the loads of two engines differ by little, so a cached
// prefix outweighs the difference. Requests then wait at one engine for a long generation to
// end, to save some milliseconds of prefill, while other engines have free slots.
func (v *View) isFull(k int) bool {
	slots := v.slots(k)
	return slots > 0 && v.loads[k] >= fullShare*slots
}

// prefixScorer rates candidates by the share of the prompt's blocks that their cache is
// known to contain. Overloaded and full candidates get 0.
type prefixScorer struct{}

func (prefixScorer) Score(v View, out []float64) {
	if len(v.req.Blocks) == 0 {
		return
	}
	mean := v.meanLoad()
	total := float64(len(v.req.Blocks))
	for k := range out {
		if overloaded(v.loads[k], mean) || v.isFull(k) {
			continue
		}
		out[k] = float64(v.candidate(k).hits(v.req.Blocks, v.req.Now)) / total
	}
}

// leadingBlocks is how many blocks of a prompt determine its rendezvous key: prompts
// that have these blocks in common go to the same engine.
const leadingBlocks = 2

// rendezvousScorer sends requests with the same prompt prefix to the same engine without
// needing any report: the candidate with the highest rendezvous weight for the prefix gets
// 1, the next candidate 0.5. Overloaded and full candidates are skipped.
type rendezvousScorer struct{}

func (rendezvousScorer) Score(v View, out []float64) {
	// Resumed streams get no score here: otherwise all resumed streams with one popular prefix
	// would go to one engine.
	if len(v.req.Blocks) == 0 || v.req.Resume {
		return
	}
	key := v.req.Blocks[min(leadingBlocks, len(v.req.Blocks))-1]
	mean := v.meanLoad()
	best, next := -1, -1
	var bestHash, nextHash uint64
	for k := range out {
		if overloaded(v.loads[k], mean) || v.isFull(k) {
			continue
		}
		h := Rendezvous(key, v.candidate(k).Backend.ID)
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

// Rendezvous returns the weight of the member id for a key in rendezvous hashing: the
// member with the highest weight is chosen for the key.
func Rendezvous(key uint64, id string) uint64 {
	// The finalizer of SplitMix64 mixes the key and the id's hash without another pass over
	// id.
	x := xxhash.Sum64String(id) ^ key
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// domainScorer gives 1 to candidates in the router's own failure domain and 0 to all
// others.
type domainScorer struct{}

func (domainScorer) Score(v View, out []float64) {
	for k := range out {
		if v.candidate(k).Backend.FailureDomain == v.req.FailureDomain {
			out[k] = 1
		}
	}
}

// spreadScorer rates the candidates for a resumed request in an order that is different for
// each request, so that routers that resume requests at the same time don't all choose the
// same idle engine.
type spreadScorer struct{}

func (spreadScorer) Score(v View, out []float64) {
	if !v.req.Resume {
		return
	}
	for k := range out {
		h := Rendezvous(v.req.Request, v.candidate(k).Backend.ID)
		out[k] = float64(h>>11) / (1 << 53)
	}
}

// slotsScorer gives 1 to a backend server that has a free slot or whose number of slots is
// unknown, and less for each request that would wait there for a slot, including this
// request.
type slotsScorer struct{}

func (slotsScorer) Score(v View, out []float64) {
	for k := range out {
		out[k] = 1
		if slots := v.slots(k); slots > 0 {
			queued := max(v.loads[k]+1-slots, 0)
			out[k] = loadSlack / (queued + loadSlack)
		}
	}
}
