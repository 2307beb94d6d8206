package admission

import (
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
}

// serviceMemory is the weight of the newest service time in the average.
const serviceMemory = 1.0 / 16

func (l *classLoad) observe(d time.Duration) {
	if l.mean == 0 {
		l.mean = d.Seconds()
		return
	}
	l.mean += serviceMemory * (d.Seconds() - l.mean)
}

// pool is the work that competes for the same backend servers: one model or
// one plain service. A saturated model must not hold up the others.
type pool struct {
	name    string
	queues  [classes]*queue
	running int
	served  uint64       // turns while both priorities waited
	load    [2]classLoad // by fleet.Priority
	checked time.Time    // last look whether capacity grew
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

// next chooses the queue to serve: interactive before batch, resumes before
// new work, but one in batchEvery to batch while both wait.
func (p *pool) next() *queue {
	interactive := p.first(interactiveResume, interactiveNew)
	batch := p.first(batchResume, batchNew)
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

func (p *pool) first(order ...class) *queue {
	for _, i := range order {
		if len(p.queues[i].items) > 0 {
			return p.queues[i]
		}
	}
	return nil
}

// ahead counts the tickets to be served before w.
func (p *pool) ahead(w *waiter) int {
	own := classOf(&w.ticket)
	n := p.queues[own].ahead(w.acct, w.ticket.Cost)
	for i := range own {
		n += len(p.queues[i].items)
	}
	return n
}

// waitFor estimates the time until n tickets have been served; 0 if unknown.
//
// By Little's law, work that runs ends at the rate of its number over its mean
// service time. The rate of releases itself would not do: at low load it is
// the rate of arrivals, and the first burst would be refused as hopeless.
func (p *pool) waitFor(n int) time.Duration {
	rate := 0.0
	for _, l := range p.load {
		if l.mean > 0 {
			rate += float64(l.running) / l.mean
		}
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}
