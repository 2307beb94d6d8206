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
	// fadeTime is the age of a report at which the other routers' load in it counts for
	// only fadeFloor: an old load is less reliable, but an engine must not look idle
	// only because its reports stopped.
	fadeTime  = 10 * time.Second
	fadeFloor = 0.5
	// maxMarks is how many leaving incarnations are remembered.
	maxMarks = 4
)

// record is one backend server. It implements routing.Live for the candidates made from it.
type record struct {
	id               string
	local            loadCounter   // load of this router's requests
	peers            loadCounter   // load of other routers' requests, as they send it
	reportedPeerLoad atomic.Uint64 // load of other routers at the time of the report, float64 bits
	asOf             atomic.Int64  // time of the report, Unix milliseconds
	slots            atomic.Uint64 // batch.learned, float64 bits
	leaving          atomic.Bool
	cache            cacheMap
	peersSendLoads   *atomic.Bool // other routers send their loads
	// observed is the engine's last report of its state, nil before the first.
	observed atomic.Pointer[observation]

	mu            sync.Mutex
	backend       fleet.Backend
	last          fleet.LoadReport
	reportedAt    time.Time // when the last report arrived, zero if none did
	listedAt      time.Time // last time on the VM list
	recentChanges timeline
	recentStarts  []recentStart // requests started recently by this router
	batch         batchSize
	marks         []string // incarnations known to be leaving
	intent        bool
}

func newRecord(b fleet.Backend, peersSendLoads *atomic.Bool) *record {
	r := &record{id: b.ID, backend: b, peersSendLoads: peersSendLoads}
	r.backend.Leaving = false // applyListEntry sets it
	return r
}

// applyListEntry applies the VM list's entry; it returns true when the entry shows that
// the backend server is now leaving.
func (r *record) applyListEntry(b fleet.Backend, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Only the first entry that shows it marks the incarnation known at that time: a
	// new incarnation that starts while the list still lags must not stay marked for as
	// long as it runs.
	if b.Leaving && !r.backend.Leaving {
		r.mark(r.last.Incarnation)
	}
	r.backend = b
	r.listedAt = now
	return r.updateLeaving()
}

// keepUnlisted reports whether a backend server missing from the VM list is kept.
func (r *record) keepUnlisted(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.listedAt) < missingGrace || r.local.requests.Load() > 0
}

// applyReport applies a load report. changed reports that the candidate differs,
// nowLeaving that the backend server is now leaving.
func (r *record) applyReport(rep fleet.LoadReport, now time.Time) (changed, nowLeaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sameIncarnation := r.last.Incarnation == rep.Incarnation
	if rep.Leaving {
		r.mark(rep.Incarnation)
	}
	if sameIncarnation && overtaken(rep, r.last) {
		return false, r.updateLeaving()
	}
	if !sameIncarnation && r.last.Incarnation == "" && slices.Contains(r.marks, "") {
		// The mark was set before the incarnation was known; it applies to this one.
		r.mark(rep.Incarnation)
	}
	changed = r.reportedAt.IsZero() || !sameIncarnation || rep.Role != r.last.Role || !slices.Equal(rep.Serves, r.last.Serves)
	if !sameIncarnation {
		r.batch.restart()
	}
	r.batch.observe(rep, now)
	r.slots.Store(math.Float64bits(r.batch.learned))
	r.last = rep
	r.reportedAt = now
	r.estimatePeerLoad(now)
	return changed, r.updateLeaving()
}

// reorderSpan is how much later than a newer report a report may arrive. It is far
// above the duration of a poll; an engine's clock is seldom set back by less.
const reorderSpan = 2 * time.Second

// overtaken reports whether a report describes an earlier moment than the last one. A
// much earlier one comes from an engine whose clock was set back: if it counted as
// overtaken, the engine's reports would be ignored until its clock caught up.
func overtaken(rep, last fleet.LoadReport) bool {
	by := time.Duration(last.AsOfUnixMS-rep.AsOfUnixMS) * time.Millisecond
	return by > 0 && by <= reorderSpan
}

// estimatePeerLoad splits the reported load into this router's and other routers'. The
// report includes this router's requests as they were at its time, so requests started
// and ended since are subtracted from the current ones.
func (r *record) estimatePeerLoad(now time.Time) {
	asOf := r.last.AsOf()
	if asOf.After(now) || now.Sub(asOf) > timelineSpan {
		asOf = now // the engine's clock is off, or the report is too old to use
	}
	localNow := float64(r.local.requests.Load()) / milli
	localThen := localNow - r.recentChanges.changeSince(asOf)/milli
	total := float64(r.last.Running + r.last.Waiting)
	peers := max(total-max(localThen, 0), 0)
	r.reportedPeerLoad.Store(math.Float64bits(peers))
	r.asOf.Store(asOf.UnixMilli())
}

// Load estimates the requests running and waiting: the load of other routers by the
// last report, faded by its age, plus this router's current load.
func (r *record) Load(now time.Time) float64 {
	local := float64(r.local.requests.Load()) / milli
	if r.peersSendLoads.Load() {
		return local + float64(r.peers.requests.Load())/milli
	}
	peers := math.Float64frombits(r.reportedPeerLoad.Load())
	if peers == 0 {
		return local
	}
	age := float64(now.UnixMilli()-r.asOf.Load()) / float64(fadeTime.Milliseconds())
	fade := min(max(age, 0), 1) * (1 - fadeFloor)
	return local + peers*(1-fade)
}

// Reported is the load by the last report alone.
func (r *record) Reported() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.last.Running + r.last.Waiting)
}

// Slots is how many requests the backend server runs at once, as far as its reports
// showed it; 0 when they did not.
func (r *record) Slots() float64 { return math.Float64frombits(r.slots.Load()) }

// Leaving reports that no new work may be sent there.
func (r *record) Leaving() bool { return r.leaving.Load() }

// Hits counts the leading blocks known to be in the cache.
func (r *record) Hits(blocks []uint64, now time.Time) int { return r.cache.hits(blocks, now) }

// addLocal changes the load of this router's requests.
func (r *record) addLocal(change Load) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local.add(change)
	if change.Memory > 0 {
		r.rememberStart(change, now)
	}
	if units := int64(change.Requests * milli); units != 0 {
		r.recentChanges.add(now, units)
	}
}

// Reading is the estimated number of prompt tokens that are yet to be read.
func (r *record) Reading() float64 { return r.estimatedLoad().Reading }

// Running is the number of runs that are generating tokens.
func (r *record) Running() float64 { return r.estimatedLoad().Running }

// Memory is the number of tokens that runs, at their ends, and copies take in memory.
func (r *record) Memory() float64 { return r.estimatedLoad().Memory }

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
