package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wigeondale/fleet"
)

// class indexes the queues in the order of service.
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

// batchEvery is how often batch work is served while interactive work waits
// too, one in so many: without it a flood of lookups would starve drafts that
// have been started.
const batchEvery = 4

// classLoad is what runs of one priority and how long such work takes.
type classLoad struct {
	running int
	mean    float64 // seconds, moving average; 0 before the first release
	perCost float64 // seconds for a unit of cost, moving average
	seen    time.Time
}

const (
	// serviceMemory is the weight of the newest service time in the averages.
	serviceMemory = 1.0 / 16
	// needHalfLife is the time without a release after which service times are
	// believed by half. Service times that rose in a failure would else refuse
	// every request for good, and nothing would run to show that it is over.
	needHalfLife = 5 * time.Second
)

func (l *classLoad) observe(d time.Duration, cost float64, now time.Time) {
	per := d.Seconds() / max(cost, 1)
	l.seen = now
	if l.mean == 0 {
		l.mean, l.perCost = d.Seconds(), per
		return
	}
	l.mean += serviceMemory * (d.Seconds() - l.mean)
	l.perCost += serviceMemory * (per - l.perCost)
}

// need is the time that work of some cost must have until its deadline.
func (l *classLoad) need(cost float64, now time.Time) time.Duration {
	// Requests that started together end together: no release is expected for
	// as long as one takes.
	quiet := min(l.mean, needHalfLife.Seconds())
	age := max(now.Sub(l.seen).Seconds()-quiet, 0)
	trust := math.Exp2(-age / needHalfLife.Seconds())
	return time.Duration(trust * l.perCost * cost * float64(time.Second))
}

// pool is the work that competes for the same backend servers: one model or
// one plain service. A saturated model must not hold up the others.
type pool struct {
	name    string
	queues  [classes]*queue
	running int
	served  uint64       // turns while both priorities waited
	load    [2]classLoad // by fleet.Priority
	drafts  []*waiter    // batch work that runs, by when it is expected to end
	checked time.Time    // last look whether capacity grew
	closed  time.Time    // since when there is no capacity at all; zero: there is
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
		n += len(q.items)
	}
	return n
}

// next chooses the queue to serve, nil if none may be: interactive before
// batch, resumes before new work, but one in batchEvery to batch while both
// wait.
func (p *pool) next(cfg *Config) *queue {
	interactive := p.first(cfg, interactiveResume, interactiveNew)
	batch := p.first(cfg, batchResume, batchNew)
	if interactive == nil || batch == nil {
		if interactive != nil {
			return interactive
		}
		return batch
	}
	p.served++
	if p.served%batchEvery == 0 {
		return batch
	}
	return interactive
}

// first is the first queue that has work for which there is a place.
func (p *pool) first(cfg *Config, order ...class) *queue {
	for _, c := range order {
		if len(p.queues[c].items) > 0 && p.takes(c, cfg) {
			return p.queues[c]
		}
	}
	return nil
}

// noteCapacity notes whether the pool has any capacity now.
func (p *pool) noteCapacity(cfg *Config, now time.Time) {
	switch {
	case cfg.capacity(p.name) > 0:
		p.closed = time.Time{}
	case p.closed.IsZero():
		p.closed = now
	}
}

// dead tells whether the pool has been without capacity for too long to wait.
//
// What goes wrong without it: all replicas of a model leave or are down, and
// its requests queue until the callers' deadlines, minutes later, although
// nothing is there that could run them.
func (p *pool) dead(cfg *Config, now time.Time) bool {
	return !p.closed.IsZero() && now.Sub(p.closed) >= cfg.MaxCapacityWait
}

// takes tells whether there is a place for work of a class.
func (p *pool) takes(c class, cfg *Config) bool {
	room := cfg.capacity(p.name)
	switch c {
	case interactiveNew:
		return p.running < room || p.load[fleet.Interactive].running < cfg.minUrgentSlots(p.name)
	case batchNew:
		return p.running < room && p.takesBatch(cfg)
	}
	return p.running < room+cfg.minUrgentSlots(p.name)
}

// takesBatch tells whether new batch work leaves enough to other work. It has
// one place in batchEvery even when lookups take all the rest.
//
// What it leaves is for the lookups that run as well as for those to come. Else
// they would take from its own share besides, and near full load drafts would
// queue for ever while places stay empty. Only while lookups wait does it leave
// the whole.
func (p *pool) takesBatch(cfg *Config) bool {
	room, running := cfg.batchCapacity(p.name), p.load[fleet.Batch].running
	if len(p.queues[interactiveNew].items) == 0 && running < room {
		return true
	}
	return p.running < room || running < room/batchEvery
}

// unqueued tells whether nobody waits whose turn is before that of a newcomer.
func (p *pool) unqueued(c class) bool {
	for i := range c + 1 {
		if len(p.queues[i].items) > 0 {
			return false
		}
	}
	return true
}

// ahead counts the tickets of the same priority to be served before w.
func (p *pool) ahead(w *waiter) int {
	own := classOf(&w.ticket)
	n := p.queues[own].ahead(w.acct, w.ticket.Cost)
	if !w.ticket.Resume {
		n += len(p.queues[own-1].items) // the resumes of this priority
	}
	return n
}

// queued counts the tickets of a priority that wait.
func (p *pool) queued(of fleet.Priority) int {
	if of == fleet.Interactive {
		return len(p.queues[interactiveResume].items) + len(p.queues[interactiveNew].items)
	}
	return len(p.queues[batchResume].items) + len(p.queues[batchNew].items)
}

// waitFor estimates the time until n tickets of a priority have been served;
// 0 if unknown. A place that any work leaves goes to lookups first; drafts get
// only those of drafts, or a stream of quick lookups would make their wait look
// short.
func (p *pool) waitFor(n int, of fleet.Priority, cfg *Config, now time.Time) time.Duration {
	if of == fleet.Batch {
		return p.waitForDrafts(n, cfg, now)
	}
	// By Little's law, work that runs ends at the rate of its number over its
	// mean service time. The rate of releases itself would not do: at low load
	// it is the rate of arrivals, and the first burst would be refused.
	rate := p.load[fleet.Batch].rate() + p.load[fleet.Interactive].rate()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// waitForDrafts goes by when the drafts that run are expected to end. They
// start together after an idle time and so end together: by a mean rate, those
// that arrive behind such a group would be let in to wait in vain.
func (p *pool) waitForDrafts(n int, cfg *Config, now time.Time) time.Duration {
	places := len(p.drafts)
	mean := p.load[fleet.Batch].mean
	if places == 0 || mean == 0 {
		return 0
	}
	n += max(places-cfg.batchCapacity(p.name), 0) // places that will not be filled again
	rounds := time.Duration(float64(n/places) * mean * float64(time.Second))
	return rounds + max(p.drafts[n%places].ends.Sub(now), 0)
}

// began puts granted batch work in its place among the drafts.
func (p *pool) began(w *waiter) {
	if w.ticket.Priority != fleet.Batch {
		return
	}
	l := &p.load[fleet.Batch]
	w.ends = w.granted.Add(time.Duration(l.perCost * w.ticket.Cost * float64(time.Second)))
	at, _ := slices.BinarySearchFunc(p.drafts, w, (*waiter).compareEnds)
	p.drafts = slices.Insert(p.drafts, at, w)
}

func (p *pool) ended(w *waiter) {
	at, found := slices.BinarySearchFunc(p.drafts, w, (*waiter).compareEnds)
	if found {
		p.drafts = slices.Delete(p.drafts, at, at+1)
	}
}

// compareEnds orders by expected end; no two waiters are equal.
func (w *waiter) compareEnds(o *waiter) int {
	return cmp.Or(w.ends.Compare(o.ends), cmp.Compare(w.seq, o.seq))
}

// rate is how many of those that run end in a second.
func (l *classLoad) rate() float64 {
	if l.mean <= 0 {
		return 0
	}
	return float64(l.running) / l.mean
}
