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

// Store is the part of the platform's store that a Mirror reads.
type Store interface {
	// Page reads items under prefix whose keys are after one. With stale it may be
	// seconds old, which the store can answer at far less cost.
	Page(ctx context.Context, prefix, after string, stale bool) (infra.Page, error)
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
	// Timeout bounds the read of one page.
	Timeout time.Duration
	// Keep is how long the pages of a read that failed are of use. It must be less
	// than the time for which the store remembers changes.
	Keep time.Duration
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
	defaultKeep    = 10 * time.Second
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
	set(&c.Keep, defaultKeep)
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
		state:    newState(out),
		calls:    cfg.Set.GetOrCreateCounter("wigeon_mirror_calls_total"),
		failures: cfg.Set.GetOrCreateCounter("wigeon_mirror_failures_total"),
	}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := idle
		if m.due.Swap(false) || !m.Synced() || m.cfg.Reads() {
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

// reading is what a read of all items has brought so far.
type reading struct {
	began time.Time
	stale bool // pages may be seconds old
	items []infra.Value
	at    int64 // of the oldest page: later changes may be missing
	last  string
	all   bool // nothing follows after last
}

// readAll reads page after page. It goes on where an earlier call failed.
//
// What goes wrong when a failure throws the pages away, or when many nodes that
// start together exceed the store's rate of reads: none has all pages in time, and
// each begins anew. It shows as nodes that are not ready for half a minute. So the
// first read takes pages that may be old, of which the store grants any number, and
// then the changes since, before anything of it counts.
func (m *Mirror) readAll(ctx context.Context) error {
	if m.pages == nil || time.Since(m.pages.began) > m.cfg.Keep {
		m.pages = &reading{began: time.Now(), stale: !m.Synced()}
	}
	for !m.pages.all {
		if err := m.readPage(ctx); err != nil {
			return err
		}
	}
	r := m.pages
	events, now, err := m.since(ctx, r)
	if errors.Is(err, infra.ErrCompacted) {
		m.pages = &reading{began: time.Now()} // as new as can be
	}
	if err != nil {
		return err
	}
	m.pages = nil
	m.change(func() {
		m.state.replace(r.items, r.at, m.doubts)
		m.apply(events, now)
		m.synced = true
	})
	return nil
}

// since returns the changes since the pages, if those may be old.
func (m *Mirror) since(ctx context.Context, r *reading) ([]infra.WatchEvent, int64, error) {
	if !r.stale {
		return nil, r.at, nil
	}
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	return m.store.Changes(ctx, m.cfg.Prefix, r.at, 0)
}

func (m *Mirror) readPage(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	r := m.pages
	page, err := m.store.Page(ctx, m.cfg.Prefix, r.last, r.stale)
	if err != nil {
		return err
	}
	if r.at == 0 || page.Revision < r.at {
		r.at = page.Revision
	}
	if n := len(page.Values); n > 0 {
		r.items = append(r.items, page.Values...)
		r.last = page.Values[n-1].Key
	}
	r.all = !page.More
	return nil
}

// Catch has Run make one call soon, also at a node that doesn't read.
func (m *Mirror) Catch() { m.due.Store(true) }

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
func (m *Mirror) Delta(q Question) Delta {
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
		m.state.merge(d, time.Now().Add(m.cfg.Doubt))
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
	m.doubts.end = time.Now().Add(m.cfg.Doubt)
	m.state.setDoubtEnd(m.doubts.end)
	m.mu.Unlock()
	m.cfg.Log.Emit(event.StoreRegained, "newest", m.Newest())
}
