package intent

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/clock"
	"wigeondale/event"
)

// peersPerSync bounds the peers asked in a row, each of which may cost a whole
// timeout; the next Sync starts at another.
const peersPerSync = 3

// maxSpread bounds the revisions that a watcher floods after one reading.
const maxSpread = 16

// Run keeps the state up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.tickLoop(ctx) })
	g.Go(func() error { return k.syncLoop(ctx) })
	g.Go(func() error { return k.fetchLoop(ctx) })
	g.Go(func() error { return k.followLoop(ctx) })
	g.Go(func() error { return k.snapshotLoop(ctx) })
	return g.Wait()
}

// tickLoop watches the clock. It does nothing that could block, since a late
// tick counts as a pause.
func (k *Keeper) tickLoop(ctx context.Context) error {
	t := time.NewTicker(k.cfg.Tick)
	defer t.Stop()
	for {
		if k.clock.tick(time.Now()) {
			k.pauses.Inc()
			k.cfg.Events.Emit(event.PauseNoticed, "revision", k.State().Revision)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// syncLoop confirms the revision whenever that is needed, and polls as the
// last resort.
func (k *Keeper) syncLoop(ctx context.Context) error {
	poll := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if !k.loaded.Load() || k.clock.silent(now) || now.After(poll) {
			k.Sync(ctx)
			poll = time.Now().Add(k.jittered(k.cfg.Poll))
		}
		clock.Sleep(ctx, k.cfg.Tick)
	}
	return nil
}

// jittered spreads d over half to one and a half, so that nodes that started
// together don't call together.
func (k *Keeper) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + k.cfg.Random()))
}

// Sync brings the state up to date from the service or, failing that, from a
// peer that is itself fresh, and reports whether one of them answered.
func (k *Keeper) Sync(ctx context.Context) bool {
	if k.syncLog(ctx) {
		return true
	}
	peers := k.cfg.PeerClient.Peers()
	first := int(k.cfg.Random() * float64(len(peers)))
	for i := range min(len(peers), peersPerSync) {
		if k.fetch(ctx, peers[(first+i)%len(peers)]) {
			return true
		}
	}
	return false
}

func (k *Keeper) syncLog(ctx context.Context) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	if !k.loaded.Load() && !k.loadSnapshot(ctx) {
		return false
	}
	before := k.State().Revision
	if err := k.catchUp(ctx); err != nil {
		return false
	}
	k.loaded.Store(true)
	k.clock.confirm(began, time.Now())
	k.spreadSince(before)
	return true
}

func (k *Keeper) loadSnapshot(ctx context.Context) bool {
	_, data, ok, err := k.cfg.Log.LoadSnapshot(ctx)
	if err != nil {
		return false
	}
	if !ok {
		return true
	}
	s, err := DecodeState(data)
	if err != nil {
		return true // the log itself is read from its start instead
	}
	k.installState(s)
	return true
}

// spreadSince floods what a watcher learnt from the log itself. The others stay
// silent: many may learn the same at once, as when the service comes back.
func (k *Keeper) spreadSince(before uint64) {
	if !k.cfg.IsWatcher() {
		return
	}
	k.mu.Lock()
	var fresh []Revision
	for _, r := range k.recent {
		if r.N > before {
			fresh = append(fresh, r)
		}
	}
	k.mu.Unlock()
	if len(fresh) > maxSpread {
		return // a start; the others hold these already or will ask
	}
	for _, r := range fresh {
		k.cfg.PeerClient.Flood(r)
	}
}

// fetch takes what node holds beyond this node's revision. Only a node that may
// act on its own state confirms this one's: two nodes that were paused together
// must not vouch for each other.
func (k *Keeper) fetch(ctx context.Context, node string) bool {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	b, err := k.cfg.PeerClient.FetchFrom(ctx, node, k.State().Revision+1)
	if err != nil {
		return false
	}
	if err := k.take(b); err != nil {
		return false
	}
	k.RecordContact()
	if !b.UpToDate {
		return false
	}
	k.loaded.Store(true)
	k.clock.confirm(began, time.Now())
	return true
}

// fetchLoop mends gaps that peers' summaries show.
func (k *Keeper) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case node := <-k.wake:
			k.fetch(ctx, node)
		}
	}
}

// followLoop watches the log while this node is one of the watchers.
func (k *Keeper) followLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if k.loaded.Load() && k.cfg.IsWatcher() {
			k.follow(ctx)
		}
		clock.Sleep(ctx, k.jittered(k.cfg.Tick))
	}
	return nil
}

func (k *Keeper) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			clock.Sleep(ctx, k.cfg.Tick)
			if !k.cfg.IsWatcher() {
				cancel()
			}
		}
	}()
	err := k.cfg.Log.Follow(ctx, k.State().Revision+1, k.followed)
	if errors.Is(err, ErrTruncated) {
		k.Sync(ctx)
		return
	}
	if err != nil && ctx.Err() == nil {
		k.cfg.Events.Emit(event.LogLost, "error", err)
	}
}

func (k *Keeper) followed(e LogEntry) {
	k.RecordContact()
	if !k.installEntry(e) {
		return
	}
	r, _ := entryRevision(e)
	k.cfg.PeerClient.Flood(r)
}

// snapshotLoop keeps snapshots, so that a start need not read all revisions.
// Only watchers do, at moments of their own, and the log refuses an older one.
func (k *Keeper) snapshotLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-k.snaps:
			clock.Sleep(ctx, k.jittered(k.cfg.CallTimeout))
			k.keepSnapshot(ctx, s)
		}
	}
}

func (k *Keeper) keepSnapshot(ctx context.Context, s *State) {
	if !k.cfg.IsWatcher() {
		return
	}
	data, err := EncodeState(s)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	err = k.cfg.Log.Snapshot(ctx, s.Revision, data)
	if err != nil && !errors.Is(err, ErrStaleSnapshot) {
		k.cfg.Events.Emit(event.SnapshotFailed, "revision", s.Revision, "error", err)
	}
}
