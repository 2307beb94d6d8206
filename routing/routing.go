// Package routing chooses a backend server for one attempt: filters remove candidates that
// must not get the attempt, scorers rate the remaining candidates, and a picker chooses
// one of these. Each step is a small pure type; the settings name the steps and their
// weights.
//
// Load reports lag, so all routers may see the same idle engine and send requests to it at
// the same time. The default picker therefore compares a few candidates drawn at random
// instead of taking the best of all. The loss of a failure domain makes hundreds of
// streams resume at the same moment; a separate scorer spreads these streams, and a prompt
// prefix that they have in common doesn't draw them to one engine.
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

// Live provides the figures of a candidate that change with every request. Its methods
// are called at the time of the choice and must be cheap.
type Live interface {
	// Load is the estimated number of requests running and waiting at the backend server.
	Load(now time.Time) float64
	// Leaving reports whether the backend server accepts no new work.
	Leaving() bool
	// Hits returns how many leading blocks of the prompt are known to be in the backend
	// server's cache.
	Hits(blocks []uint64, now time.Time) int
}

// Candidate is one backend server in a snapshot.
type Candidate struct {
	Backend     *fleet.Backend // shared by all lists, never changed
	Incarnation string
	Role        string // "both", "prefill" or "decode"
	Serves      []fleet.ModelRef
	Software    string // version of the engine's software; empty if not stated
	State       health.State
	// Live, when set, overrides the three fields below.
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

// PickRequest describes the attempt for which a backend server is chosen.
type PickRequest struct {
	Ref           fleet.ModelRef // zero for services that are not model engines
	Priority      fleet.Priority
	Blocks        []uint64 // leading blocks of the prompt, see fleet.PrefixBlocks
	Exclude       map[string]bool
	FailureDomain string // of this router
	OtherDomain   string // failure domain that FilterOtherDomain removes; empty for none
	PromptBytes   int
	// PromptTokens is the number of prompt tokens to be read. MemoryTokens is the number of
	// tokens that the run occupies in memory at its end. Capacity is the number of tokens that
	// an engine of the service can hold in memory. Each is 0 when it isn't known.
	PromptTokens, MemoryTokens, Capacity int
	// MemorySpread is the variance of MemoryTokens if that is an estimate, and 0 if it is a bound.
	MemorySpread float64
	// Backlog bounds the number of prompt tokens that an engine has yet to read, including
	// this prompt; 0 means no bound.
	Backlog float64
	Resume  bool
	Request uint64 // hash of the request id, used to spread resumed requests
	Now     time.Time
	// FleetKnown is true once the directory has received a report from any engine. From then
	// on, an empty snapshot means that no backend server serves Ref. Before, it may only mean
	// that this router has just started.
	FleetKnown bool
	// Usable is health.Monitor.Usable. It is called once for all candidates, since the bound
	// on ejected backend servers is a share of the whole set. If nil, Candidate.State decides.
	Usable func(ids []string) []bool
	// Healthy reports whether a backend server is under no suspicion. FilterHealthy calls it.
	// If nil, every backend server counts as healthy.
	Healthy func(id string) bool
	// Accepts reports whether a backend server takes a request of this router now.
	// FilterAccepting calls it. If nil, every backend server does.
	Accepts func(id string) bool
}

// Removed is the number of candidates that the filter of the given name removed.
type Removed struct {
	Filter string
	Count  int
}

// Trace describes how a choice was made, for dumps, tests and errors.
type Trace struct {
	Considered int
	Left       int
	Removed    []Removed
	Score      float64
}

// Router applies the configured filters, scorers and picker. Pick may be called
// concurrently.
type Router struct {
	filters []Filter
	scorers []weightedScorer
	picker  Picker
	mu      sync.Mutex // guards rng
	rng     *rand.Rand
	pool    sync.Pool
}

// scratch holds the buffers of one Pick. They are reused to avoid allocations.
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

// Pick chooses a candidate from the snapshot, which it only reads. When the filters leave no
// candidate, the error is a *NoCandidate.
func (r *Router) Pick(snapshot []Candidate, req PickRequest) (Candidate, Trace, error) {
	sc := r.pool.Get().(*scratch)
	defer r.pool.Put(sc)
	trace := Trace{Considered: len(snapshot)}
	if last := r.filter(snapshot, &req, sc, &trace); len(sc.left) == 0 {
		return Candidate{Backend: &fleet.Backend{}}, trace, noCandidate(last, &trace, &req)
	}
	trace.Left = len(sc.left)
	r.rate(snapshot, &req, sc)
	r.mu.Lock()
	chosen := r.picker.Choose(sc.score, sc.affinity, r.rng)
	r.mu.Unlock()
	trace.Score = sc.score[chosen]
	return snapshot[sc.left[chosen]], trace, nil
}

// filter stores the candidates that pass all filters in sc, and returns the name of the
// last filter applied.
func (r *Router) filter(snapshot []Candidate, req *PickRequest, sc *scratch, trace *Trace) (last string) {
	sc.left = sc.left[:0]
	for i := range snapshot {
		sc.left = append(sc.left, int32(i))
	}
	for _, f := range r.filters {
		before := len(sc.left)
		sc.left = f.Keep(snapshot, sc.left, req, sc)
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

// Draw returns up to n of the candidates that pass the filters, at random and without rating
// them. The caller queries the returned candidates for their state before it chooses one.
func (r *Router) Draw(snapshot []Candidate, req PickRequest, n int) []Candidate {
	sc := r.pool.Get().(*scratch)
	defer r.pool.Put(sc)
	var trace Trace
	r.filter(snapshot, &req, sc, &trace)
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

// rate stores the weighted scores in sc. Scores that express affinity to a candidate are also
// summed separately: the picker must be able to find the candidate with the highest affinity,
// which two random draws out of many candidates would miss.
func (r *Router) rate(snapshot []Candidate, req *PickRequest, sc *scratch) {
	n := len(sc.left)
	sc.loads = resize(sc.loads, n)
	sc.score = resize(sc.score, n)
	sc.affinity = resize(sc.affinity, n)
	for k, i := range sc.left {
		sc.loads[k] = snapshot[i].load(req.Now)
	}
	for _, w := range r.scorers {
		sc.part = resize(sc.part, n)
		w.scorer.Score(View{snapshot, sc.left, sc.loads, req}, sc.part)
		for k, p := range sc.part {
			sc.score[k] += w.weight * p
			if w.affinity {
				sc.affinity[k] += w.weight * p
			}
		}
	}
}
