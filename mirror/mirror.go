// Package mirror keeps a copy of all items under a prefix of the platform's store, and
// notifies a Receiver of each change.
//
// A call that waits for changes is where a node can lose contact without noticing it.
// The store drops its history; a connection stays silent for good while new ones work;
// the store is down, or rejects this node and serves others. So each call has a bound
// of its own, a failed call is followed by a new connection, and after a loss of
// history the whole prefix is read again. Entries that expired during an outage of the
// store come back when it does: items missing after an outage are unconfirmed removals
// for a while, and only then count as removed.
//
// Few nodes read the store; the others get changes from their neighbours (Delta,
// Merge). This also serves a node that the store rejects. Age is how old a node's state
// may be, so that a node that gets no changes from neighbours can read the store
// itself.
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
	cfg           Config
	store         Store
	retryDelay    time.Duration // used by Run's goroutine only, as is partial
	partial       *fullRead     // nil unless a read of all items is in progress
	failing       atomic.Bool   // the latest call failed
	callRequested atomic.Bool   // CatchUp requested a call

	mu            sync.Mutex
	state         state
	synced        bool          // the state is complete up to state.newest
	lastAnswer    time.Time     // when the store last answered
	missingPolicy removalPolicy // how items are treated that go missing now

	calls, failures *metrics.Counter
}

// New returns a Mirror that passes items to out once Run is called.
func New(store Store, out Receiver, cfg Config) *Mirror {
	cfg = cfg.withDefaults()
	return &Mirror{
		cfg:      cfg,
		store:    store,
		state:    newState(panicGuard{out, cfg.Log}),
		calls:    cfg.Set.GetOrCreateCounter("wigeon_mirror_calls_total"),
		failures: cfg.Set.GetOrCreateCounter("wigeon_mirror_failures_total"),
	}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := idlePoll
		if m.callRequested.Swap(false) || !m.Synced() || m.cfg.IsReader() {
			pause = m.read(ctx)
		}
		m.confirmRemovals(time.Now())
		clock.Sleep(ctx, pause)
	}
	return nil
}

// read makes one call and returns how long to wait before the next.
func (m *Mirror) read(ctx context.Context) time.Duration {
	m.calls.Inc()
	err := m.fetch(ctx)
	switch {
	case ctx.Err() != nil:
		return 0
	case err != nil:
		return m.callFailed(err)
	}
	m.callSucceeded()
	return m.cfg.Pause
}

func (m *Mirror) fetch(ctx context.Context) error {
	if m.partial != nil || !m.Synced() {
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
	m.update(func() { m.apply(events, now) })
	return nil
}

// apply applies the changes up to a revision.
func (m *Mirror) apply(events []infra.WatchEvent, upTo int64) {
	m.lastAnswer = time.Now()
	for _, e := range events {
		if e.Deleted {
			m.state.remove(e.Value.Key, e.Value.ModRev, m.missingPolicy)
		} else {
			m.state.put(e.Value)
		}
	}
	m.state.advance(upTo)
}

// CatchUp makes Run call the store once soon, even at a node that doesn't read it.
func (m *Mirror) CatchUp() { m.callRequested.Store(true) }

// update runs f with the state locked, then notifies the receiver that the batch is complete
// and, if the revision advanced, calls OnUpdate.
func (m *Mirror) update(f func()) {
	m.mu.Lock()
	before := m.state.newest
	f()
	m.state.flush()
	advanced := m.state.newest != before
	m.mu.Unlock()
	if advanced {
		m.cfg.OnUpdate()
	}
}

// Synced reports whether all items have been received once, from the store or a
// neighbour.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Newest is the revision up to which this node has all changes.
func (m *Mirror) Newest() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.newest
}

// Age is how long ago the store last answered this node.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastAnswer.IsZero() {
		return neverAnswered
	}
	return now.Sub(m.lastAnswer)
}

// neverAnswered is the age when the store has never answered.
const neverAnswered = time.Hour

// Delta responds to a neighbour's request. It is empty when this node has nothing
// newer, or isn't complete itself.
func (m *Mirror) Delta(req DeltaRequest) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || m.state.newest <= req.After {
		return Delta{}
	}
	return m.state.delta(req)
}

// Merge applies a neighbour's Delta, which was made for this node's Newest or an
// earlier revision. A Full one must contain all pages; one with RemovalsUnknown contains
// nothing.
func (m *Mirror) Merge(d Delta) {
	m.update(func() {
		m.state.merge(d, time.Now().Add(m.cfg.ConfirmAfter))
		m.synced = m.synced || d.Full
	})
}

// confirmRemovals removes the items that have not come back in time.
func (m *Mirror) confirmRemovals(now time.Time) {
	m.update(func() {
		if !m.missingPolicy.until.IsZero() && !now.Before(m.missingPolicy.until) {
			m.missingPolicy = removalPolicy{}
		}
		m.state.confirmExpired(now)
	})
}

// callFailed records a failed call and returns how long to wait before the next.
func (m *Mirror) callFailed(err error) time.Duration {
	m.failures.Inc()
	m.store.Reset()
	if !m.failing.Swap(true) {
		m.cfg.Log.Emit(event.StoreLost, "newest", m.Newest(), "err", err)
		m.retryDelay = minRetry
	}
	m.mu.Lock()
	m.missingPolicy = removalPolicy{unconfirmed: true}
	m.mu.Unlock()
	m.retryDelay = min(2*m.retryDelay, maxRetry)
	// Spreads the retries of nodes whose calls failed at the same time.
	return m.retryDelay/2 + rand.N(m.retryDelay/2)
}

func (m *Mirror) callSucceeded() {
	if !m.failing.Swap(false) {
		return
	}
	m.mu.Lock()
	m.missingPolicy.until = time.Now().Add(m.cfg.ConfirmAfter)
	m.state.setUnconfirmedEnd(m.missingPolicy.until)
	m.mu.Unlock()
	m.cfg.Log.Emit(event.StoreRegained, "newest", m.Newest())
}
