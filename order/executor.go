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

// parallelCalls bounds the concurrent calls to backend servers in one round.
const parallelCalls = 16

// Config configures an Executor.
type Config struct {
	Lease    Lease
	Backends Backends
	State    func() *intent.State
	UpToDate func() bool            // whether State may be acted on
	List     func() []fleet.Backend // the backend servers
	// Sizes returns the size in bytes of the weights of each placed model version. The keys
	// are the results of ModelRef.String().
	Sizes func(context.Context) map[string]int64
	// Candidate reports whether this router should try to acquire the lease; nil means that
	// the router always tries. A few candidates are enough, and each try costs the service
	// one read.
	Candidate func() bool
	// Incarnation returns an engine's incarnation from its last load report, or "" if there
	// is no report; nil means that no incarnation is known. An engine with a new
	// incarnation is queried immediately.
	Incarnation func(id string) string
	Random      func() float64 // 0 to 1, for jitter; nil means none
	Policy      Policy
	Events      *event.Log
	Metrics     *metrics.Set
}

// Executor sends orders while this router holds the lease.
type Executor struct {
	cfg Config

	// These fields are used only by the goroutine that acquires and renews the lease, so no
	// lock guards them.
	machine   *chart.Machine
	heldLease HeldLease
	nextTry   time.Time // earliest time of the next try to acquire the lease

	// These fields are used only by the goroutine that sends orders, so no lock guards
	// them.
	progress   Progress
	schedule   *Schedule
	progressOf uint64 // fencing number of the tenure that progress and schedule belong to

	mu     sync.Mutex
	tenure *Tenure // nil while this router doesn't hold the lease
	rounds uint64  // rounds started since the process started

	sent, failed *metrics.Counter
}

// New returns an Executor, which does nothing until Run is called.
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

// Run sends orders until ctx ends, then gives the lease up. A separate goroutine renews the
// lease, because a round may wait long for engines that don't answer; if the lease expired
// during such a round, the next tenure would have to wait before its first orders.
func (e *Executor) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return e.runEvery(ctx, e.keepLease) })
	g.Go(func() error { return e.runEvery(ctx, e.round) })
	err := g.Wait()
	e.stop()
	return err
}

func (e *Executor) runEvery(ctx context.Context, f func(context.Context)) error {
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

// Dump returns the state for the state dump of the process.
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
		d.Fence, d.Until, d.Quiet = e.tenure.Fence, e.tenure.validUntil, e.tenure.quietUntil
	}
	return d
}

// keepLease tries to acquire the lease if this router doesn't have it, and renews it
// otherwise.
func (e *Executor) keepLease(ctx context.Context) {
	if !e.holding() && e.mayAcquire(time.Now()) {
		e.acquire(ctx)
	}
	if e.holding() {
		e.renewLease(ctx)
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

// mayAcquire reports whether this router may try to acquire the lease now. It limits the
// rate of tries, so that waiting routers cost little.
func (e *Executor) mayAcquire(now time.Time) bool {
	if now.Before(e.nextTry) || !e.cfg.Candidate() || !e.cfg.UpToDate() {
		return false
	}
	third := float64(e.cfg.Policy.TTL) / 3
	e.nextTry = now.Add(time.Duration(third * (0.5 + e.cfg.Random())))
	return true
}

func (e *Executor) acquire(ctx context.Context) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Policy.OrderDeadline)
	defer cancel()
	h, ok, err := e.cfg.Lease.Acquire(ctx, e.cfg.Policy.TTL)
	if err != nil || !ok {
		return
	}
	e.mu.Lock()
	e.heldLease = h
	e.tenure = NewTenure(e.cfg.Policy, h.Fence, startedAt, time.Now())
	e.mu.Unlock()
	e.fireChartEvent("acquired")
	e.cfg.Events.Emit(event.OrderLeaseHeld, "fence", h.Fence)
}

// renewLease renews the lease when that is due, and ends the tenure when the lease is
// lost.
func (e *Executor) renewLease(ctx context.Context) {
	startedAt := time.Now()
	e.mu.Lock()
	t := *e.tenure
	e.mu.Unlock()
	if t.Expired(startedAt) {
		e.endTenure("the lease expired by this node's clock")
		return
	}
	if e.machine.State() == "quiet" && !t.InQuietPeriod(startedAt) {
		e.fireChartEvent("quiet-over")
	}
	if !t.RenewDue(startedAt) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, t.ValidUntil())
	defer cancel()
	err := e.cfg.Lease.Renew(ctx, e.heldLease)
	if errors.Is(err, ErrLeaseLost) {
		e.endTenure("the service no longer has the lease")
		return
	}
	if err == nil {
		e.mu.Lock()
		e.tenure.RecordRenewal(startedAt)
		e.mu.Unlock()
	}
}

func (e *Executor) endTenure(reason string) {
	e.mu.Lock()
	fence := e.tenure.Fence
	e.tenure = nil
	e.mu.Unlock()
	e.fireChartEvent("lapsed")
	e.cfg.Events.Emit(event.OrderLeaseLost, "fence", fence, "reason", reason)
}

func (e *Executor) stop() {
	e.mu.Lock()
	wasHeld := e.tenure != nil
	e.tenure = nil
	e.mu.Unlock()
	e.fireChartEvent("stop")
	if !wasHeld {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.Policy.OrderDeadline)
	defer cancel()
	// A failed Release is ignored, because the lease then expires by itself.
	_ = e.cfg.Lease.Release(ctx, e.heldLease)
}

// fireChartEvent changes the state of the chart. An event that the chart doesn't allow is a
// bug in this package. The tenure, not the chart, decides whether an order may be sent.
func (e *Executor) fireChartEvent(name string) {
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

// sendOne checks the tenure again directly before it sends the order, because this
// process may have been paused since the round started.
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

// permit reports whether an order to b may be sent now, and returns the order's deadline
// and fencing number. It returns false when this router has no tenure or Tenure.PermitSend
// refuses the order.
func (e *Executor) permit(b fleet.Backend) (time.Time, uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.tenure == nil {
		return time.Time{}, 0, false
	}
	deadline, ok := e.tenure.PermitSend(time.Now(), b)
	return deadline, e.tenure.Fence, ok
}
