package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
)

const (
	defaultMaxCancels = 1 << 16
	cancelTryTimeout  = 2 * time.Second
	cancelBackoffMin  = 100 * time.Millisecond
	cancelBackoffMax  = 15 * time.Second
	cancelMaxAge      = time.Hour
	// incarnationLag is the age from which the incarnation heard of counts
	// although it is the one that was known when the attempt was abandoned.
	incarnationLag = 10 * time.Second
)

// AbandonedAttempt is an attempt that nobody reads any more.
type AbandonedAttempt struct {
	Backend     fleet.Backend
	Incarnation string // of the engine when the attempt was opened; may be empty
	Request     string
	Attempt     int
	Accepted    int // tokens of this attempt that reached the caller
}

// CancelAPI is what the Canceller needs of Client.
type CancelAPI interface {
	Cancel(ctx context.Context, b fleet.Backend, request string, attempt int) (CancelResult, error)
}

// CancellerOptions holds what a Canceller may be given.
type CancellerOptions struct {
	// Incarnation returns the engine's incarnation as last heard of, or "".
	Incarnation func(backendID string) string
	Rand        func() float64 // in [0, 1); math/rand/v2 by default
	Max         int            // attempts held at once; the default is 65536
	Log         *event.Log
	Metrics     *metrics.Set
}

// Canceller repeats the cancel of abandoned attempts until the engine
// acknowledges it, knows no such attempt, or is seen to be a new incarnation.
//
// What goes wrong without it: an engine freezes, its streams are resumed
// elsewhere, a single cancel is lost, the engine thaws and goes on generating
// for nobody. One would notice it as extra resource use only. Cancels of one
// engine are sent one after the other, so that a frozen engine costs one
// pending request and doesn't delay the cancels of others.
type Canceller struct {
	api  CancelAPI
	opts CancellerOptions

	mu     sync.Mutex
	ctx    context.Context // set by Run
	queues map[string][]queued
	held   int
	wg     sync.WaitGroup

	wasted, dropped, done, tries *metrics.Counter
}

type queued struct {
	AbandonedAttempt
	since time.Time
	known string // incarnation last heard of at that moment
}

// restarted reports whether the engine is seen to be a new incarnation, in
// which the attempt is no more. What is heard of an engine lags: it may name
// the incarnation before the attempt's own, whose stream is alive. So it must
// have changed since, or had time to catch up.
func (q *queued) restarted(now string) bool {
	if q.Incarnation == "" || now == "" || now == q.Incarnation {
		return false
	}
	return now != q.known || time.Since(q.since) > incarnationLag
}

// NewCanceller returns a Canceller; Run has to be called for it to work.
func NewCanceller(api CancelAPI, o CancellerOptions) *Canceller {
	if o.Max <= 0 {
		o.Max = defaultMaxCancels
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Incarnation == nil {
		o.Incarnation = func(string) string { return "" }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	c := &Canceller{api: api, opts: o, queues: map[string][]queued{}}
	c.wasted = o.Metrics.GetOrCreateCounter("wigeon_tokens_for_nobody_total")
	c.dropped = o.Metrics.GetOrCreateCounter("wigeon_cancels_dropped_total")
	c.done = o.Metrics.GetOrCreateCounter("wigeon_cancels_done_total")
	c.tries = o.Metrics.GetOrCreateCounter("wigeon_cancel_tries_total")
	o.Metrics.GetOrCreateGauge("wigeon_cancels_pending", func() float64 { return float64(c.Pending()) })
	return c
}

// Add queues an attempt. It never blocks; a full queue drops it, counts it and
// leaves the engine's own linger time to end the attempt.
func (c *Canceller) Add(a AbandonedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held >= c.opts.Max {
		c.dropped.Inc()
		c.opts.Log.Emit(event.CancelDropped, "backend", a.Backend.ID, "reason", "queue full")
		return
	}
	c.held++
	id := a.Backend.ID
	queue, working := c.queues[id]
	c.queues[id] = append(queue, queued{AbandonedAttempt: a, since: time.Now(), known: c.opts.Incarnation(a.Backend.ID)})
	if !working && c.ctx != nil {
		c.start(id)
	}
}

// Pending returns how many attempts wait for their cancel.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Run works until ctx ends, then waits for its goroutines.
func (c *Canceller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	for id := range c.queues {
		c.start(id)
	}
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.ctx = nil
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// start is called with mu held and ctx set.
func (c *Canceller) start(id string) {
	ctx := c.ctx
	c.wg.Go(func() { c.work(ctx, id) })
}

func (c *Canceller) work(ctx context.Context, id string) {
	backoff := cancelBackoffMin
	for {
		q, ok := c.first(id)
		if !ok {
			return
		}
		if c.settled(ctx, q) {
			c.pop(id)
			backoff = cancelBackoffMin
			continue
		}
		if !c.sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, cancelBackoffMax)
	}
}

// first returns the attempt to try next; an empty queue is removed under the
// same lock, so that Add knows whether a goroutine serves it.
func (c *Canceller) first(id string) (queued, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[id]
	if len(queue) == 0 {
		delete(c.queues, id)
		return queued{}, false
	}
	return queue[0], true
}

func (c *Canceller) pop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queues[id] = c.queues[id][1:]
	c.held--
}

func (c *Canceller) sleep(ctx context.Context, d time.Duration) bool {
	jittered := d/2 + time.Duration(c.opts.Rand()*float64(d))
	return clock.Sleep(ctx, jittered)
}

// settled reports whether nothing is left to do for q.
func (c *Canceller) settled(ctx context.Context, q queued) bool {
	if q.restarted(c.opts.Incarnation(q.Backend.ID)) {
		c.done.Inc()
		return true
	}
	if time.Since(q.since) > cancelMaxAge {
		c.dropped.Inc()
		c.opts.Log.Emit(event.CancelDropped, "backend", q.Backend.ID, "reason", "too old")
		return true
	}
	ctx, stop := context.WithTimeout(ctx, cancelTryTimeout)
	defer stop()
	c.tries.Inc()
	res, err := c.api.Cancel(ctx, q.Backend, q.Request, q.Attempt)
	if errors.Is(err, ErrUnknownStream) {
		c.done.Inc()
		return true
	}
	if err != nil {
		return false
	}
	c.done.Inc()
	if n := res.Generated - q.Accepted; n > 0 {
		c.wasted.Add(n)
	}
	return true
}
