// Package mirror keeps a copy of all items under a prefix of the platform's store, and
// notifies a Receiver of each change.
//
// While a call waits for changes, a node can lose contact with the store without noticing:
// the store drops its history; a connection stays silent for good while new connections
// work; or the store is down, or rejects this node and serves other nodes. So each call of
// the store has a timeout of its own, the call after a failed call uses a new connection,
// and after a loss of history the whole prefix is read again. Items that expired during an
// outage of the store are written again by their owners soon after the store works again.
// Therefore items that are missing after an outage are unconfirmed removals for a while
// (Config.ConfirmAfter), and count as removed only if they have not been written again by
// then.
//
// Few nodes read the store; the others get changes from their neighbours (Delta, Merge).
// In this way a node that the store rejects gets the changes as well. Age reports how long
// ago the store last answered this node. The state of a node that gets no changes from
// neighbours may be as old as that, so such a node can decide by Age to read the store
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
	"wigeondale/fleet"
	"wigeondale/infra"
)

// Error is the class of this package's errors.
var Error = errs.Class("mirror")

// Mirror keeps a copy of the items under one prefix of the store.
type Mirror struct {
	cfg           Config
	store         Store
	failing       atomic.Bool // set if the latest call failed
	callRequested atomic.Bool // set if CatchUp has requested a call
	// filterRequested is set if ReadFilter has requested a read of the filter.
	filterRequested atomic.Bool

	// Only the goroutine of Run uses the following fields.
	retryDelay    time.Duration
	timeoutFactor int       // see Config.Timeout
	partial       *fullRead // nil if no read of all items is in progress
	bulkDeadline  time.Time // when this node stops waiting for its neighbours to send all items; zero: it doesn't wait
	peersDeadline time.Time // until when this node looks for neighbours before it reads all items

	mu            sync.Mutex
	state         state
	synced        bool          // the state is complete up to state.newest
	behind        bool          // the store no longer has the changes after state.newest
	lastAnswer    time.Time     // when the store last answered
	era           int64         // latest era of which Config.OnReturn knows
	started       bool          // this node has received all items, at latest in era
	missingPolicy removalPolicy // how items that go missing now are treated

	calls, failures *metrics.Counter
}

// New returns a Mirror that passes items to out once Run is called.
func New(store Store, out Receiver, cfg Config) *Mirror {
	cfg = cfg.withDefaults()
	s := newState(panicGuard{out, cfg.Log, cfg.Set.GetOrCreateCounter("wigeon_mirror_items_failed_total")})
	s.filterKey, s.newFilter, s.log, s.newer, s.bulk = cfg.FilterKey, cfg.NewFilter, cfg.Log, cfg.Newer, cfg.Bulk
	return &Mirror{
		cfg:           cfg,
		store:         store,
		state:         s,
		timeoutFactor: 1,
		calls:         cfg.Set.GetOrCreateCounter("wigeon_mirror_calls_total"),
		failures:      cfg.Set.GetOrCreateCounter("wigeon_mirror_failures_total"),
	}
}

// Run keeps the copy up to date until ctx ends: it calls the store while this node reads
// the store, and removes the items whose unconfirmed removal has ended.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := idlePoll
		if m.readsNow(time.Now()) {
			pause = m.read(ctx)
		}
		m.confirmRemovals(time.Now())
		clock.Sleep(ctx, pause)
	}
	return nil
}

// readsNow reports whether this node calls the store now.
func (m *Mirror) readsNow(now time.Time) bool {
	requested := m.callRequested.Swap(false) || m.filterRequested.Load()
	switch {
	case !m.needsFullRead():
		m.bulkDeadline = time.Time{}
		return requested || m.cfg.IsReader()
	case m.bulkDeadline.IsZero():
		return true
	}
	return m.waitEnds(now) || m.cfg.NeedsPeers()
}

// needsFullRead reports whether this node has to read all items: it has not received them
// once, the store no longer has the changes since, or the node is one of those that read what
// the nodes lack after a change of the filter.
func (m *Mirror) needsFullRead() bool {
	m.mu.Lock()
	needed, lacks := !m.synced || m.behind, m.state.filter.lacking
	m.mu.Unlock()
	return needed || lacks && m.cfg.ReadsBulk()
}

// Lacks reports whether this node lacks items that its filter keeps.
func (m *Mirror) Lacks() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.filter.lacking
}

// read makes one call of the store, or one attempt to read all items, and returns how
// long to wait before the next call.
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
	if m.seeksPeers(time.Now()) {
		return peersPoll
	}
	return m.cfg.Pause
}

func (m *Mirror) fetch(ctx context.Context) error {
	if m.seeksPeers(time.Now()) {
		return m.readPeers(ctx)
	}
	if m.filterRequested.Swap(false) {
		return m.readFilter(ctx)
	}
	if m.partial != nil || m.needsFullRead() {
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
		m.mu.Lock()
		m.behind = true
		m.mu.Unlock()
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	if len(events) >= bulkChanges && m.cfg.Bulk != "" && m.cfg.NeedsPeers() {
		m.waitForBulk()
		return nil
	}
	m.update(func() {
		m.cfg.InOrder(true)
		defer m.cfg.InOrder(false)
		m.apply(events, now)
	})
	return nil
}

// apply applies changes that the store returned, which are complete up to the revision
// upTo.
func (m *Mirror) apply(events []infra.WatchEvent, upTo fleet.Revision) {
	m.lastAnswer = time.Now()
	for _, e := range events {
		if e.Deleted {
			if m.state.unknownToAll(e.Value.Key) {
				continue
			}
			m.state.remove(e.Value.Key, e.Value.ModRev, m.missingPolicy)
		} else {
			m.state.put(e.Value)
		}
	}
	m.state.advance(upTo)
}

// ReadFilter makes Run read the item that defines the filter, soon, so that the filter is in
// force before the changes that were made earlier arrive. When a large fleet starts, there are
// thousands of these.
func (m *Mirror) ReadFilter() { m.filterRequested.Store(true) }

// CatchUp makes Run read the store once, soon, even if IsReader reports that this node
// doesn't read the store.
func (m *Mirror) CatchUp() { m.callRequested.Store(true) }

// update runs f with the state locked. If f passed items to the receiver, it then
// notifies the receiver that the batch is complete. If the revision advanced, it calls
// OnUpdate without the lock.
func (m *Mirror) update(f func()) {
	m.mu.Lock()
	before := m.state.newest
	f()
	m.state.flush()
	advanced := m.state.newest != before
	m.mu.Unlock()
	if advanced {
		m.cfg.OnUpdate()
		m.takeReturned()
	}
}

// Synced reports whether this node has received all items once, from the store or from
// a neighbour.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Newest returns the revision up to which this node has all changes.
func (m *Mirror) Newest() fleet.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.newest
}

// Age returns how long ago the store last answered this node, or neverAnswered if the
// store never did.
func (m *Mirror) Age(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastAnswer.IsZero() {
		return neverAnswered
	}
	return now.Sub(m.lastAnswer)
}

// neverAnswered is the age that Age returns if the store has never answered.
const neverAnswered = time.Hour

// callFailed records a failed call, drops the connections and returns how long to wait
// before the next call.
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
	// The random wait spreads the retries of nodes whose calls failed at the same time.
	return m.retryDelay/2 + rand.N(m.retryDelay/2)
}

func (m *Mirror) callSucceeded() {
	m.timeoutFactor = 1
	if !m.failing.Swap(false) {
		return
	}
	m.mu.Lock()
	m.missingPolicy.until = time.Now().Add(m.cfg.ConfirmAfter)
	m.state.setUnconfirmedEnd(m.missingPolicy.until)
	m.mu.Unlock()
	m.cfg.Log.Emit(event.StoreRegained, "newest", m.Newest())
}
