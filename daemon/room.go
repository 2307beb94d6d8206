package daemon

import (
	"sync"
	"time"

	"wigeondale/directory"
	"wigeondale/health"
	"wigeondale/routing"
)

const (
	// urgentShare is the part of the engines' places that lookups of one router
	// may always ask for, one in so many.
	urgentShare = 4
	// roomAge is how long a figure is used again. It follows from reports that
	// are older, and is asked for several times in each decision.
	roomAge = 10 * time.Millisecond
	// servedAge is the same for the numbers of routers and of a model's engines.
	servedAge = time.Second
)

// room is how much the backend servers of a pool can take from this router. It
// is asked under admission's lock, at each decision.
type room struct {
	dir       *directory.Directory
	mon       *health.Monitor
	accs      *accounts
	perEngine int // requests; 0 goes by what engines show
	reserve   int // per cent kept from new batch work

	routers func() int // that live, this one included

	mu    sync.Mutex
	known map[string]figures
	fleet map[string]served
}

// served is how many routers and engines serve a pool, as of some moment.
type served struct {
	at               time.Time
	routers, engines int
}

// figures are the answers for one pool, as of some moment.
type figures struct {
	at                 time.Time
	all, batch, urgent int
}

func (r *room) all(pool string) int    { return r.figures(pool).all }
func (r *room) batch(pool string) int  { return r.figures(pool).batch }
func (r *room) urgent(pool string) int { return r.figures(pool).urgent }

func (r *room) figures(pool string) figures {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.known[pool]; ok && now.Sub(f.at) < roomAge {
		return f
	}
	if r.known == nil {
		r.known = map[string]figures{}
	}
	f := r.compute(pool, now)
	r.known[pool] = f
	return f
}

func (r *room) compute(pool string, now time.Time) figures {
	f := figures{at: now}
	if name, ok := serviceOf(pool); ok {
		f.all = perService * len(r.dir.Service(name))
		f.batch = f.all
		return f
	}
	share := 1 - float64(r.reserve)/100
	per := float64(r.perEngine)
	places, engines := 0, 0
	for _, ref := range r.accs.refs(pool) {
		known := r.dir.Snapshot(ref)
		engines += len(known)
		up := r.usable(known)
		places += directory.Slots(up, per)
		if per > 0 {
			f.all += directory.Capacity(up, per, now)
			f.batch += directory.Capacity(up, per*share, now)
			continue
		}
		f.all += directory.LearnedCapacity(up, 1, now)
		f.batch += directory.LearnedCapacity(up, share, now)
	}
	fair := float64(places) / r.sharers(pool, engines, now)
	f.all = max(f.all, int(fair))
	f.batch = max(f.batch, int(fair*share))
	f.urgent = places / urgentShare
	return f
}

// sharers is by how many routers each engine is used. Each of them may fill
// its part whatever others have there.
//
// What goes wrong without it: at full load a router fills each place that it
// frees at once, while the others see it free only by a report. So whoever has
// many places keeps them, and callers are refused at one router while those of
// another, who came later, are served.
func (r *room) sharers(pool string, engines int, now time.Time) float64 {
	all, ok := r.fleet[pool]
	if !ok || now.Sub(all.at) > servedAge {
		all = served{now, r.routers(), 0}
		for _, ref := range r.accs.refs(pool) {
			all.engines += r.dir.Serving(ref)
		}
		if r.fleet == nil {
			r.fleet = map[string]served{}
		}
		r.fleet[pool] = all
	}
	if all.engines == 0 {
		return 1
	}
	return max(float64(all.routers*engines)/float64(all.engines), 1)
}

// usable leaves out engines that are down: their places would be filled at the
// others. With none left all count, so that requests go on and are told why
// there is no replica, instead of waiting for a place.
func (r *room) usable(engines []routing.Candidate) []routing.Candidate {
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
