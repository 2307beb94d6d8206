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
package mirror

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

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

// Copy is another node's mirror of the prefix.
type Copy struct {
	Items []infra.Value
	At    int64 // revision up to which it is complete
}

// Fallback is where a Mirror looks while the store does not answer it.
type Fallback interface {
	// Newer returns a copy that is complete up to a later revision than after;
	// false when no other node has one.
	Newer(ctx context.Context, after int64) (Copy, bool)
}

// Receiver is told what the mirror holds. Calls come from one goroutine.
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
	// Wait is how long one call may wait for a change. A call that is cut off
	// from the store without notice is found out after it.
	Wait time.Duration
	// Slack is added to Wait for the answer to arrive.
	Slack time.Duration
	// Pause between two calls joins changes that come in series.
	Pause time.Duration
	// Timeout bounds a read of all items.
	Timeout time.Duration
	// Doubt is how long after an outage a missing item may still come back.
	Doubt time.Duration
	// Fallback may be nil.
	Fallback Fallback
	Log      *event.Log
	Set      *metrics.Set
}

// Defaults of Config.
const (
	defaultWait    = 2500 * time.Millisecond
	defaultSlack   = 500 * time.Millisecond
	defaultPause   = 300 * time.Millisecond
	defaultTimeout = 1500 * time.Millisecond
	defaultDoubt   = 2 * time.Second
	// lostWait keeps calls short until one is answered again: one that was sent
	// into a cut is not answered after it, and would hide the store's return.
	lostWait = 400 * time.Millisecond
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
	if c.Set == nil {
		c.Set = metrics.NewSet()
	}
	return c
}

// Mirror follows one prefix.
type Mirror struct {
	cfg   Config
	store Store
	out   Receiver

	mu     sync.Mutex // guards items and at, which Held reads
	items  map[string]infra.Value
	at     int64 // revision up to which changes are known
	synced bool  // items are complete up to at

	doubted  map[string]bool // missing since an outage, not yet told as gone
	doubtEnd time.Time
	lost     bool // the latest call failed
	retry    time.Duration

	calls, failures *metrics.Counter
}

// New returns a Mirror that tells out what it finds, once Run is called.
func New(store Store, out Receiver, cfg Config) *Mirror {
	cfg = cfg.withDefaults()
	return &Mirror{
		cfg:      cfg,
		store:    store,
		out:      out,
		items:    map[string]infra.Value{},
		doubted:  map[string]bool{},
		calls:    cfg.Set.GetOrCreateCounter("wigeon_mirror_calls_total"),
		failures: cfg.Set.GetOrCreateCounter("wigeon_mirror_failures_total"),
	}
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.step(ctx)
		if ctx.Err() != nil {
			break
		}
		pause := m.cfg.Pause
		if err != nil {
			pause = m.failed(err)
			m.askOthers(ctx)
		} else {
			m.regained()
		}
		m.settleDoubt(time.Now())
		sleep(ctx, pause)
	}
	return nil
}

// step makes one call and takes in its answer.
func (m *Mirror) step(ctx context.Context) error {
	m.calls.Inc()
	if !m.synced {
		return m.readAll(ctx)
	}
	wait := m.cfg.Wait
	if m.lost {
		wait = min(wait, lostWait)
	}
	if len(m.doubted) > 0 {
		wait = min(wait, max(time.Until(m.doubtEnd), minRetry))
	}
	ctx, stop := context.WithTimeout(ctx, wait+m.cfg.Slack)
	defer stop()
	events, at, err := m.store.Changes(ctx, m.cfg.Prefix, m.at, wait)
	if errors.Is(err, infra.ErrCompacted) {
		m.setSynced(false)
		m.cfg.Log.Emit(event.StoreHistoryLost, "after", m.at)
		return m.readAll(ctx)
	}
	if err != nil {
		return err
	}
	m.takeEvents(events)
	m.advance(at)
	return nil
}

func (m *Mirror) readAll(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	items, at, err := m.store.Snapshot(ctx, m.cfg.Prefix)
	if err != nil {
		return err
	}
	m.takeAll(items, m.remove)
	m.advance(at)
	m.setSynced(true)
	return nil
}

// takeAll takes in a complete set; remove is told what isn't in it.
func (m *Mirror) takeAll(items []infra.Value, remove func(key string)) {
	found := make(map[string]bool, len(items))
	for _, v := range items {
		found[v.Key] = true
		m.put(v)
	}
	for key := range m.items {
		if !found[key] {
			remove(key)
		}
	}
	m.out.Settled()
}

func (m *Mirror) advance(at int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = max(m.at, at)
}

func (m *Mirror) setSynced(synced bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.synced = synced
}

// Held returns the items that this node holds if they are complete and newer
// than after. It may be called from any goroutine.
func (m *Mirror) Held(after int64) (Copy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || m.at <= after {
		return Copy{}, false
	}
	return Copy{Items: slices.Collect(maps.Values(m.items)), At: m.at}, true
}

// askOthers takes in what another node knows of the store. That node saw the
// store itself, so what is missing there is gone.
func (m *Mirror) askOthers(ctx context.Context) {
	if m.cfg.Fallback == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, m.cfg.Timeout)
	defer stop()
	c, ok := m.cfg.Fallback.Newer(ctx, m.at)
	if !ok {
		return
	}
	m.cfg.Log.Emit(event.StoreFromPeer, "at", c.At, "before", m.at, "items", len(c.Items))
	m.takeAll(c.Items, m.drop)
	m.advance(c.At)
	m.setSynced(true)
}

func (m *Mirror) takeEvents(events []infra.WatchEvent) {
	for _, e := range events {
		if e.Deleted {
			m.remove(e.Value.Key)
			continue
		}
		m.put(e.Value)
	}
	if len(events) > 0 {
		m.out.Settled()
	}
}

func (m *Mirror) put(v infra.Value) {
	delete(m.doubted, v.Key)
	if m.items[v.Key].ModRev >= v.ModRev {
		return
	}
	m.mu.Lock()
	m.items[v.Key] = v
	m.mu.Unlock()
	m.out.Put(v)
}

// remove takes an item out, or holds it to be doubtful after an outage.
func (m *Mirror) remove(key string) {
	if _, held := m.items[key]; !held {
		return
	}
	if m.lost || time.Now().Before(m.doubtEnd) {
		m.doubted[key] = true
		return
	}
	m.drop(key)
}

func (m *Mirror) drop(key string) {
	m.mu.Lock()
	delete(m.items, key)
	m.mu.Unlock()
	delete(m.doubted, key)
	m.out.Gone(key)
}

// settleDoubt takes for gone what did not come back.
func (m *Mirror) settleDoubt(now time.Time) {
	if m.lost || len(m.doubted) == 0 || now.Before(m.doubtEnd) {
		return
	}
	for key := range m.doubted {
		m.drop(key)
	}
	m.out.Settled()
}

// failed notes a failed call and returns how long to wait before the next.
func (m *Mirror) failed(err error) time.Duration {
	m.failures.Inc()
	m.store.Reset()
	if !m.lost {
		m.cfg.Log.Emit(event.StoreLost, "at", m.at, "err", err)
		m.retry = minRetry
	}
	m.lost = true
	m.retry = min(2*m.retry, maxRetry)
	return m.retry
}

func (m *Mirror) regained() {
	if !m.lost {
		return
	}
	m.lost = false
	m.doubtEnd = time.Now().Add(m.cfg.Doubt)
	m.cfg.Log.Emit(event.StoreRegained, "at", m.at)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
