package daemon

import (
	"sync"
	"time"

	"wigeondale/directory"
	"wigeondale/health"
	"wigeondale/routing"
)

const (
	// urgentDivisor sets how many interactive requests, and how many resumes, this router
	// may always run. Each of the two numbers is the number of slots of the engines divided
	// by urgentDivisor.
	urgentDivisor = 4
	// slotsMaxAge is how long computed figures are reused. The figures are read several
	// times in each decision, and reusing them hardly makes a decision less accurate, since
	// the load reports on which they are based are older than this.
	slotsMaxAge = 10 * time.Millisecond
	// poolSizeMaxAge is how long the numbers of routers and of a model's engines are reused.
	poolSizeMaxAge = time.Second
)

// slotCounter computes how many more requests the backend servers of a pool can take from this
// router. It is called under admission's lock, at each decision.
type slotCounter struct {
	dir       *directory.Directory
	mon       *health.Monitor
	accs      *accounts
	perEngine int // requests; 0 derives the limit from the engines' reports
	reserve   int // percent of the capacity that new batch work may not use

	routers func() int // number of live routers, including this one

	mu    sync.Mutex
	slots map[string]poolSlots
	sizes map[string]poolSize
}

// poolSize is the number of routers and of a pool's engines as counted at the time at.
type poolSize struct {
	at               time.Time
	routers, engines int
}

// poolSlots are the figures for one pool that admission.Config describes as Capacity (all),
// BatchCapacity (batch) and MinUrgentSlots (urgent), as computed at the time at.
type poolSlots struct {
	at                 time.Time
	all, batch, urgent int
}

func (r *slotCounter) all(pool string) int    { return r.slotsOf(pool).all }
func (r *slotCounter) batch(pool string) int  { return r.slotsOf(pool).batch }
func (r *slotCounter) urgent(pool string) int { return r.slotsOf(pool).urgent }

func (r *slotCounter) slotsOf(pool string) poolSlots {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.slots[pool]; ok && now.Sub(f.at) < slotsMaxAge {
		return f
	}
	if r.slots == nil {
		r.slots = map[string]poolSlots{}
	}
	f := r.compute(pool, now)
	r.slots[pool] = f
	return f
}

func (r *slotCounter) compute(pool string, now time.Time) poolSlots {
	f := poolSlots{at: now}
	if name, ok := serviceOf(pool); ok {
		f.all = maxCallsPerReplica * len(r.dir.Service(name))
		f.batch = f.all
		return f
	}
	share := 1 - float64(r.reserve)/100
	per := float64(r.perEngine)
	slots, engines := 0, 0
	for _, ref := range r.accs.refs(pool) {
		known := r.dir.Snapshot(ref)
		engines += len(known)
		up := r.usable(known)
		slots += directory.Slots(up, per)
		if per > 0 {
			f.all += directory.Capacity(up, per, now)
			f.batch += directory.Capacity(up, per*share, now)
			continue
		}
		f.all += directory.LearnedCapacity(up, 1, now)
		f.batch += directory.LearnedCapacity(up, share, now)
	}
	fair := float64(slots) / r.routersPerEngine(pool, engines, now)
	f.all = max(f.all, int(fair))
	f.batch = max(f.batch, int(fair*share))
	f.urgent = slots / urgentDivisor
	return f
}

// routersPerEngine returns the number of routers that share each engine. Each router may use its
// fair share of an engine's slots, no matter how many the others use.
//
// Without this, a router at full load refills each slot that it frees at once, while the
// other routers only see the free slot in a later load report. A router with many slots
// would keep them: callers of other routers would be refused while its own callers, which
// arrived later, are served.
func (r *slotCounter) routersPerEngine(pool string, engines int, now time.Time) float64 {
	all, ok := r.sizes[pool]
	if !ok || now.Sub(all.at) > poolSizeMaxAge {
		all = poolSize{now, r.routers(), 0}
		for _, ref := range r.accs.refs(pool) {
			all.engines += r.dir.Serving(ref)
		}
		if r.sizes == nil {
			r.sizes = map[string]poolSize{}
		}
		r.sizes[pool] = all
	}
	if all.engines == 0 {
		return 1
	}
	return max(float64(all.routers*engines)/float64(all.engines), 1)
}

// usable returns the engines that are not down. Slots of an engine that is down must not be
// counted, since requests for these slots would go to the remaining engines. Exception: if
// all engines are down, usable returns all of them, so that requests proceed and fail with
// the reason why there is no replica, instead of waiting for a slot.
func (r *slotCounter) usable(engines []routing.Candidate) []routing.Candidate {
	var up []routing.Candidate
	for _, c := range engines {
		if r.mon.State(c.Backend.ID) != health.Down {
			up = append(up, c)
		}
	}
	if len(up) == 0 {
		return engines
	}
	return up
}
