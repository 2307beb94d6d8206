// Package mirror keeps a copy of all that lies under a prefix of the platform's
// store, and tells of each change.
//
// Failure story: a call that waits for changes is the place where a node loses
// touch without a word. The store drops its history; a connection falls silent
// for good while new ones work; the store is down, or turns away this node and
// serves others. So each call has a bound of its own, a failed one is followed
// by a fresh connection, and after lost history the whole prefix is read anew.
// Entries that lapsed while the store was away come back with it: what went
// missing then is held to be doubtful for a while, not gone.
//
// Few nodes read the store; the others are told by their neighbours (Delta,
// Merge), which also serves a node that the store turns away. Age says how old a
// node's knowledge may be, so that one that nobody tells reads by itself.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/infra"
)

// Error is the class of this package's errors.
var Error = errs.Class("mirror")

// Mirror follows one prefix.
type Mirror struct {
	cfg   Config
	store Store
	retry time.Duration // of Run's goroutine, as is pages
	pages *reading      // nil unless all items are being read
	lost  atomic.Bool   // the latest call failed
	due   atomic.Bool   // Catch asked for a call

	mu       sync.Mutex
	state    state
	synced   bool      // the state is complete up to state.newest
	answered time.Time // of the last answer of the store
	doubts   doubts    // of what goes missing now

	calls, failures *metrics.Counter
}

// New returns a Mirror that tells out what it finds, once Run is called.
func New(store Store, out Receiver, cfg Config) *Mirror {
	cfg = cfg.withDefaults()
	return &Mirror{
		cfg:      cfg,
		store:    store,
		state:    newState(contained{out, cfg.Log}),
		calls:    cfg.Set.GetOrCreateCounter("wigeon_mirror_calls_total"),
		failures: cfg.Set.GetOrCreateCounter("wigeon_mirror_failures_total"),
	}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := idle
		if m.due.Swap(false) || !m.Synced() || m.cfg.IsReader() {
			pause = m.read(ctx)
		}
		m.settleDoubt(time.Now())
		clock.Sleep(ctx, pause)
	}
	return nil
}

// read makes one call and returns how long to wait before the next.
func (m *Mirror) read(ctx context.Context) time.Duration {
	m.calls.Inc()
	err := m.step(ctx)
	switch {
	case ctx.Err() != nil:
		return 0
	case err != nil:
		return m.failed(err)
	}
	m.regained()
	return m.cfg.Pause
}

func (m *Mirror) step(ctx context.Context) error {
	if m.pages != nil || !m.Synced() {
		return m.readAll(ctx)
	}
	m.mu.Lock()
	at := m.state.newest
	m.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, m.cfg.Wait+m.cfg.Slack)
	defer stop()
	events, now, err := m.store.Changes(ctx, m.cfg.Prefix, at, m.cfg.Wait)
	if errors.Is(err, infra.ErrCompacted) {
		m.cfg.Log.Emit(event.StoreHistoryLost, "after", at)
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.change(func() { m.apply(events, now) })
	return nil
}

// apply takes in the changes up to a revision.
func (m *Mirror) apply(events []infra.WatchEvent, upTo int64) {
	m.answered = time.Now()
	for _, e := range events {
		if e.Deleted {
			m.state.remove(e.Value.Key, e.Value.ModRev, m.doubts)
		} else {
			m.state.put(e.Value)
		}
	}
	m.state.reach(upTo)
}

// CatchUp has Run make one call soon, also at a node that doesn't read.
func (m *Mirror) CatchUp() { m.due.Store(true) }

// change applies f, and tells of what it changed.
func (m *Mirror) change(f func()) {
	m.mu.Lock()
	before := m.state.newest
	f()
	m.state.settle()
	news := m.state.newest != before
	m.mu.Unlock()
	if news {
		m.cfg.OnUpdate()
	}
}

// Synced tells whether everything has been read once, here or by a neighbour.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Newest is the revision up to which this node knows all changes.
func (m *Mirror) Newest() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.newest
}

// Age is how long ago the store last answered this node.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answered.IsZero() {
		return neverAnswered
	}
	return now.Sub(m.answered)
}

// neverAnswered is the age of what the store has never told.
const neverAnswered = time.Hour

// Delta answers a neighbour's question. It is empty when this node has nothing
// newer, or isn't complete itself.
func (m *Mirror) Delta(q DeltaRequest) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || m.state.newest <= q.After {
		return Delta{}
	}
	return m.state.delta(q)
}

// Merge takes in a neighbour's Delta, which was made for this node's Newest or an
// earlier one. One that is Full must hold all pages; one that is Uncovered holds
// nothing.
func (m *Mirror) Merge(d Delta) {
	m.change(func() {
		m.state.merge(d, time.Now().Add(m.cfg.ConfirmAfter))
		m.synced = m.synced || d.Full
	})
}

// settleDoubt takes for gone what did not come back.
func (m *Mirror) settleDoubt(now time.Time) {
	m.change(func() {
		if !m.doubts.end.IsZero() && !now.Before(m.doubts.end) {
			m.doubts = doubts{}
		}
		m.state.dropDoubted(now)
	})
}

// failed notes a failed call and returns how long to wait before the next.
func (m *Mirror) failed(err error) time.Duration {
	m.failures.Inc()
	m.store.Reset()
	if !m.lost.Swap(true) {
		m.cfg.Log.Emit(event.StoreLost, "newest", m.Newest(), "err", err)
		m.retry = minRetry
	}
	m.mu.Lock()
	m.doubts = doubts{on: true}
	m.mu.Unlock()
	m.retry = min(2*m.retry, maxRetry)
	// Nodes that failed together come back apart.
	return m.retry/2 + rand.N(m.retry/2)
}

func (m *Mirror) regained() {
	if !m.lost.Swap(false) {
		return
	}
	m.mu.Lock()
	m.doubts.end = time.Now().Add(m.cfg.ConfirmAfter)
	m.state.setDoubtEnd(m.doubts.end)
	m.mu.Unlock()
	m.cfg.Log.Emit(event.StoreRegained, "newest", m.Newest())
}
