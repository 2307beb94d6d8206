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
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/infra"
)

// Error is the class of this package's errors.
var Error = errs.Class("mirror")

// Store is the part of the platform's store that a Mirror reads.
type Store interface {
	// Snapshot reads all items under prefix. Changes after revision at may be
	// missing from it.
	Snapshot(ctx context.Context, prefix string) (items []infra.Value, at int64, err error)
	// Changes waits up to wait for changes after a revision. It fails with
	// infra.ErrCompacted when they are no longer known.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (events []infra.WatchEvent, at int64, err error)
	// Reset drops all connections, so that the next call has a fresh one.
	Reset()
}

// Receiver is told what the mirror holds. Calls come one at a time, and must not
// call the Mirror.
type Receiver interface {
	// Put tells of a new or changed item.
	Put(v infra.Value)
	// Gone tells that the item has been removed.
	Gone(key string)
	// Settled follows each batch of Put and Gone calls.
	Settled()
}

// Config of a Mirror. Zero durations mean the defaults.
type Config struct {
	Prefix string
	// Wait is how long one call may wait for a change. It bounds the age of what
	// a reader knows, and with it that of what it tells others.
	Wait time.Duration
	// Slack is added to Wait for the answer to arrive.
	Slack time.Duration
	// Pause between two calls joins changes that come in series.
	Pause time.Duration
	// Timeout bounds a read of all items.
	Timeout time.Duration
	// Doubt is how long after an outage a missing item may still come back.
	Doubt time.Duration
	// Reads tells whether this node reads the store; nil means always. Until it
	// has read everything once, it does in any case.
	Reads func() bool
	// OnNews, if set, is called after changes; it must not block.
	OnNews func()
	Log    *event.Log
	Set    *metrics.Set
}

// Defaults of Config.
const (
	defaultWait    = 800 * time.Millisecond
	defaultSlack   = 400 * time.Millisecond
	defaultPause   = 300 * time.Millisecond
	defaultTimeout = 1500 * time.Millisecond
	defaultDoubt   = 2 * time.Second
	// idle is how often a node that doesn't read looks whether it has to.
	idle     = 100 * time.Millisecond
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&c.Wait, defaultWait)
	set(&c.Slack, defaultSlack)
	set(&c.Pause, defaultPause)
	set(&c.Timeout, defaultTimeout)
	set(&c.Doubt, defaultDoubt)
	if c.Reads == nil {
		c.Reads = func() bool { return true }
	}
	if c.OnNews == nil {
		c.OnNews = func() {}
	}
	if c.Set == nil {
		c.Set = metrics.NewSet()
	}
	return c
}

// Mirror follows one prefix.
type Mirror struct {
	cfg   Config
	store Store
	lost  bool // the latest call failed; of Run's goroutine
	retry time.Duration

	mu       sync.Mutex
	state    state
	synced   bool      // the state is complete up to state.at
	answered time.Time // of the last answer of the store
	doubtEnd time.Time
	doubting bool // what goes missing now may come back

	calls, failures *metrics.Counter
}

// New returns a Mirror that tells out what it finds, once Run is called.
func New(store Store, out Receiver, cfg Config) *Mirror {
	cfg = cfg.withDefaults()
	return &Mirror{
		cfg:      cfg,
		store:    store,
		state:    newState(out),
		calls:    cfg.Set.GetOrCreateCounter("wigeon_mirror_calls_total"),
		failures: cfg.Set.GetOrCreateCounter("wigeon_mirror_failures_total"),
	}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := idle
		if !m.Synced() || m.cfg.Reads() {
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
	if !m.Synced() {
		return m.readAll(ctx)
	}
	m.mu.Lock()
	at := m.state.at
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
	m.change(func() {
		m.answered = time.Now()
		for _, e := range events {
			if e.Deleted {
				m.state.remove(e.Value.Key, e.Value.ModRev, m.doubting)
			} else {
				m.state.put(e.Value)
			}
		}
		m.state.reach(now)
	})
	return nil
}

func (m *Mirror) readAll(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	items, at, err := m.store.Snapshot(ctx, m.cfg.Prefix)
	if err != nil {
		return err
	}
	m.change(func() {
		m.answered = time.Now()
		m.state.replace(items, at, m.doubting)
		m.synced = true
	})
	return nil
}

// change applies f, and tells of what it changed.
func (m *Mirror) change(f func()) {
	m.mu.Lock()
	before := m.state.newest
	f()
	m.state.settle()
	news := m.state.newest != before
	m.mu.Unlock()
	if news {
		m.cfg.OnNews()
	}
}

// Synced tells whether everything has been read once, here or by a neighbour.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Newest is the revision of the newest change that this node knows.
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

// Delta returns what changed after a revision; false when this node has nothing
// newer, or isn't complete itself.
func (m *Mirror) Delta(after int64) (Delta, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || m.state.newest <= after {
		return Delta{}, false
	}
	return m.state.delta(after), true
}

// Merge takes in a neighbour's Delta, which was made for this node's Newest or an
// earlier one.
func (m *Mirror) Merge(d Delta) {
	m.change(func() {
		m.state.merge(d)
		m.synced = m.synced || d.Full
	})
}

// settleDoubt takes for gone what did not come back.
func (m *Mirror) settleDoubt(now time.Time) {
	m.mu.Lock()
	over := m.doubting && !m.doubtEnd.IsZero() && !now.Before(m.doubtEnd)
	m.mu.Unlock()
	if !over {
		return
	}
	m.change(func() {
		m.doubting = false
		m.state.dropDoubted()
	})
}

// failed notes a failed call and returns how long to wait before the next.
func (m *Mirror) failed(err error) time.Duration {
	m.failures.Inc()
	m.store.Reset()
	if !m.lost {
		m.cfg.Log.Emit(event.StoreLost, "newest", m.Newest(), "err", err)
		m.retry = minRetry
	}
	m.lost = true
	m.mu.Lock()
	m.doubting, m.doubtEnd = true, time.Time{}
	m.mu.Unlock()
	m.retry = min(2*m.retry, maxRetry)
	return m.retry
}

func (m *Mirror) regained() {
	if !m.lost {
		return
	}
	m.lost = false
	m.mu.Lock()
	m.doubtEnd = time.Now().Add(m.cfg.Doubt)
	m.mu.Unlock()
	m.cfg.Log.Emit(event.StoreRegained, "newest", m.Newest())
}
