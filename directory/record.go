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
	// milli is the number of fixed-point units in one request or token. Loads are
	// counted in these units so that additions and subtractions cancel out exactly.
	milli = 1000
	// The other routers' load in a report counts less the older the report is. The factor
	// falls from 1 for a new report to fadeFloor for a report of the age fadeTime or more.
	// An old load is less reliable, but an engine must not look idle only because its
	// reports stopped.
	fadeTime  = 10 * time.Second
	fadeFloor = 0.5
	// maxMarks is how many leaving incarnations are remembered for each backend server.
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
	peersSendLoads   *atomic.Bool // set if other routers send their loads
	// observed stores what the engine's last report of its state showed. It is nil
	// before the first report.
	observed atomic.Pointer[observation]

	mu            sync.Mutex
	backend       *fleet.Backend // never changed, only replaced: candidates share it
	last          fleet.LoadReport
	reportedAt    time.Time // when the last report arrived, zero if none did
	listedAt      time.Time // time of the last reading of the VM list that included it
	recentChanges timeline
	recentStarts  []recentStart // requests started recently by this router
	batch         batchSize
	marks         []string // incarnations known to be leaving
	intent        bool
	withdrawn     bool // see Directory.Withdraw
}

func newRecord(b fleet.Backend, peersSendLoads *atomic.Bool) *record {
	r := &record{id: b.ID, backend: &b, peersSendLoads: peersSendLoads}
	// Leaving is left to applyListEntry, so that the first entry that shows the
	// backend server leaving also sets a mark.
	b.Leaving = false
	return r
}

// applyListEntry applies the VM list's entry; it returns true when the entry shows that
// the backend server is now leaving.
func (r *record) applyListEntry(b fleet.Backend, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Only the first entry that shows the backend server leaving marks the incarnation
	// known at that time. If each such entry did, a new incarnation that starts while
	// the list still lags would be marked for as long as it runs.
	if b.Leaving && !r.backend.Leaving {
		r.mark(r.last.Incarnation)
	}
	r.backend = &b
	r.listedAt = now
	r.withdrawn = false
	return r.updateLeaving()
}

// markListed records that the VM list included the backend server at the given time.
func (r *record) markListed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = now
}

// keepUnlisted reports whether a backend server missing from the VM list is kept: because
// it was last listed less than missingGrace ago, or because requests of this router are in
// progress there.
func (r *record) keepUnlisted(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.listedAt) < missingGrace || r.local.requests.Load() > 0
}

// applyReport applies a load report. changed reports whether the candidate made from
// the record differs from before, nowLeaving whether the backend server was not leaving
// before and is leaving now.
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
		// The mark "" was set before any incarnation was known; it applies to the
		// incarnation that this first report shows.
		r.mark(rep.Incarnation)
	}
	changed = !sameIncarnation || rep.Role != r.last.Role || rep.Software != r.last.Software || !slices.Equal(rep.Serves, r.last.Serves)
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

// reorderSpan is the maximum difference in time between two reports by which the older
// one still counts as having arrived out of order. It is far above the duration of a
// poll, and an engine's clock is seldom set back by less.
const reorderSpan = 2 * time.Second

// overtaken reports whether a report describes an earlier moment than the last one. A
// report of a much earlier moment comes from an engine whose clock was set back: if
// that report counted as overtaken, the engine's reports would be ignored until its
// clock caught up.
func overtaken(rep, last fleet.LoadReport) bool {
	by := time.Duration(last.AsOfUnixMS-rep.AsOfUnixMS) * time.Millisecond
	return by > 0 && by <= reorderSpan
}

// estimatePeerLoad derives the load of other routers from the reported load. The report
// includes this router's requests as they were when the report was made. That number is
// the current number of requests minus the net change since then, and it is subtracted
// from the reported load.
func (r *record) estimatePeerLoad(now time.Time) {
	asOf := r.last.AsOf()
	if asOf.After(now) || now.Sub(asOf) > timelineSpan {
		asOf = now // the engine's clock is wrong, or the report is older than the timeline
	}
	localNow := float64(r.local.requests.Load()) / milli
	localThen := localNow - r.recentChanges.changeSince(asOf)/milli
	total := float64(r.last.Running + r.last.Waiting)
	peers := max(total-max(localThen, 0), 0)
	r.reportedPeerLoad.Store(math.Float64bits(peers))
	r.asOf.Store(asOf.UnixMilli())
}

// Load estimates the number of requests that run and wait: this router's current load
// plus the load of other routers. If the other routers send their loads, Load uses these
// loads. Otherwise it derives the other routers' load from the engine's last report, and
// counts that load less the older the report is (fadeTime).
func (r *record) Load(now time.Time) float64 {
	local := float64(r.local.requests.Load()+r.local.extra.Load()) / milli
	if r.peersSendLoads.Load() {
		return local + float64(r.peers.requests.Load()+r.peers.extra.Load())/milli
	}
	peers := math.Float64frombits(r.reportedPeerLoad.Load())
	if peers == 0 {
		return local
	}
	age := float64(now.UnixMilli()-r.asOf.Load()) / float64(fadeTime.Milliseconds())
	fade := min(max(age, 0), 1) * (1 - fadeFloor)
	return local + peers*(1-fade)
}

// Reported returns the number of running and waiting requests in the last load report,
// without any correction.
func (r *record) Reported() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.last.Running + r.last.Waiting)
}

// Slots returns how many requests the backend server runs at once according to its
// reports, or 0 if its reports have not shown that number yet.
func (r *record) Slots() float64 { return math.Float64frombits(r.slots.Load()) }

// Leaving reports whether the backend server is leaving, so that no new work may be
// sent to it.
func (r *record) Leaving() bool { return r.leaving.Load() }

// Hits returns how many of the blocks, counted from the first without a gap, are known
// to be in the engine's prefix cache.
func (r *record) Hits(blocks []uint64, now time.Time) int { return r.cache.hits(blocks, now) }

// addLocal adds change, which may be negative, to the load of this router's requests.
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

// resizeLocal changes the memory of a request of this router. Unlike addLocal, it starts no request.
func (r *record) resizeLocal(change Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local.add(change)
}

// Reading is the estimated number of prompt tokens that the engine has yet to read.
func (r *record) Reading() float64 { return r.estimatedLoad().Reading }

// Running is the estimated number of runs that are generating tokens at the engine.
func (r *record) Running() float64 { return r.estimatedLoad().Running }

// Memory is the estimated number of tokens that take memory at the engine. A run counts
// with the size that it will have at its end. The copies of other engines' runs, which the
// engine keeps, count as well.
func (r *record) Memory() float64 { return r.estimatedLoad().Memory }

// Spread is the variance of Memory where that is an estimate. It is 0 where runs count with their
// stated maximum.
func (r *record) Spread() float64 { return r.estimatedLoad().Spread }

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
		Software:    r.last.Software,
		Live:        r,
	}
}
