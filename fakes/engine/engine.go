package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/fakes/fault"
	"wigeondale/fleet"
)

// retention is how long clients can still attach to or cancel a stream that has ended.
const retention = 15 * time.Second

// bytesPerToken converts prompt bytes into the number of prefilled tokens in records.
const bytesPerToken = 4

// Engine is one fake engine.
type Engine struct {
	cfg         Config
	loader      Loader
	server      *fault.Server
	chunkFaults chunkFaults
	extraStep   atomic.Int64 // nanoseconds added to each step
	unfit       atomic.Pointer[unfitAnswer]
	clockOffset atomic.Int64 // milliseconds by which the engine's clock is ahead; negative if behind

	mu          sync.Mutex
	rng         *rand.Rand
	cancel      context.CancelFunc // cancels ctx, which ends the current incarnation
	ctx         context.Context
	frozen      chan struct{} // non-nil while frozen; Thaw closes it
	wake        chan struct{} // signals new work to an idle step loop
	incarnation string
	streams     map[key]*stream
	waiting     []*stream
	running     []*stream
	arrivals    int
	prefillEnd  time.Time // when the prefills admitted so far end
	cache       *cache
	order       order
	loadReports []fleet.LoadReport
	expired     []StreamRecord // records of streams that clients can no longer attach to
	asks        fault.Asks
	refused     int      // requests refused because the engine is leaving
	fences      []uint64 // fencing numbers of the orders that were followed
}

// New prepares an engine. With a nil loader, models load instantly.
func New(cfg Config, loader Loader) *Engine {
	e := &Engine{
		cfg:    cfg.withDefaults(),
		loader: loader,
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:   make(chan struct{}, 1),
	}
	e.server = fault.NewServer(cfg.Addr, e.routes())
	return e
}

// ID returns the backend id.
func (e *Engine) ID() string { return e.cfg.ID }

// Addr returns the address on which the engine listens.
func (e *Engine) Addr() string { return e.server.Addr() }

// Config returns the engine's configuration with its defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// Start starts a new incarnation, which has no state of earlier ones except the records.
func (e *Engine) Start() error {
	e.Kill()
	e.mu.Lock()
	ctx, stop := context.WithCancel(context.Background())
	e.ctx, e.cancel = ctx, stop
	e.incarnation = fmt.Sprintf("%s-%08x", e.cfg.ID, e.rng.Uint32())
	e.streams = make(map[key]*stream)
	e.waiting, e.running = nil, nil
	e.prefillEnd = time.Time{}
	e.cache = newCache(e.cfg.CacheBlocks, e.cfg.EventsDropPercent, e.rng)
	e.order = newOrder(e.cfg.Serves)
	e.loadReports = nil
	e.recordLoad(time.Now())
	baseStep := e.cfg.step()
	e.mu.Unlock()
	e.extraStep.Store(0)
	if err := e.server.Start(); err != nil {
		stop()
		return Error.Wrap(err)
	}
	go e.loop(ctx, baseStep)
	return nil
}

// Kill resets all connections, refuses new ones and cancels all streams.
func (e *Engine) Kill() {
	e.Thaw()
	e.server.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancel != nil {
		e.cancel()
	}
	now := time.Now()
	for k, s := range e.streams {
		s.cancel("killed", now)
		e.expired = append(e.expired, e.recordOf(s))
		delete(e.streams, k)
	}
	e.waiting, e.running = nil, nil
}

// Freeze pauses the engine like a stopped process: connections are still accepted and stay
// open, but nothing is answered and no step runs.
func (e *Engine) Freeze() {
	e.server.Listener.Cut()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen engine continue where it stopped.
func (e *Engine) Thaw() {
	e.mu.Lock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
	e.mu.Unlock()
	e.server.Listener.Heal()
}

// loop runs the decode steps of one incarnation. Each step is scheduled relative to the
// previous one, so that delays don't add up. While there is no work it runs less often.
func (e *Engine) loop(ctx context.Context, baseStep time.Duration) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		now := time.Now()
		if now.Before(next) {
			timer.Reset(next.Sub(now))
			continue
		}
		step := baseStep + time.Duration(e.extraStep.Load())
		if now.Sub(next) > step {
			next = now // steps missed while idle or overloaded are not made up for
		}
		busy, frozen := e.runStep(ctx, now)
		if frozen != nil {
			select {
			case <-frozen:
			case <-ctx.Done():
				return
			}
		}
		next = next.Add(step)
		wait := time.Until(next)
		if !busy {
			wait = max(wait, idleInterval)
		}
		timer.Reset(wait)
	}
}

// runStep advances every running stream by one token. It reports whether there is work.
// While the engine is frozen, it advances no stream, reports true and returns the channel
// that Thaw closes.
func (e *Engine) runStep(ctx context.Context, now time.Time) (busy bool, frozen <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		return true, e.frozen
	}
	if ctx.Err() != nil {
		return false, nil
	}
	e.cancelAbandoned(now)
	e.admit(now)
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool {
		if s.stalled || now.Before(s.readyAt) {
			return false
		}
		return s.advance(uint16(e.rng.Uint32()), now)
	})
	e.recordLoad(now)
	return len(e.running)+len(e.waiting) > 0, nil
}

// admit moves waiting streams into the batch, in the order of the queue, and adds the time of
// their prefills.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxRunning {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		hits := e.cache.lookUpAndStore(s.blocks, now)
		cost := s.blockCount - hits
		s.prefilled = cost * fleet.BlockBytes / bytesPerToken
		if e.prefillEnd.Before(now) {
			e.prefillEnd = now
		}
		e.prefillEnd = e.prefillEnd.Add(e.cfg.prefill(cost))
		s.readyAt = e.prefillEnd
		e.running = append(e.running, s)
	}
}

// enqueue inserts a stream into the waiting queue: by priority, then by arrival.
func (e *Engine) enqueue(s *stream) {
	e.arrivals++
	s.arrival = e.arrivals
	at, _ := slices.BinarySearchFunc(e.waiting, s, compareStreams)
	e.waiting = slices.Insert(e.waiting, at, s)
	e.streams[s.key] = s
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func compareStreams(a, b *stream) int {
	if a.priority != b.priority {
		return b.priority - a.priority
	}
	return a.arrival - b.arrival
}

func (e *Engine) cancelAbandoned(now time.Time) {
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.abandoned(now) {
			e.cancelStream(s, "linger", now)
		}
	}
}

// cancelStream cancels a stream and removes it from the batch and the queue. It returns how
// many tokens the stream had generated.
func (e *Engine) cancelStream(s *stream, reason string, now time.Time) int {
	isStream := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, isStream)
	e.waiting = slices.DeleteFunc(e.waiting, isStream)
	return s.cancel(reason, now)
}

// recordLoad adds a load report, unless the latest one is recent. GET /v1/load returns the
// newest report that is at least as old as the report lag; recordLoad drops the reports
// before that one. It also expires ended streams.
func (e *Engine) recordLoad(now time.Time) {
	lag := fault.Millis(e.cfg.ReportLagMS)
	if n := len(e.loadReports); n > 0 && now.Sub(e.loadReports[n-1].AsOf()) < max(lag/4, idleInterval) {
		return
	}
	e.loadReports = append(e.loadReports, e.report(now))
	for len(e.loadReports) > 1 && now.Sub(e.loadReports[1].AsOf()) >= lag {
		e.loadReports = e.loadReports[1:]
	}
	e.expireStreams(now)
}

// expireStreams moves streams that ended longer than retention ago into the records.
func (e *Engine) expireStreams(now time.Time) {
	for k, s := range e.streams {
		if s.expired(now) {
			e.expired = append(e.expired, e.recordOf(s))
			delete(e.streams, k)
		}
	}
}

func (e *Engine) report(now time.Time) fleet.LoadReport {
	return fleet.LoadReport{
		Incarnation: e.incarnation,
		AsOfUnixMS:  now.UnixMilli(),
		Running:     len(e.running),
		Waiting:     len(e.waiting),
		CacheUsed:   e.cache.order.Len(),
		CacheTotal:  e.cache.limit,
		Leaving:     e.order.leaving,
		Role:        e.order.role,
		Serves:      slices.Clone(e.order.actual),
		Software:    e.cfg.Software,
	}
}
