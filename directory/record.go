package directory

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/fleet"
	"wigeondale/routing"
)

const (
	// milli is the fixed-point unit of costs, so that they add up exactly.
	milli = 1000
	// fadeTime is the age at which what a report said of other routers' work is
	// down to fadeFloor of itself: old news of load is worth less, but an engine
	// must not look idle only because its reports stopped.
	fadeTime  = 10 * time.Second
	fadeFloor = 0.5
	// keptMarks is how many leaving incarnations are remembered.
	keptMarks = 4
)

// record is one backend server. It is the routing.Live of its candidates.
type record struct {
	id      string
	own     loadCounter   // what this router's requests take
	peers   loadCounter   // what other routers' requests take, as they tell
	others  atomic.Uint64 // load not ours at the report's time, float64 bits
	asOf    atomic.Int64  // time of the report, Unix milliseconds
	places  atomic.Uint64 // what batch knows, float64 bits
	leaving atomic.Bool
	cache   cacheMap
	told    *atomic.Bool // other routers tell what they have under way
	// observed is the engine's last report of its state, nil before the first.
	observed atomic.Pointer[observation]

	mu      sync.Mutex
	backend fleet.Backend
	last    fleet.LoadReport
	heard   time.Time // when the last report came, zero if none did
	seen    time.Time // last time on the VM list
	sent    timeline
	begun   []begun // of late, by this router
	batch   batchSize
	marks   []string // incarnations known to be leaving
	intent  bool
}

func newRecord(b fleet.Backend, told *atomic.Bool) *record {
	r := &record{id: b.ID, backend: b, told: told}
	r.backend.Leaving = false // listed takes note of it
	return r
}

// listed takes in the VM list's entry; it returns true when the backend server
// turns out to be leaving by it.
func (r *record) listed(b fleet.Backend, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Only the first word marks the incarnation known then: a new one that
	// starts while the list still lags must not be marked for its whole life.
	if b.Leaving && !r.backend.Leaving {
		r.mark(r.last.Incarnation)
	}
	r.backend = b
	r.seen = now
	return r.settleLeaving()
}

// keep tells whether a backend server missing from the VM list is kept.
func (r *record) keep(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.seen) < missingGrace || r.own.requests.Load() > 0
}

// report takes in a load report. changed tells that the candidate differs,
// left that the backend server turns out to be leaving.
func (r *record) report(rep fleet.LoadReport, now time.Time) (changed, left bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sameIncarnation := r.last.Incarnation == rep.Incarnation
	if rep.Leaving {
		r.mark(rep.Incarnation)
	}
	if sameIncarnation && overtaken(rep, r.last) {
		return false, r.settleLeaving()
	}
	if !sameIncarnation && r.last.Incarnation == "" && slices.Contains(r.marks, "") {
		// What was marked before its incarnation was known is this one.
		r.mark(rep.Incarnation)
	}
	changed = r.heard.IsZero() || !sameIncarnation || rep.Role != r.last.Role || !slices.Equal(rep.Serves, r.last.Serves)
	if !sameIncarnation {
		r.batch.restart()
	}
	r.batch.observe(rep, now)
	r.places.Store(math.Float64bits(r.batch.known))
	r.last = rep
	r.heard = now
	r.estimate(now)
	return changed, r.settleLeaving()
}

// reorderSpan is how much later than a newer one a report may come. It is far
// above the time of a poll; an engine's clock that is set is seldom so by less.
const reorderSpan = 2 * time.Second

// overtaken tells whether a report describes an earlier moment than the last one.
// One that is much earlier comes from an engine whose clock was set back. Taken for
// overtaken, its reports would not be heard until its clock is where it was.
func overtaken(rep, last fleet.LoadReport) bool {
	by := time.Duration(last.AsOfUnixMS-rep.AsOfUnixMS) * time.Millisecond
	return by > 0 && by <= reorderSpan
}

// estimate splits the reported load into ours and others'. The report knows of
// our requests only as they were at its time, so what we sent and finished
// since is taken off what we have under way now.
func (r *record) estimate(now time.Time) {
	asOf := r.last.AsOf()
	if asOf.After(now) || now.Sub(asOf) > timelineSpan {
		asOf = now // its clock is off or the report is too old to tell
	}
	oursNow := float64(r.own.requests.Load()) / milli
	oursThen := oursNow - r.sent.since(asOf)/milli
	total := float64(r.last.Running + r.last.Waiting)
	others := max(total-max(oursThen, 0), 0)
	r.others.Store(math.Float64bits(others))
	r.asOf.Store(asOf.UnixMilli())
}

// Load estimates the requests running and waiting: what others had there by
// the last report, faded by its age, and what we have there now.
func (r *record) Load(now time.Time) float64 {
	ours := float64(r.own.requests.Load()) / milli
	if r.told.Load() {
		return ours + float64(r.peers.requests.Load())/milli
	}
	others := math.Float64frombits(r.others.Load())
	if others == 0 {
		return ours
	}
	age := float64(now.UnixMilli()-r.asOf.Load()) / float64(fadeTime.Milliseconds())
	fade := min(max(age, 0), 1) * (1 - fadeFloor)
	return ours + others*(1-fade)
}

// Reported is the load by the last report alone.
func (r *record) Reported() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.last.Running + r.last.Waiting)
}

// Slots is how many requests it runs at once, as far as its reports showed
// that; 0 when they did not.
func (r *record) Slots() float64 { return math.Float64frombits(r.places.Load()) }

// Leaving tells that no new work may go there.
func (r *record) Leaving() bool { return r.leaving.Load() }

// Hits counts the leading blocks in the cache, as far as that is known.
func (r *record) Hits(blocks []uint64, now time.Time) int { return r.cache.hits(blocks, now) }

// count changes what this router has under way.
func (r *record) count(change Load) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.add(change)
	if change.Memory > 0 {
		r.remember(change, now)
	}
	if units := int64(change.Requests * milli); units != 0 {
		r.sent.add(now, units)
	}
}

// Reading is how many tokens of prompts are yet to be read, as far as is known.
func (r *record) Reading() float64 { return r.estimated().Reading }

// Running is how many runs make tokens.
func (r *record) Running() float64 { return r.estimated().Running }

// Memory is how many tokens runs and copies take in memory, at the end of the runs.
func (r *record) Memory() float64 { return r.estimated().Memory }

func (r *record) serves(ref fleet.ModelRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.last.Serves, ref)
}

func (r *record) currentIncarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last.Incarnation
}

func (r *record) candidate() routing.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return routing.Candidate{
		Backend:     r.backend,
		Incarnation: r.last.Incarnation,
		Role:        r.last.Role,
		Serves:      r.last.Serves,
		Live:        r,
	}
}
