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

// rememberFor is how long an ended stream can still be attached to or cancelled.
const rememberFor = 15 * time.Second

// bytesPerToken converts prompt bytes into prefilled tokens for the record.
const bytesPerToken = 4

// Engine is one stand-in engine.
type Engine struct {
	cfg    Config
	loader Loader
	server *fault.Server
	shots  shots
	slow   atomic.Int64 // additional nanoseconds per step
	clock  atomic.Int64 // milliseconds by which its clock is ahead

	mu          sync.Mutex
	rng         *rand.Rand
	stop        context.CancelFunc // ends the present incarnation
	ctx         context.Context
	frozen      chan struct{} // non-nil while frozen; closed by thaw
	wake        chan struct{} // tells an idle step loop of new work
	incarnation string
	streams     map[key]*stream
	waiting     []*stream
	running     []*stream
	arrivals    int
	prefillEnd  time.Time // until when earlier prefills keep the engine busy
	cache       *cache
	order       order
	samples     []fleet.LoadReport
	past        []StreamRecord // streams that are no longer remembered
	refused     int            // requests refused since the engine leaves
	fences      []uint64       // of the orders followed
}

// New prepares an engine; loader may be nil, which makes loads instant.
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

// ID is the backend id.
func (e *Engine) ID() string { return e.cfg.ID }

// Addr is the engine's own address.
func (e *Engine) Addr() string { return e.server.Addr() }

// Config returns the engine's configuration with its defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// Start begins a new incarnation, which knows nothing of earlier ones.
func (e *Engine) Start() error {
	e.Kill()
	e.mu.Lock()
	ctx, stop := context.WithCancel(context.Background())
	e.ctx, e.stop = ctx, stop
	e.incarnation = fmt.Sprintf("%s-%08x", e.cfg.ID, e.rng.Uint32())
	e.streams = make(map[key]*stream)
	e.waiting, e.running = nil, nil
	e.prefillEnd = time.Time{}
	e.cache = newCache(e.cfg.CacheBlocks, e.cfg.EventsDropPercent, e.rng)
	e.order = newOrder(e.cfg.Serves)
	e.samples = nil
	e.sample(time.Now())
	decode := e.cfg.step()
	e.mu.Unlock()
	e.slow.Store(0)
	if err := e.server.Start(); err != nil {
		stop()
		return Error.Wrap(err)
	}
	go e.loop(ctx, decode)
	return nil
}

// Kill resets all connections, refuses new ones and forgets all streams.
func (e *Engine) Kill() {
	e.Thaw()
	e.server.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stop != nil {
		e.stop()
	}
	now := time.Now()
	for k, s := range e.streams {
		s.cancel("killed", now)
		e.past = append(e.past, e.recordOf(s))
		delete(e.streams, k)
	}
	e.waiting, e.running = nil, nil
}

// Freeze pauses the engine as a stopped process would be: the kernel goes on
// accepting connections, but nothing answers and no step runs.
func (e *Engine) Freeze() {
	e.server.Listener.Cut()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen engine go on as if nothing had happened.
func (e *Engine) Thaw() {
	e.mu.Lock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
	e.mu.Unlock()
	e.server.Listener.Heal()
}

// loop runs the decode steps of one incarnation. It keeps their rhythm exact
// over time, and slows down while there is no work.
func (e *Engine) loop(ctx context.Context, decode time.Duration) {
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
		step := decode + time.Duration(e.slow.Load())
		if now.Sub(next) > step {
			next = now // after idling or overload, lost steps are not made up for
		}
		busy, frozen := e.step(ctx, now)
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
			wait = max(wait, idleStep)
		}
		timer.Reset(wait)
	}
}

// step advances every running stream by one token.
func (e *Engine) step(ctx context.Context, now time.Time) (busy bool, frozen <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		return true, e.frozen
	}
	if ctx.Err() != nil {
		return false, nil
	}
	e.dropAbandoned(now)
	e.admit(now)
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool {
		if s.stalled || now.Before(s.readyAt) {
			return false
		}
		return s.advance(uint16(e.rng.Uint32()), now)
	})
	e.sample(now)
	return len(e.running)+len(e.waiting) > 0, nil
}

// admit moves waiting streams into the batch: by priority, then by arrival.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxRunning {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		hits := e.cache.use(s.blocks, now)
		cost := s.pieces - hits
		s.prefilled = cost * fleet.BlockBytes / bytesPerToken
		if e.prefillEnd.Before(now) {
			e.prefillEnd = now
		}
		e.prefillEnd = e.prefillEnd.Add(e.cfg.prefill(cost))
		s.readyAt = e.prefillEnd
		e.running = append(e.running, s)
	}
}

// enqueue keeps the waiting queue in its order.
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

func (e *Engine) dropAbandoned(now time.Time) {
	for _, s := range slices.Concat(e.running, e.waiting) {
		if s.abandoned(now) {
			e.end(s, "linger", now)
		}
	}
}

// end cancels a stream and takes it out of the batch and the queue.
func (e *Engine) end(s *stream, reason string, now time.Time) int {
	same := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	return s.cancel(reason, now)
}

// sample takes a load report and forgets what is older than any reader needs.
func (e *Engine) sample(now time.Time) {
	lag := fault.Millis(e.cfg.ReportLagMS)
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].AsOf()) < max(lag/4, idleStep) {
		return
	}
	e.samples = append(e.samples, e.report(now))
	for len(e.samples) > 1 && now.Sub(e.samples[1].AsOf()) >= lag {
		e.samples = e.samples[1:]
	}
	e.expire(now)
}

// expire moves long ended streams from memory into the record.
func (e *Engine) expire(now time.Time) {
	for k, s := range e.streams {
		if s.expired(now) {
			e.past = append(e.past, e.recordOf(s))
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
	}
}
