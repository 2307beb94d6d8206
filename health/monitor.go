package health

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
)

// Monitor tracks the health of the backend servers that one process uses.
type Monitor struct {
	// OnChange, set before use, is called when a backend server is ejected or
	// recovers, so that other routers can be notified. It must not block. With nil no router
	// is notified.
	OnChange func(backend, incarnation string, kind PeerReportKind)

	// RunQuerier, set before use, queries an engine before the engine is suspected for its
	// silence. It is nil where engines can't be queried; then silence alone makes an engine
	// suspect.
	RunQuerier RunQuerier

	// OnDomain, set before use, is called once when a failure domain is assumed to
	// have crashed. It must not block.
	OnDomain func(name string)

	// OnDomainAnswers, set before use, is called once when the members of a failure domain that
	// was assumed to have crashed answer again. It must not block.
	OnDomainAnswers func(name string)

	policy Policy
	log    *event.Log
	epoch  time.Time
	prior  Gaps // sampled gaps of all engines

	lastTick atomic.Int64
	pauseEnd atomic.Int64
	open     atomic.Int64 // open streams
	ejected  atomic.Int64 // engines not Healthy
	wake     chan struct{}

	mu      sync.RWMutex
	engines map[string]*engine

	// watched holds the engines that a tick has to check: engines with open streams, and
	// engines suspected recently. With thousands of known engines and a few in use, checking
	// every known engine in each tick would cost more than everything else.
	watchMu sync.Mutex
	watched map[*engine]struct{}

	domains map[string]*domain // guarded by mu

	suspects, stalls, noFirstTokens, restarts, pauses, massHolds, queries *metrics.Counter
}

// NewMonitor returns a Monitor. With a nil log all events are dropped; with a nil set the
// metrics are counted in a set that isn't exported.
func NewMonitor(policy Policy, log *event.Log, set *metrics.Set) *Monitor {
	if set == nil {
		set = metrics.NewSet()
	}
	m := &Monitor{
		policy:        policy,
		log:           log,
		epoch:         time.Now().Add(-time.Second), // so that no time is 0
		wake:          make(chan struct{}, 1),
		engines:       map[string]*engine{},
		watched:       map[*engine]struct{}{},
		domains:       map[string]*domain{},
		suspects:      set.NewCounter(`wigeon_health_cancels_total{cause="suspect"}`),
		stalls:        set.NewCounter(`wigeon_health_cancels_total{cause="stalled"}`),
		noFirstTokens: set.NewCounter(`wigeon_health_cancels_total{cause="no_first_token"}`),
		restarts:      set.NewCounter(`wigeon_health_cancels_total{cause="ended"}`),
		pauses:        set.NewCounter(`wigeon_health_pauses_total`),
		massHolds:     set.NewCounter(`wigeon_health_mass_holds_total`),
		queries:       set.NewCounter(`wigeon_health_inquiries_total`),
	}
	set.NewGauge(`wigeon_health_ejected`, func() float64 { return float64(m.ejected.Load()) })
	return m
}

func (m *Monitor) sinceEpoch(now time.Time) int64 { return int64(now.Sub(m.epoch)) }

func (m *Monitor) engine(id string) *engine {
	m.mu.RLock()
	e := m.engines[id]
	m.mu.RUnlock()
	if e != nil {
		return e
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e = m.engines[id]; e == nil {
		e = &engine{id: id}
		m.engines[id] = e
	}
	return e
}

// Forget drops the record of a backend server that left the fleet, unless the record has open
// streams.
func (m *Monitor) Forget(backend string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[backend]
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.streams) > 0 {
		return
	}
	if e.state != Healthy {
		m.ejected.Add(-1)
	}
	e.recover() // healthy, so that ticks stop checking it
	delete(m.engines, backend)
	if d := e.domain.Load(); d != nil {
		d.remove(e)
	}
}

// Restarted cancels all streams of a backend server that has restarted, with ErrRestarted: the
// runs of the backend server are lost, even if their streams fell silent only a moment ago.
func (m *Monitor) Restarted(backend string) {
	m.mu.RLock()
	e := m.engines[backend]
	m.mu.RUnlock()
	if e == nil {
		return
	}
	m.cancel(e.openStreams(ErrRestarted))
}

// Work describes the work of one attempt.
type Work struct {
	Request     string // id by which the engine identifies its run
	PromptBytes int
	Received    int // tokens of the answer that earlier attempts delivered
}

// Watch starts to monitor one attempt. The function cancel is called with one of the causes of
// this package, such as ErrSuspect or ErrStalled, when the attempt should be resumed
// elsewhere. The caller must call Close on the Stream in any case.
func (m *Monitor) Watch(backend string, work Work, cancel context.CancelCauseFunc) *Stream {
	now := m.sinceEpoch(time.Now())
	s := &Stream{monitor: m, engine: m.engine(backend), cancel: cancel, work: work, openedAt: now}
	if m.open.Add(1) == 1 {
		m.lastTick.Store(now)
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
	s.engine.add(s)
	m.watch(s.engine)
	return s
}

// watch adds e to the engines that each tick checks for silence.
func (m *Monitor) watch(e *engine) {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	m.watched[e] = struct{}{}
}

// inUse returns the engines that this tick has to check, and removes from watched the engines
// that need no check any more.
func (m *Monitor) inUse(t int64) []*engine {
	m.watchMu.Lock()
	defer m.watchMu.Unlock()
	out := make([]*engine, 0, len(m.watched))
	for e := range m.watched {
		if !e.needsCheck(t, m.policy.MassSilence) {
			delete(m.watched, e)
			continue
		}
		out = append(out, e)
	}
	return out
}

// Run evaluates the engines at each tick while streams are open, and waits while none is. It
// returns when ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		}
		if !m.watchOpen(ctx) {
			return nil
		}
	}
}

// watchOpen calls Tick at the policy's interval until no stream is open, and then returns true.
// It returns false when ctx ends.
func (m *Monitor) watchOpen(ctx context.Context) bool {
	tick := time.NewTicker(m.policy.Tick)
	defer tick.Stop()
	for m.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
			m.Tick(time.Now())
		}
	}
	return true
}
