// Package simulate plays whole fleets of routers against one backend server that limits its requests, on a
// simulated clock. It answers, for fleets of any size and several faults, how many requests arrive
// in any window and how much of the limit is used.
package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/fleet"
)

// The bound on what a limited backend server may get: in any Window at most factor times what the
// limit allows, plus slack requests. A router counts from Grace after its first answer that stated
// the limit.
const (
	Window = 4 * time.Second
	Grace  = 500 * time.Millisecond
	factor = 1.5
	slack  = 5
)

const (
	step = 20 * time.Millisecond
	// deathNoticed is the time until the other routers know that a router is dead.
	deathNoticed = 4 * time.Second
	// maxUpdateDelay bounds the time until an update reaches a router; one in lostUpdates is lost.
	maxUpdateDelay = 400 * time.Millisecond
	lostUpdates    = 10
	// maxAnswerDelay bounds the time until an answer arrives.
	maxAnswerDelay = 300 * time.Millisecond
)

// Server is the backend server.
var Server = fleet.Backend{ID: "b1", Service: "app"}

// Limiter is what a router uses to keep the limit. *backpressure.Tracker implements it.
type Limiter interface {
	Permit(b fleet.Backend, why backend.Purpose, now time.Time) error
	Observe(b fleet.Backend, sentAt, now time.Time, s backend.Statement)
	HandleUpdate(from string, u backpressure.Update, now time.Time)
	Tick(now time.Time)
}

// NewLimiter returns the Limiter of a router that starts.
type NewLimiter func(cfg backpressure.Config) Limiter

// NewTracker returns a *backpressure.Tracker.
func NewTracker(cfg backpressure.Config) Limiter { return backpressure.New(cfg) }

// Fleet is a fleet of routers that always have requests for Server.
type Fleet struct {
	Routers []*Router
	Now     time.Time
	Limit   float64 // stated in answers; 0 for none
	Rand    *rand.Rand
	// From CutFrom until CutUntil the routers with even numbers and those with odd numbers are cut
	// off from each other.
	CutFrom, CutUntil time.Time
	BlindShare        float64              // share of the other routers that a router does not know
	Idle              func(r *Router) bool // routers without requests; nil for none
	Deaf              int                  // number of the router that receives no updates; -1 for none
	Sent              int                  // requests sent so far

	newLimiter NewLimiter
	queue      map[time.Time][]func()
	counted    []time.Time // requests of the routers that the bound counts
}

// Router is one router of a Fleet.
type Router struct {
	Number  int
	Limiter Limiter

	statedAt time.Time // when the first answer arrived that stated the limit
	upFrom   time.Time
	diedAt   time.Time // zero while it has never died
}

// New returns a fleet of the given size.
func New(seed uint64, routers int, limit float64, newLimiter NewLimiter) *Fleet {
	f := &Fleet{
		Rand: rand.New(rand.NewPCG(seed, 1)), Now: time.Unix(1000, 0), Limit: limit, Deaf: -1,
		newLimiter: newLimiter, queue: map[time.Time][]func(){},
	}
	for i := range routers {
		r := &Router{Number: i, upFrom: f.Now}
		f.Routers = append(f.Routers, r)
		f.restart(r)
	}
	return f
}

func (r *Router) name() string { return fmt.Sprint("n", r.Number) }

func (f *Fleet) restart(r *Router) {
	r.statedAt = time.Time{}
	r.Limiter = f.newLimiter(backpressure.Config{
		Node: r.name(), Nodes: func() []string { return f.nodesSeenBy(r) },
		Broadcast: func(u backpressure.Update) { f.broadcast(r, u) },
	})
}

// Kill ends a router, which starts again without its state after the given time.
func (f *Fleet) Kill(r *Router, down time.Duration) {
	r.diedAt, r.upFrom = f.Now, f.Now.Add(down)
	f.restart(r)
}

func (f *Fleet) cut(a, b *Router) bool {
	return !f.Now.Before(f.CutFrom) && f.Now.Before(f.CutUntil) && (a.Number+b.Number)%2 == 1
}

// nodesSeenBy returns the registered nodes without those that r takes for dead.
func (f *Fleet) nodesSeenBy(r *Router) []string {
	var out []string
	for _, o := range f.Routers {
		dead := o.upFrom.After(f.Now) && f.Now.Sub(o.diedAt) > deathNoticed
		unreachable := f.cut(r, o) && f.Now.Sub(f.CutFrom) > deathNoticed
		unknown := f.BlindShare > 0 && o != r && f.Rand.Float64() < f.BlindShare
		if !dead && !unreachable && !unknown {
			out = append(out, o.name())
		}
	}
	return out
}

func (f *Fleet) at(after time.Duration, do func()) {
	t := f.Now.Add(after.Truncate(step) + step)
	f.queue[t] = append(f.queue[t], do)
}

func (f *Fleet) broadcast(from *Router, u backpressure.Update) {
	for _, r := range f.Routers {
		if r == from || f.cut(r, from) || r.Number == f.Deaf || f.Rand.IntN(lostUpdates) == 0 {
			continue
		}
		f.at(time.Duration(f.Rand.Int64N(int64(maxUpdateDelay))), func() {
			if !r.upFrom.After(f.Now) {
				r.Limiter.HandleUpdate(from.name(), u, f.Now)
			}
		})
	}
}

// send sends a request of r if the limit allows it. The answer states the limit that was in force
// when the request arrived.
func (f *Fleet) send(r *Router) {
	if r.Limiter.Permit(Server, backend.Work, f.Now) != nil {
		return
	}
	if !r.statedAt.IsZero() && f.Now.Sub(r.statedAt) >= Grace {
		f.counted = append(f.counted, f.Now)
	}
	f.Sent++
	sentAt, stated, limiter := f.Now, backend.Statement{Limit: f.Limit, HasLimit: f.Limit > 0}, r.Limiter
	f.at(time.Duration(f.Rand.Int64N(int64(maxAnswerDelay))), func() {
		if r.Limiter != limiter {
			return // the router has restarted since
		}
		if r.statedAt.IsZero() && stated.HasLimit {
			r.statedAt = f.Now
		}
		limiter.Observe(Server, sentAt, f.Now, stated)
	})
}

// Run simulates the fleet for some time; change is called before each step.
func (f *Fleet) Run(length time.Duration, change func(f *Fleet, elapsed time.Duration)) {
	start := f.Now
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		f.Now = start.Add(elapsed)
		change(f, elapsed)
		for _, do := range f.queue[f.Now] {
			do()
		}
		delete(f.queue, f.Now)
		for _, r := range f.Routers {
			if r.upFrom.After(f.Now) {
				continue
			}
			r.Limiter.Tick(f.Now)
			if f.Idle == nil || !f.Idle(r) {
				f.send(r)
			}
		}
	}
}

// Most returns the largest number of counted requests within any Window.
func (f *Fleet) Most() int {
	most, first := 0, 0
	for last := range f.counted {
		for f.counted[last].Sub(f.counted[first]) >= Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Allowed returns how many requests may arrive within any Window at a limit.
func Allowed(limit float64) int { return int(factor*limit*Window.Seconds() + slack) }
