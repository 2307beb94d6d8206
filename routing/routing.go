// Package routing chooses a backend server for one attempt: filters take away
// those that must not get it, scorers rate the rest, a picker chooses. Each
// step is a small pure type; the settings name the steps and their weights.
//
// Failure story: load reports lag, so that all routers see the same idle
// engine and send to it together. The picker therefore compares a few chosen
// at random instead of taking the best. A lost failure domain leaves hundreds
// of streams to resume at the same moment; they are spread by their own scorer
// and not drawn together by a common prefix.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
	"wigeondale/health"
)

// Error is the class of this package's errors.
var Error = errs.Class("routing")

// Live gives the figures of a candidate that change with every request. Its
// methods are called at the moment of choice and must be cheap.
type Live interface {
	// Load is the estimated number of requests running and waiting.
	Load(now time.Time) float64
	// Leaving tells that it takes no new work.
	Leaving() bool
	// Hits counts the leading blocks that its cache is known to hold.
	Hits(blocks []uint64, now time.Time) int
}

// Candidate is one backend server in a snapshot.
type Candidate struct {
	Backend     fleet.Backend
	Incarnation string
	Role        string // "both", "prefill" or "decode"
	Serves      []fleet.ModelRef
	State       health.State
	// Live, when set, overrides the three figures below.
	Live       Live
	EstLoad    float64
	Leaving    bool
	PrefixHits int
}

func (c *Candidate) load(now time.Time) float64 {
	if c.Live == nil {
		return c.EstLoad
	}
	return c.Live.Load(now)
}

func (c *Candidate) leaving() bool {
	if c.Live == nil {
		return c.Leaving || c.Backend.Leaving
	}
	return c.Live.Leaving()
}

func (c *Candidate) hits(blocks []uint64, now time.Time) int {
	if c.Live == nil {
		return c.PrefixHits
	}
	return c.Live.Hits(blocks, now)
}

// PickRequest describes the attempt to place.
type PickRequest struct {
	Ref           fleet.ModelRef // zero for plain services
	Priority      fleet.Priority
	Blocks        []uint64 // leading blocks of the prompt, see fleet.PrefixBlocks
	Exclude       map[string]bool
	FailureDomain string // of this router
	OtherDomain   string // FilterOtherDomain keeps to domains other than this one; empty for any
	PromptBytes   int
	// PromptTokens of the prompt that are to be read, and Holds how many the run takes in
	// memory at its end. Capacity is how many an engine of the service holds; 0 when
	// that isn't known.
	PromptTokens, MemoryTokens, Capacity int
	// Backlog bounds the tokens that are yet to be read at an engine, this prompt's
	// among them; 0 for no bound.
	Backlog float64
	Resume  bool
	Request uint64 // hash of the request id, spreads resumes
	Now     time.Time
	// FleetKnown tells that the directory has heard from the fleet: then an
	// empty snapshot means that nobody serves Ref, and not that we just started.
	FleetKnown bool
	// Usable is health.Monitor.Usable: asked for all candidates at once, since
	// the bound on ejection is a share of the set. Nil goes by Candidate.State.
	Usable func(ids []string) []bool
	// Healthy tells whether a backend server is not under any suspicion; it is
	// asked by FilterHealthy.
	Healthy func(id string) bool
}

// Removed counts what one filter took away.
type Removed struct {
	Filter string
	Count  int
}

// Trace says how a choice was made, for dumps, tests and errors.
type Trace struct {
	Considered int
	Left       int
	Removed    []Removed
	Score      float64
}

// Router applies the configured steps. Pick may be called concurrently.
type Router struct {
	filters []Filter
	scorers []weighted
	picker  Picker
	mu      sync.Mutex // guards rng
	rng     *rand.Rand
	pool    sync.Pool
}

// scratch holds the buffers of one Pick, reused to keep it free of garbage.
type scratch struct {
	left     []int32
	ids      []string
	loads    []float64
	score    []float64
	part     []float64
	affinity []float64
}

func resize(s []float64, n int) []float64 {
	if cap(s) < n {
		return make([]float64, n)
	}
	s = s[:n]
	clear(s)
	return s
}

// Pick chooses among the snapshot. When nothing is left, the error is a
// *NoCandidate. The snapshot is only read.
func (r *Router) Pick(snapshot []Candidate, ask PickRequest) (Candidate, Trace, error) {
	sc := r.pool.Get().(*scratch)
	defer r.pool.Put(sc)
	trace := Trace{Considered: len(snapshot)}
	if last := r.filter(snapshot, &ask, sc, &trace); len(sc.left) == 0 {
		return Candidate{}, trace, noCandidate(last, &trace, &ask)
	}
	trace.Left = len(sc.left)
	r.rate(snapshot, &ask, sc)
	r.mu.Lock()
	chosen := r.picker.Choose(sc.score, sc.affinity, r.rng)
	r.mu.Unlock()
	trace.Score = sc.score[chosen]
	return snapshot[sc.left[chosen]], trace, nil
}

// filter leaves in sc those that all filters keep, and returns the name of the last filter
// that was applied.
func (r *Router) filter(snapshot []Candidate, ask *PickRequest, sc *scratch, trace *Trace) (last string) {
	sc.left = sc.left[:0]
	for i := range snapshot {
		sc.left = append(sc.left, int32(i))
	}
	for _, f := range r.filters {
		before := len(sc.left)
		sc.left = f.Keep(snapshot, sc.left, ask, sc)
		last = f.Name()
		if n := before - len(sc.left); n > 0 {
			trace.Removed = append(trace.Removed, Removed{last, n})
		}
		if len(sc.left) == 0 {
			break
		}
	}
	return last
}

// Draw returns up to n of those that the filters keep, at random and without rating them:
// those of which more is to be learnt before one is chosen.
func (r *Router) Draw(snapshot []Candidate, ask PickRequest, n int) []Candidate {
	sc := r.pool.Get().(*scratch)
	defer r.pool.Put(sc)
	var trace Trace
	r.filter(snapshot, &ask, sc, &trace)
	n = min(n, len(sc.left))
	out := make([]Candidate, 0, n)
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range n {
		other := k + r.rng.IntN(len(sc.left)-k)
		sc.left[k], sc.left[other] = sc.left[other], sc.left[k]
		out = append(out, snapshot[sc.left[k]])
	}
	return out
}

// rate fills the weighted scores. Scores that express affinity to one
// candidate are also summed apart: the picker must be able to find that
// candidate, which two random draws out of many would miss.
func (r *Router) rate(snapshot []Candidate, ask *PickRequest, sc *scratch) {
	n := len(sc.left)
	sc.loads = resize(sc.loads, n)
	sc.score = resize(sc.score, n)
	sc.affinity = resize(sc.affinity, n)
	for k, i := range sc.left {
		sc.loads[k] = snapshot[i].load(ask.Now)
	}
	for _, w := range r.scorers {
		sc.part = resize(sc.part, n)
		w.scorer.Score(View{snapshot, sc.left, sc.loads, ask}, sc.part)
		for k, p := range sc.part {
			sc.score[k] += w.weight * p
			if w.affinity {
				sc.affinity[k] += w.weight * p
			}
		}
	}
}
