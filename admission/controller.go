package admission

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
	"wigeondale/fleet"
)

// recheckInterval is how often waiting tickets look whether capacity grew
// without a release, since the capacity function can't tell us.
const recheckInterval = 50 * time.Millisecond

// Controller admits requests on one router.
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

// waitCaution is by how much a wait is taken to be longer than estimated, when
// a newcomer is refused by it.
const waitCaution = 1.1

// queueShare is the part of the time that new batch work has to spare until its
// deadline which it may spend in the queue.
//
// What goes wrong without it: past capacity the queue grows until each ticket
// waits as long as it can at all. That serves no more of them than a short queue
// does, since the places are full either way; but each starts late, ends just
// before its deadline or is cut there, and once capacity is back the backlog
// makes all that arrive in the next ten seconds late as well.
const queueShare = 0.4

// NewController returns a Controller without accounts: call SetLimits.
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

// pool returns the record of a pool. Pools are named by callers who passed the
// check of access, so their number is that of models and services.
func (c *Controller) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = newPool(name)
		c.pools[name] = p
	}
	return p
}

// Admit returns when the ticket may run, or refuses it. release must be called
// once when it ended, with the tokens it really cost. The error is a *Refused.
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

// enter decides at once, or puts the ticket in its queue: then the waiter that
// it returns has a ready channel.
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
	w := &waiter{ticket: *t, acct: a, pool: p, index: -1, seq: c.seq}
	if w.expired(now, c.cfg.MinService) {
		return nil, c.cfg.refuse(ReasonDeadline, 0)
	}
	p.noteCapacity(&c.cfg, now)
	if p.dead(&c.cfg, now) {
		return nil, c.cfg.refuse(ReasonNoReplica, 0)
	}
	free := p.unqueued(classOf(t)) && p.takes(classOf(t), &c.cfg)
	if !free {
		if r := c.makeRoom(w, now); r != nil {
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
	p.queues[classOf(t)].push(w)
	c.dispatch(p, now)
	return w, nil
}

// charge holds new work to its account's limits. A resume was charged when its
// request was admitted.
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

// makeRoom refuses what cannot finish in time by the rate at which the queues
// drain, or would wait longer than is of use. In a full queue it drops the last
// ticket if the newcomer's turn is earlier. Resumes always have room.
func (c *Controller) makeRoom(w *waiter, now time.Time) *Refused {
	p := w.pool
	wait := p.waitFor(p.ahead(w), w.ticket.Priority, &c.cfg, now)
	// Refused now or after a wait in vain: the estimate is taken for too short.
	if w.expired(now.Add(time.Duration(float64(wait)*waitCaution)), c.cfg.MinService) {
		return c.cfg.refuse(ReasonDeadline, wait)
	}
	if spare, bounded := w.spare(now, c.cfg.MinService); bounded && wait > spare {
		return c.cfg.refuse(ReasonQueueFull, wait)
	}
	q := p.queues[classOf(&w.ticket)]
	if w.ticket.Resume || len(q.items) < c.cfg.MaxQueue {
		return nil
	}
	start, _ := q.tag(w.acct, w.ticket.Cost)
	last := q.last()
	if last.start <= start {
		return c.cfg.refuse(ReasonQueueFull, p.waitFor(len(q.items), w.ticket.Priority, &c.cfg, now))
	}
	c.drop(last, c.cfg.refuse(ReasonQueueFull, p.waitFor(len(q.items), w.ticket.Priority, &c.cfg, now)))
	return nil
}
