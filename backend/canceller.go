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
	// incarnationLag is how long the reported incarnation of an engine may lag behind the
	// engine's actual incarnation. When an attempt is abandoned, the reported incarnation
	// may differ from the attempt's only because of this lag. If the report still differs
	// after this time, the engine counts as restarted.
	incarnationLag = 10 * time.Second
)

// AbandonedAttempt is an attempt whose stream no router reads any more.
type AbandonedAttempt struct {
	Backend     fleet.Backend
	Incarnation string // of the engine when the attempt was opened; may be empty
	Request     string
	Attempt     int
	Accepted    int // tokens of this attempt that were delivered to the caller
}

// CancelAPI is the part of Client that a Canceller uses.
type CancelAPI interface {
	Cancel(ctx context.Context, b fleet.Backend, request string, attempt int) (CancelResult, error)
}

// CancellerOptions configures a Canceller. Every field is optional.
type CancellerOptions struct {
	// Incarnation returns the last reported incarnation of the engine, or "" if no
	// incarnation was reported.
	Incarnation func(backendID string) string
	Rand        func() float64 // in [0, 1); math/rand/v2 by default
	Max         int            // attempts queued at once; the default is 65536
	Log         *event.Log
	Metrics     *metrics.Set
}

// Canceller repeats the cancel of each abandoned attempt until the engine acknowledges it,
// reports that it has no such attempt, or has restarted.
//
// A single cancel is not enough: if an engine freezes, its streams are resumed on other
// engines, and the cancel is lost, the engine continues after the freeze and generates
// tokens that no client reads. This waste would only be visible as extra resource use.
// Cancels to one engine are sent one after the other, so a frozen engine has at most one
// pending request and doesn't delay the cancels to other engines.
type Canceller struct {
	api  CancelAPI
	opts CancellerOptions

	mu      sync.Mutex
	ctx     context.Context // set by Run; nil while Run isn't running
	queues  map[string][]queuedCancel
	pending int
	wg      sync.WaitGroup

	wasted, dropped, done, tries *metrics.Counter
}

type queuedCancel struct {
	AbandonedAttempt
	queuedAt         time.Time
	knownIncarnation string // last reported incarnation of the engine at queuedAt
}

// restarted reports whether the engine has restarted since the attempt was opened, so that
// the attempt no longer exists. now is the engine's last reported incarnation. The report
// lags behind: now may still be an incarnation from before the attempt was opened, although
// the attempt's stream is running. A different incarnation therefore counts only if it
// changed after the attempt was queued, or if incarnationLag has passed.
func (q *queuedCancel) restarted(now string) bool {
	if q.Incarnation == "" || now == "" || now == q.Incarnation {
		return false
	}
	return now != q.knownIncarnation || time.Since(q.queuedAt) > incarnationLag
}

// NewCanceller returns a Canceller. It sends no cancels until Run is called.
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
	c := &Canceller{api: api, opts: o, queues: map[string][]queuedCancel{}}
	c.wasted = o.Metrics.GetOrCreateCounter("wigeon_tokens_for_nobody_total")
	c.dropped = o.Metrics.GetOrCreateCounter("wigeon_cancels_dropped_total")
	c.done = o.Metrics.GetOrCreateCounter("wigeon_cancels_done_total")
	c.tries = o.Metrics.GetOrCreateCounter("wigeon_cancel_tries_total")
	o.Metrics.GetOrCreateGauge("wigeon_cancels_pending", func() float64 { return float64(c.Pending()) })
	return c
}

// Add queues the cancel of an attempt. It never blocks. If the queue is full, the cancel is
// dropped and counted. The engine then ends the attempt after the attempt's linger time:
// this is how long an engine keeps an attempt that no router reads, so that a router can
// still attach to the attempt.
func (c *Canceller) Add(a AbandonedAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending >= c.opts.Max {
		c.dropped.Inc()
		c.opts.Log.Emit(event.CancelDropped, "backend", a.Backend.ID, "reason", "queue full")
		return
	}
	c.pending++
	id := a.Backend.ID
	queue, working := c.queues[id]
	c.queues[id] = append(queue, queuedCancel{AbandonedAttempt: a, queuedAt: time.Now(), knownIncarnation: c.opts.Incarnation(a.Backend.ID)})
	if !working && c.ctx != nil {
		c.startWorker(id)
	}
}

// Pending returns the number of queued attempts, whose cancel is not finished yet.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// Run sends the queued cancels until ctx ends, then waits until the goroutines that send
// the cancels have returned.
func (c *Canceller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.ctx = ctx
	for id := range c.queues {
		c.startWorker(id)
	}
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.ctx = nil
	c.mu.Unlock()
	c.wg.Wait()
	return nil
}

// startWorker starts the goroutine that cancels the attempts of one engine. The
// caller holds mu and has set c.ctx.
func (c *Canceller) startWorker(id string) {
	ctx := c.ctx
	c.wg.Go(func() { c.cancelLoop(ctx, id) })
}

func (c *Canceller) cancelLoop(ctx context.Context, id string) {
	backoff := cancelBackoffMin
	for {
		q, ok := c.peek(id)
		if !ok {
			return
		}
		if c.tryCancel(ctx, q) {
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

// peek returns the attempt to cancel next at engine id; the result is false if there is
// none. peek removes the engine's queue when the queue is empty, under the same lock, so
// that Add knows from the existence of a queue whether a worker serves the queue.
func (c *Canceller) peek(id string) (queuedCancel, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[id]
	if len(queue) == 0 {
		delete(c.queues, id)
		return queuedCancel{}, false
	}
	return queue[0], true
}

func (c *Canceller) pop(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queues[id] = c.queues[id][1:]
	c.pending--
}

func (c *Canceller) sleep(ctx context.Context, d time.Duration) bool {
	jittered := d/2 + time.Duration(c.opts.Rand()*float64(d))
	return clock.Sleep(ctx, jittered)
}

// tryCancel sends one cancel for q if it is still needed, and reports whether q is
// finished: the engine has acknowledged the cancel, doesn't have the attempt or has
// restarted, or the cancel is dropped because q is older than cancelMaxAge.
func (c *Canceller) tryCancel(ctx context.Context, q queuedCancel) bool {
	if q.restarted(c.opts.Incarnation(q.Backend.ID)) {
		c.done.Inc()
		return true
	}
	if time.Since(q.queuedAt) > cancelMaxAge {
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
