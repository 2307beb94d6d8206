package order

import (
	"context"
	_ "embed" // the state chart
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"wigeondale/chart"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/intent"
)

//go:embed executor.json
var executorChart []byte

// parallelCalls bounds the calls to backend servers under way at once.
const parallelCalls = 16

// Config is what an Executor uses.
type Config struct {
	Lease    Lease
	Backends Backends
	State    func() *intent.State
	UpToDate func() bool            // whether State may be acted on
	List     func() []fleet.Backend // the backend servers
	// Sizes returns the weights' bytes by ModelRef.String(), of all placements.
	Sizes func(context.Context) map[string]int64
	// Candidate says whether this router should try for the lease; nil means yes.
	// A few candidates are enough, and each costs the service a read per try.
	Candidate func() bool
	// Incarnation returns an engine's incarnation by its last load report, or "";
	// nil means that none is known. A new one has the engine asked at once.
	Incarnation func(id string) string
	Random      func() float64 // 0 to 1, for jitter; nil means none
	Policy      Policy
	Events      *event.Log
	Metrics     *metrics.Set
}

// Executor gives orders while this router holds the lease.
type Executor struct {
	cfg Config

	// Used by the goroutine that keeps the lease.
	machine *chart.Machine
	held    HeldLease
	nextTry time.Time // for the lease

	// Used by the goroutine that gives orders.
	progress   Progress
	schedule   *Schedule
	progressOf uint64 // the fence of the tenure that both belong to

	mu     sync.Mutex
	tenure *Tenure // nil while the lease isn't held
	rounds uint64  // begun since the start of the process

	sent, failed *metrics.Counter
}

// New returns an Executor; it does nothing until Run.
func New(cfg Config) (*Executor, error) {
	c, err := chart.Load(executorChart)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cfg.Policy = cfg.Policy.WithDefaults()
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Candidate == nil {
		cfg.Candidate = func() bool { return true }
	}
	if cfg.Incarnation == nil {
		cfg.Incarnation = func(string) string { return "" }
	}
	if cfg.Random == nil {
		cfg.Random = func() float64 { return 0.5 }
	}
	return &Executor{
		cfg:     cfg,
		machine: c.New(),
		sent:    cfg.Metrics.GetOrCreateCounter("wigeon_orders_sent_total"),
		failed:  cfg.Metrics.GetOrCreateCounter("wigeon_orders_failed_total"),
	}, nil
}

// Run gives orders until ctx ends, then gives the lease up. The lease is kept
// by a goroutine of its own: a round may wait long for engines that don't
// answer, and a lease that lapsed over that would cost the wait of a new tenure.
func (e *Executor) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return e.every(ctx, e.keepLease) })
	g.Go(func() error { return e.every(ctx, e.round) })
	err := g.Wait()
	e.stop()
	return err
}

func (e *Executor) every(ctx context.Context, f func(context.Context)) error {
	t := time.NewTicker(e.cfg.Policy.Interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Dump tells the state for the dump of the process.
func (e *Executor) Dump() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := struct {
		Holding bool      `json:"holding"`
		Fence   uint64    `json:"fence,omitempty"`
		Until   time.Time `json:"until,omitzero"`
		Quiet   time.Time `json:"quiet_until,omitzero"`
		Rounds  uint64    `json:"rounds"`
	}{Holding: e.tenure != nil, Rounds: e.rounds}
	if e.tenure != nil {
		d.Fence, d.Until, d.Quiet = e.tenure.Fence, e.tenure.until, e.tenure.quiet
	}
	return d
}

// keepLease tries for the lease or keeps it.
func (e *Executor) keepLease(ctx context.Context) {
	if !e.holding() && e.mayTry(time.Now()) {
		e.acquire(ctx)
	}
	if e.holding() {
		e.keep(ctx)
	}
}

func (e *Executor) fence() (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tenure == nil {
		return 0, false
	}
	return e.tenure.Fence, true
}

func (e *Executor) holding() bool {
	_, ok := e.fence()
	return ok
}

// mayTry spaces the tries for the lease, so that waiting routers cost little.
func (e *Executor) mayTry(now time.Time) bool {
	if now.Before(e.nextTry) || !e.cfg.Candidate() || !e.cfg.UpToDate() {
		return false
	}
	third := float64(e.cfg.Policy.TTL) / 3
	e.nextTry = now.Add(time.Duration(third * (0.5 + e.cfg.Random())))
	return true
}

func (e *Executor) acquire(ctx context.Context) {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Policy.OrderDeadline)
	defer cancel()
	h, ok, err := e.cfg.Lease.Acquire(ctx, e.cfg.Policy.TTL)
	if err != nil || !ok {
		return
	}
	e.mu.Lock()
	e.held = h
	e.tenure = NewTenure(e.cfg.Policy, h.Fence, asked, time.Now())
	e.mu.Unlock()
	e.fire("acquired")
	e.cfg.Events.Emit(event.OrderLeaseHeld, "fence", h.Fence)
}

// keep renews the lease in time and ends the tenure when that fails.
func (e *Executor) keep(ctx context.Context) {
	asked := time.Now()
	e.mu.Lock()
	t := *e.tenure
	e.mu.Unlock()
	if t.Expired(asked) {
		e.lost("it lapsed by this node's clock")
		return
	}
	if e.machine.State() == "quiet" && !t.InQuietPeriod(asked) {
		e.fire("quiet-over")
	}
	if !t.RenewDue(asked) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, t.ValidUntil())
	defer cancel()
	err := e.cfg.Lease.Renew(ctx, e.held)
	if errors.Is(err, ErrLeaseLost) {
		e.lost("the service no longer has it")
		return
	}
	if err == nil {
		e.mu.Lock()
		e.tenure.RecordRenewal(asked)
		e.mu.Unlock()
	}
}

func (e *Executor) lost(why string) {
	e.mu.Lock()
	fence := e.tenure.Fence
	e.tenure = nil
	e.mu.Unlock()
	e.fire("lapsed")
	e.cfg.Events.Emit(event.OrderLeaseLost, "fence", fence, "reason", why)
}

func (e *Executor) stop() {
	e.mu.Lock()
	held := e.tenure != nil
	e.tenure = nil
	e.mu.Unlock()
	e.fire("stop")
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Policy.OrderDeadline)
	defer cancel()
	// A lease that can't be given up lapses by itself.
	_ = e.cfg.Lease.Release(ctx, e.held)
}

// fire moves the state chart. One that doesn't allow the event is a fault of
// this package; the tenure, not the chart, guards the orders.
func (e *Executor) fire(name string) {
	if err := e.machine.Fire(name); err != nil {
		e.cfg.Events.Emit(event.OrderFailed, "error", err)
	}
}

func (e *Executor) send(ctx context.Context, steps []Step) {
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for _, s := range steps {
		g.Go(func() error {
			e.sendOne(ctx, s)
			return nil
		})
	}
	_ = g.Wait()
}

// sendOne asks the tenure again right before the order leaves, since this
// process may have been paused since the round began.
func (e *Executor) sendOne(ctx context.Context, s Step) {
	deadline, fence, ok := e.permit(s.Backend)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s.Order.Fence = fence
	_, err := e.cfg.Backends.Order(ctx, s.Backend, s.Order)
	if errors.Is(err, ErrStale) {
		e.failed.Inc()
		e.cfg.Events.Emit(event.OrderFailed, "backend", s.Backend.ID, "fence", fence, "error", err)
		return
	}
	if err != nil {
		e.failed.Inc()
		e.cfg.Events.Emit(event.OrderFailed, "backend", s.Backend.ID, "error", err)
		return
	}
	e.mu.Lock()
	if e.tenure != nil && e.tenure.Fence == fence {
		e.tenure.RecordAnswer(s.Backend)
	}
	e.mu.Unlock()
	e.sent.Inc()
	e.cfg.Events.Emit(event.OrderSent, "backend", s.Backend.ID, "fence", fence, "plan", s.Order.Plan, "desired", fmt.Sprint(s.Order.Desired))
}

// permit asks the tenure whether an order may leave now, and until when.
func (e *Executor) permit(b fleet.Backend) (time.Time, uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tenure == nil {
		return time.Time{}, 0, false
	}
	deadline, ok := e.tenure.PermitSend(time.Now(), b)
	return deadline, e.tenure.Fence, ok
}
