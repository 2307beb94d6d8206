package intent

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/clock"
	"wigeondale/event"
)

// peersPerSync bounds the peers queried one after the other in one Sync, because each query
// may take a whole timeout; the next Sync starts with a random peer again.
const peersPerSync = 3

// maxBroadcasts bounds the revisions that a watcher (a node that follows the log)
// broadcasts to its peers after one read of the log.
const maxBroadcasts = 16

// Run keeps the state up to date from the log and the peers, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.tickLoop(ctx) })
	g.Go(func() error { return k.syncLoop(ctx) })
	g.Go(func() error { return k.fetchLoop(ctx) })
	g.Go(func() error { return k.followLoop(ctx) })
	g.Go(func() error { return k.snapshotLoop(ctx) })
	return g.Wait()
}

// tickLoop checks the clock. It does nothing that could block, because a delayed tick
// counts as a pause.
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

// syncLoop confirms the revision with the service or a peer when no state is loaded, the
// last contact is too old or a pause was detected. It also polls at a low rate, because
// broadcasts and watches may fail without an error.
func (k *Keeper) syncLoop(ctx context.Context) error {
	poll := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if !k.loaded.Load() || k.clock.contactDue(now) || now.After(poll) {
			k.Sync(ctx)
			poll = time.Now().Add(k.jittered(k.cfg.Poll))
		}
		clock.Sleep(ctx, k.cfg.Tick)
	}
	return nil
}

// jittered returns a duration between 0.5 and 1.5 times d, so that nodes that started
// at the same time don't call at the same time.
func (k *Keeper) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + k.cfg.Random()))
}

// Sync updates the state from the service or, if the service fails, from a peer that may
// act on the peer's own state. Sync reports whether the service or a peer confirmed the
// state.
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
	startedAt := time.Now()
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
	k.clock.confirm(startedAt, time.Now())
	k.broadcastSince(before)
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
		return true // the log is read from its start instead
	}
	k.installState(s)
	return true
}

// broadcastSince broadcasts the revisions that a watcher itself read from the log. Other
// nodes don't broadcast what they read, because many may read the same revisions at once,
// for example when the service is available again after an outage.
func (k *Keeper) broadcastSince(before uint64) {
	if !k.cfg.IsWatcher() {
		return
	}
	k.mu.Lock()
	var added []Revision
	for _, r := range k.recent {
		if r.N > before {
			added = append(added, r)
		}
	}
	k.mu.Unlock()
	if len(added) > maxBroadcasts {
		return // this node has just started; other nodes have these revisions or will fetch them
	}
	for _, r := range added {
		k.cfg.PeerClient.Flood(r)
	}
}

// fetch installs the revisions that a peer has and this node doesn't. Only a peer that may
// act on its own state confirms this node's state: two nodes that were paused at the same
// time must not confirm each other.
func (k *Keeper) fetch(ctx context.Context, node string) bool {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	b, err := k.cfg.PeerClient.FetchFrom(ctx, node, k.State().Revision+1)
	if err != nil {
		return false
	}
	if err := k.installBatch(b); err != nil {
		return false
	}
	k.RecordContact()
	if !b.UpToDate {
		return false
	}
	k.loaded.Store(true)
	k.clock.confirm(startedAt, time.Now())
	return true
}

// fetchLoop fetches the revisions that this node lacks according to its peers' summaries.
func (k *Keeper) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case node := <-k.fetchQueue:
			k.fetch(ctx, node)
		}
	}
}

// followLoop follows the log while this node is one of the watchers, the nodes that read
// new revisions from the log and broadcast them to the others.
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
	err := k.cfg.Log.Follow(ctx, k.State().Revision+1, k.handleEntry)
	if errors.Is(err, ErrTruncated) {
		k.Sync(ctx)
		return
	}
	if err != nil && ctx.Err() == nil {
		k.cfg.Events.Emit(event.LogLost, "error", err)
	}
}

func (k *Keeper) handleEntry(e LogEntry) {
	k.RecordContact()
	if !k.installEntry(e) {
		return
	}
	r, _ := entryRevision(e)
	k.cfg.PeerClient.Flood(r)
}

// snapshotLoop stores snapshots, so that a starting node need not read all revisions. Only
// watchers store snapshots, each after a random delay, and the log refuses a snapshot that
// isn't newer than the stored one.
func (k *Keeper) snapshotLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-k.snapshotQueue:
			clock.Sleep(ctx, k.jittered(k.cfg.CallTimeout))
			k.storeSnapshot(ctx, s)
		}
	}
}

func (k *Keeper) storeSnapshot(ctx context.Context, s *State) {
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
