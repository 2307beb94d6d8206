package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wigeondale/fleet"
	"wigeondale/schedule"
)

// class is the index of a queue in a pool. The classes are listed in the order in which their
// queues are served.
type class int

const (
	interactiveResume class = iota
	interactiveNew
	batchResume
	batchNew
	classes
)

func classOf(t *Ticket) class {
	switch {
	case t.Priority == fleet.Interactive && t.Resume:
		return interactiveResume
	case t.Priority == fleet.Interactive:
		return interactiveNew
	case t.Resume:
		return batchResume
	}
	return batchNew
}

// classLoad describes the running work of one priority, and how long such work takes.
type classLoad struct {
	running     int
	mean        float64 // seconds, moving average; 0 before the first release
	perCost     float64 // seconds per unit of cost, moving average
	lastRelease time.Time
}

const (
	// serviceTimeWeight is the weight of the latest service time in the moving averages of
	// classLoad.
	serviceTimeWeight = 1.0 / 16
	// estimateHalfLife is the time without a release after which the estimated service times
	// count only half. Otherwise service times that rose during a failure would cause every
	// request to be refused permanently, and no request would run that could show that the
	// failure is over.
	estimateHalfLife = 5 * time.Second
)

func (l *classLoad) observe(d time.Duration, cost float64, now time.Time) {
	per := d.Seconds() / max(cost, 1)
	l.lastRelease = now
	if l.mean == 0 {
		l.mean, l.perCost = d.Seconds(), per
		return
	}
	l.mean += serviceTimeWeight * (d.Seconds() - l.mean)
	l.perCost += serviceTimeWeight * (per - l.perCost)
}

// requiredTime estimates how much time work of a given cost must have left until its deadline.
func (l *classLoad) requiredTime(cost float64, now time.Time) time.Duration {
	// Requests that started together end together, so no release is expected for as long as
	// one request takes.
	expectedGap := min(l.mean, estimateHalfLife.Seconds())
	age := max(now.Sub(l.lastRelease).Seconds()-expectedGap, 0)
	trust := math.Exp2(-age / estimateHalfLife.Seconds())
	return time.Duration(trust * l.perCost * cost * float64(time.Second))
}

// pool holds the work that competes for the same backend servers: the servers of one model, or
// of one service that is not a model engine. Each pool has queues of its own, since a
// saturated pool must not delay the others.
type pool struct {
	name            string
	queues          [classes]*queue
	running         int
	alternation     schedule.Alternation
	load            [2]classLoad // by fleet.Priority
	batchRunning    []*waiter    // running batch work, ordered by its expected end
	checkedAt       time.Time    // when it was last checked whether capacity grew
	noCapacitySince time.Time    // when the pool lost all capacity; zero while it has some
}

func newPool(name string) *pool {
	p := &pool{name: name}
	for i := range p.queues {
		p.queues[i] = newQueue()
	}
	return p
}

func (p *pool) waiting() int {
	n := 0
	for _, q := range p.queues {
		n += q.len()
	}
	return n
}

// next chooses the queue to serve, or returns nil if no waiting ticket has a slot. Interactive
// work goes before batch work and resumes go before new work; while both priorities wait,
// schedule.Alternation gives part of the grants to batch work.
func (p *pool) next(cfg *Config, now time.Time) *queue {
	interactive := p.firstServable(cfg, interactiveResume, interactiveNew)
	batch := p.firstServable(cfg, batchResume, batchNew)
	if interactive == nil || batch == nil {
		if interactive != nil {
			return interactive
		}
		return batch
	}
	if p.alternation.UrgentFirst(now) {
		return interactive
	}
	return batch
}

// firstServable returns the first queue, in the given order, that has work for which there is
// a slot, or nil.
func (p *pool) firstServable(cfg *Config, order ...class) *queue {
	for _, c := range order {
		if p.queues[c].len() > 0 && p.hasSlot(c, cfg) {
			return p.queues[c]
		}
	}
	return nil
}

// noteCapacity records whether the pool has any capacity now, and since when it has had none.
func (p *pool) noteCapacity(cfg *Config, now time.Time) {
	switch {
	case cfg.capacity(p.name) > 0:
		p.noCapacitySince = time.Time{}
	case p.noCapacitySince.IsZero():
		p.noCapacitySince = now
	}
}

// unavailable reports whether the pool has been without capacity for at least MaxCapacityWait,
// so that its tickets should not wait any longer.
//
// Without this check, when all replicas of a model are leaving or down, requests for the model
// queue until the callers' deadlines, minutes later, although no replica exists that could run
// them.
func (p *pool) unavailable(cfg *Config, now time.Time) bool {
	return !p.noCapacitySince.IsZero() && now.Sub(p.noCapacitySince) >= cfg.MaxCapacityWait
}

// hasSlot reports whether there is a free slot for work of a class.
func (p *pool) hasSlot(c class, cfg *Config) bool {
	capacity := cfg.capacity(p.name)
	switch c {
	case interactiveNew:
		return p.running < capacity || p.load[fleet.Interactive].running < cfg.minUrgentSlots(p.name)
	case batchNew:
		return p.running < capacity && p.hasBatchSlot(cfg)
	}
	return p.running < capacity+cfg.minUrgentSlots(p.name)
}

// hasBatchSlot reports whether one more new batch request would leave enough capacity for
// other work. schedule.LessUrgentShare of the slots is available to batch work even if interactive requests
// use all others.
//
// Batch work leaves a reserve of capacity for interactive requests. The interactive requests
// that run count as users of this reserve. Otherwise they would also use part of the batch
// share, and near full load batch requests would queue for ever while slots stay empty.
// Exception: while interactive requests wait, the whole reserve is left free.
func (p *pool) hasBatchSlot(cfg *Config) bool {
	capacity, running := cfg.batchCapacity(p.name), p.load[fleet.Batch].running
	if p.queues[interactiveNew].len() == 0 && running < capacity {
		return true
	}
	return p.running < capacity || running < batchShare(capacity)
}

// batchShare returns the part of the capacity that is available to batch work whatever else waits.
func batchShare(capacity int) int { return int(schedule.LessUrgentShare * float64(capacity)) }

// noneAhead reports whether no waiting ticket has to be served before a new one of class c.
func (p *pool) noneAhead(c class) bool {
	for i := range c + 1 {
		if p.queues[i].len() > 0 {
			return false
		}
	}
	return true
}

// ahead counts the tickets of the same priority that will be served before w.
func (p *pool) ahead(w *waiter) int {
	ownClass := classOf(&w.ticket)
	n := p.queues[ownClass].lane.Ahead(itemOf(w))
	if !w.ticket.Resume {
		n += p.queues[ownClass-1].len() // the resumes of this priority
	}
	return n
}

// queued counts the waiting tickets of a priority.
func (p *pool) queued(of fleet.Priority) int {
	if of == fleet.Interactive {
		return p.queues[interactiveResume].len() + p.queues[interactiveNew].len()
	}
	return p.queues[batchResume].len() + p.queues[batchNew].len()
}

// waitFor estimates the time until n tickets of a priority have been served; 0 means that the
// time is unknown. A slot that becomes free goes to interactive requests first, whatever work
// used it. Batch requests are expected to get only the slots of batch requests: otherwise a
// stream of quick interactive requests would make the wait of batch requests look short.
func (p *pool) waitFor(n int, of fleet.Priority, cfg *Config, now time.Time) time.Duration {
	if of == fleet.Batch {
		return p.waitForBatch(n, cfg, now)
	}
	// By Little's law, running work ends at the rate of the number of running requests divided
	// by their mean service time. The rate of releases itself can't be used: at low load it
	// equals the rate of arrivals, and the first burst would be refused.
	rate := p.load[fleet.Batch].rate() + p.load[fleet.Interactive].rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// waitForBatch is waitFor for batch tickets. It estimates the time until n of them have been
// served from the expected ends of the running batch requests. After an idle time batch
// requests start together and so end together. If a mean rate were used instead, requests that
// arrive behind such a group would be queued although they can't be served in time.
func (p *pool) waitForBatch(n int, cfg *Config, now time.Time) time.Duration {
	slots := len(p.batchRunning)
	mean := p.load[fleet.Batch].mean
	if slots == 0 || mean == 0 {
		return 0
	}
	n += max(slots-cfg.batchCapacity(p.name), 0) // slots that will not be filled again
	rounds := time.Duration(float64(n/slots) * mean * float64(time.Second))
	return rounds + max(p.batchRunning[n%slots].expectedEnd.Sub(now), 0)
}

// addRunning inserts admitted batch work into the list of running batch work.
func (p *pool) addRunning(w *waiter) {
	if w.ticket.Priority != fleet.Batch {
		return
	}
	l := &p.load[fleet.Batch]
	w.expectedEnd = w.granted.Add(time.Duration(l.perCost * w.ticket.Cost * float64(time.Second)))
	at, _ := slices.BinarySearchFunc(p.batchRunning, w, (*waiter).compareExpectedEnd)
	p.batchRunning = slices.Insert(p.batchRunning, at, w)
}

func (p *pool) removeRunning(w *waiter) {
	at, found := slices.BinarySearchFunc(p.batchRunning, w, (*waiter).compareExpectedEnd)
	if found {
		p.batchRunning = slices.Delete(p.batchRunning, at, at+1)
	}
}

// compareExpectedEnd orders by expected end; no two waiters are equal.
func (w *waiter) compareExpectedEnd(o *waiter) int {
	return cmp.Or(w.expectedEnd.Compare(o.expectedEnd), cmp.Compare(w.seq, o.seq))
}

// rate returns the number of running requests of this priority that are expected to end per
// second; it returns 0 before the first release.
func (l *classLoad) rate() float64 {
	if l.mean <= 0 {
		return 0
	}
	return float64(l.running) / l.mean
}
