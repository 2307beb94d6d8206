package admission

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/fleet"
)

// recheckInterval is how often waiting tickets check whether the capacity has grown although
// no ticket was released, since the capacity function can't notify the controller.
const recheckInterval = 50 * time.Millisecond

// Controller decides, on one router, which tickets are admitted at once, which wait and which
// are refused.
type Controller struct {
	cfg Config
	log *event.Log
	set *metrics.Set

	mu       sync.Mutex
	accounts map[string]*account
	peers    peerDemands
	pools    map[string]*pool
	seq      uint64
}

// waitSafetyFactor is the factor by which an estimated wait is increased before it decides
// whether a new request is refused.
const waitSafetyFactor = 1.1

// maxQueueShare is the part of its slack that new batch work may spend in the queue. The slack
// of a ticket is the time until its deadline minus the time that its work is expected to take.
//
// Without this limit, above capacity the queue grows until each ticket waits as long as its
// deadline allows. Such a queue serves no more tickets than a short queue, since the slots are
// full either way. But each ticket starts late and ends just before its deadline or is aborted
// there, and when capacity is back the backlog makes all requests of the next ten seconds late
// as well.
const maxQueueShare = 0.4

// NewController returns a Controller that knows no accounts, and so refuses all tickets until
// SetLimits is called.
func NewController(cfg Config, log *event.Log, set *metrics.Set) *Controller {
	if set == nil {
		set = metrics.NewSet()
	}
	c := &Controller{cfg: cfg.withDefaults(), log: log, set: set, accounts: map[string]*account{}, pools: map[string]*pool{}}
	set.NewGauge(`wigeon_admission_running`, func() float64 { return float64(c.count(false)) })
	set.NewGauge(`wigeon_admission_waiting`, func() float64 { return float64(c.count(true)) })
	return c
}

func (c *Controller) count(waiting bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pools {
		if waiting {
			n += p.waiting()
		} else {
			n += p.running
		}
	}
	return n
}

// pool returns the state of a pool, and creates it if needed. Pool names come from callers that
// have passed the access check, so their number is bounded by that of models and services.
func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool(name)
		c.pools[name] = p
	}
	return p
}

// Admit returns when the ticket may run, or refuses the ticket with an error of type *Refused.
// When the work has ended, release must be called with the tokens that the work actually cost.
// Further calls of release do nothing.
func (c *Controller) Admit(ctx context.Context, t Ticket) (release func(actual float64), err error) {
	c.mu.Lock()
	w, refused := c.enter(&t, time.Now())
	c.mu.Unlock()
	if refused == nil && w.ready != nil {
		refused = c.wait(ctx, w)
	}
	if refused != nil {
		c.set.GetOrCreateCounter(`wigeon_admission_refused_total{reason="` + string(refused.Reason) + `"}`).Inc()
		return nil, refused
	}
	var once sync.Once
	return func(actual float64) {
		once.Do(func() { c.release(w, actual) })
	}, nil
}

// enter admits or refuses the ticket at once, or puts the ticket in its queue. Only a waiter
// that is in a queue has a ready channel.
func (c *Controller) enter(t *Ticket, now time.Time) (*waiter, *Refused) {
	a := c.accounts[t.Account]
	if a == nil {
		return nil, c.cfg.refuse(ReasonUnknownAccount, 0)
	}
	t.Priority = min(t.Priority, fleet.Interactive)
	if !t.Resume {
		a.demand.add(t.Cost, now, c.cfg.DemandHalfLife)
	}
	p := c.pool(t.Pool)
	c.seq++
	w := &waiter{ticket: *t, acct: a, pool: p, seq: c.seq}
	if w.expired(now, c.cfg.MinService) {
		return nil, c.cfg.refuse(ReasonDeadline, 0)
	}
	p.noteCapacity(&c.cfg, now)
	if p.unavailable(&c.cfg, now) {
		return nil, c.cfg.refuse(ReasonNoReplica, 0)
	}
	free := p.noneAhead(classOf(t)) && p.hasSlot(classOf(t), &c.cfg)
	if !free {
		if r := c.checkQueue(w, now); r != nil {
			return nil, r
		}
	}
	if r := c.charge(w, now); r != nil {
		return nil, r
	}
	a.waiting++
	if free {
		c.grant(w, now)
		return w, nil
	}
	w.ready = make(chan *Refused, 1)
	p.queues[classOf(t)].push(w, now)
	c.dispatch(p, now)
	return w, nil
}

// charge applies the limits of the account to new work. A resume was charged when its request was
// admitted.
func (c *Controller) charge(w *waiter, now time.Time) *Refused {
	if w.ticket.Resume {
		return nil
	}
	a := w.acct
	if a.limit.MaxConcurrent > 0 && a.running+a.waiting >= a.concurrent() {
		return c.cfg.refuse(ReasonConcurrency, w.pool.waitFor(1, w.ticket.Priority, &c.cfg, now))
	}
	if ok, wait := a.charge(w.ticket.Cost, now); !ok {
		return c.cfg.refuse(ReasonRate, wait)
	}
	return nil
}

// checkQueue refuses a ticket that can't finish in time, given its estimated wait. It also
// refuses a ticket whose estimated wait is longer than maxQueueWait. If the queue is full,
// checkQueue refuses the new ticket or drops the waiting ticket that is served last,
// whichever would be served later. Exception: a resume is not refused because the queue is
// full.
func (c *Controller) checkQueue(w *waiter, now time.Time) *Refused {
	p := w.pool
	wait := p.waitFor(p.ahead(w), w.ticket.Priority, &c.cfg, now)
	// If a ticket that can't finish in time were queued, it would be refused later, after a
	// useless wait. The estimated wait is increased so that such a ticket is refused now.
	if w.expired(now.Add(time.Duration(float64(wait)*waitSafetyFactor)), c.cfg.MinService) {
		return c.cfg.refuse(ReasonDeadline, wait)
	}
	if maxWait, bounded := w.maxQueueWait(now, c.cfg.MinService); bounded && wait > maxWait {
		return c.cfg.refuse(ReasonQueueFull, wait)
	}
	q := p.queues[classOf(&w.ticket)]
	if w.ticket.Resume || q.len() < c.cfg.MaxQueue {
		return nil
	}
	last := q.lastBehind(w)
	if last == nil {
		return c.cfg.refuse(ReasonQueueFull, p.waitFor(q.len(), w.ticket.Priority, &c.cfg, now))
	}
	c.drop(last, c.cfg.refuse(ReasonQueueFull, p.waitFor(q.len(), w.ticket.Priority, &c.cfg, now)))
	return nil
}
