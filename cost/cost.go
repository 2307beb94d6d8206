// Package cost estimates how long the answer to a request will be, from the answers that have ended.
//
// A request states its prompt and the maximum of its answer. Most answers are far shorter, so a
// router that reserves the maximum leaves memory of the engines unused and makes requests wait, and
// a router that reserves less without a spread lets engines run out of memory in the middle of
// their runs. This package gives the distribution of the length: its mean and variance are what a
// sum over the runs of an engine needs.
//
// The load for which it is made: 0.5 answers a second at each of 66 routers, from 24 client
// accounts, up to hundreds of answers a second from 5,600. The state is that of one router, in
// memory, and bounded.
package cost

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNodes bounds the histograms: client accounts on routes, routes, priorities and services.
	maxNodes = 1024
	// nodeTTL is how long a node is kept without an observation: its weight is then below 1%.
	nodeTTL = 5 * fade
	// shrink is the number of observations at which a node counts as much as the more general one.
	shrink = 6
	// minObservations is the weight of the observations of a service below which the stated
	// maximum is used.
	minObservations = 8
	// MaxLength is the largest length in tokens that is distinguished.
	MaxLength = 1 << octaves
)

// The predictors of a length: from lengths alone, from the ratio of the length to the client's hint,
// and from its ratio to the stated maximum.
const (
	byLength = iota
	byHint
	byMaximum
	predictors
)

// Request is what is known of a request before it runs.
type Request struct {
	Service, Route, Account string
	Priority                int
	Hint                    int // the client's estimate of the tokens of the answer; 0 if not stated
	Maximum                 int // maximum number of tokens of the answer
}

// reference returns the value to which a predictor relates lengths, and false if the request doesn't
// state it.
func (q *Request) reference(predictor int) (float64, bool) {
	switch predictor {
	case byHint:
		return float64(min(q.Hint, MaxLength)), q.Hint > 0
	case byMaximum:
		return float64(min(q.Maximum, MaxLength)), q.Maximum > 0
	}
	return 1, true
}

// node is what was observed of one set of requests.
type node struct {
	histograms [predictors]histogram
	// ratings compare the predictors with byLength, and finer compares the nodes below this one with it.
	ratings   [predictors]rating
	finer     rating
	usualLoss float64 // fading mean of the loss of byLength
	reached   float64 // fading share of answers that reached their maximum
	maximum   float64 // fading mean of the stated maxima
}

// Estimator learns lengths. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	nodes map[uint64]*node
	stats Stats
}

// New returns an Estimator that has seen nothing.
func New() *Estimator { return &Estimator{nodes: map[uint64]*node{}} }

// Keys of nodes are hashes, so that long names take no memory.
func key(kind, service, name, account string) uint64 {
	return xxhash.Sum64String(kind + "\x00" + service + "\x00" + name + "\x00" + account)
}

// keys returns the keys of the nodes of a request, the most general one first.
func (q *Request) keys() []uint64 {
	out := []uint64{key("service", q.Service, "", ""), key("route", q.Service, q.Route, "")}
	if q.Account != "" {
		out = append(out, key("account", q.Service, q.Route, q.Account))
	}
	return out
}

func priorityKey(service string, priority int) uint64 {
	return key("priority", service, string(rune('0'+min(max(priority, 0), 9))), "")
}

// chain returns the known nodes of the keys.
func (e *Estimator) chain(keys ...uint64) []*node {
	var out []*node
	for _, k := range keys {
		if n := e.nodes[k]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// Estimate returns the distribution of the answer's length. ok is false if too little is known of
// the service; the stated maximum is then the only bound.
func (e *Estimator) Estimate(q Request, now time.Time) (d Distribution, ok bool) {
	if q.Maximum <= 0 {
		return d, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate(&q, now)
}

func (e *Estimator) estimate(q *Request, now time.Time) (d Distribution, ok bool) {
	nodes := e.chain(q.keys()...)
	if !known(nodes, now) {
		return d, false
	}
	mixed := &masses{}
	weights := predictorWeights(nodes, q)
	for p, w := range weights {
		if w < 1e-3 {
			continue
		}
		one := predict(nodes, p, q, now)
		for i, v := range one.cell {
			mixed.cell[i] += w * v
		}
		mixed.rest += w * one.rest
	}
	return newDistribution(mixed, float64(q.Maximum), nodes[0].reached), true
}

func known(nodes []*node, now time.Time) bool {
	return len(nodes) > 0 && nodes[0].histograms[byLength].weightAt(now) >= minObservations
}

// predict returns the distribution of lengths by one predictor: that of the most special node, as far
// as it has observations, and for the rest that of the more general ones.
func predict(nodes []*node, predictor int, q *Request, now time.Time) *masses {
	ref, _ := q.reference(predictor)
	own := &masses{}
	left := 1.0
	for i := len(nodes) - 1; i >= 0; i-- {
		h := &nodes[i].histograms[predictor]
		weight := h.weightAt(now)
		share := left * weight / (weight + shrink)
		if i > 0 {
			share *= nodes[i-1].trust()
		}
		if i == 0 && weight > 0 {
			share = left
		}
		if share > 0 {
			h.addTo(own, share)
		}
		left -= share
	}
	own.rest += max(left, 0)
	if predictor == byLength {
		return own
	}
	out := &masses{}
	own.shifted(out, ref)
	return out
}

// RestOf returns the distribution of the lengths of a service's answers of a priority, for a run of which
// nothing else is known.
func (e *Estimator) RestOf(service string, priority int, now time.Time) (d Distribution, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	nodes := e.chain(key("service", service, "", ""), priorityKey(service, priority))
	if !known(nodes, now) {
		return d, false
	}
	m := predict(nodes, byLength, &Request{}, now)
	return newDistribution(m, max(nodes[len(nodes)-1].maximum, 1), nodes[0].reached), true
}
