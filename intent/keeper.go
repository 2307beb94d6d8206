package intent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
)

// recentRevisions is the number of newest revisions that a Keeper keeps in memory, for
// peers that have an older state.
const recentRevisions = 256

// readPage is the maximum number of log entries per read of catchUp.
const readPage = 128

// Keeper stores the newest state that this node knows. The state's revision never decreases.
type Keeper struct {
	cfg   Config
	clock *pauseClock
	state atomic.Pointer[State]

	mu          sync.Mutex // locked while a revision is installed
	recent      []Revision
	subscribers []func(*State)

	loaded        atomic.Bool // a state has been read from the log or a peer
	fetchQueue    chan string // peers that have a newer revision than this node
	snapshotQueue chan *State

	applied *metrics.Counter
	pauses  *metrics.Counter
}

// NewKeeper returns a Keeper with the empty state; Run loads the current one.
func NewKeeper(cfg Config) *Keeper {
	cfg = cfg.withDefaults()
	k := &Keeper{
		cfg:           cfg,
		clock:         newPauseClock(cfg.PauseBound, cfg.ContactTimeout),
		fetchQueue:    make(chan string, 16),
		snapshotQueue: make(chan *State, 1),
		applied:       cfg.Metrics.GetOrCreateCounter("wigeon_revisions_applied_total"),
		pauses:        cfg.Metrics.GetOrCreateCounter("wigeon_pauses_total"),
	}
	k.state.Store(NewState())
	cfg.Metrics.GetOrCreateGauge("wigeon_revision", func() float64 { return float64(k.State().Revision) })
	return k
}

// State returns the state in use on this node. The caller must not modify it.
func (k *Keeper) State() *State { return k.state.Load() }

// Subscribe registers f to be called with each new state, in order. f must return
// quickly and must not call methods of the Keeper that install revisions.
func (k *Keeper) Subscribe(f func(*State)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subscribers = append(k.subscribers, f)
}

// UpToDate reports whether this node may act on its state. The result is false from a pause
// until a peer or the service has confirmed the revision. Every request checks UpToDate,
// because after a pause a request may run before any timer does.
func (k *Keeper) UpToDate() bool {
	ok, _ := k.Ready()
	return ok
}

// Ready reports whether this node may act on its state, and the reason if not: no state is
// loaded, the state has not been confirmed since a start or pause, or neither the service
// nor a peer was in contact recently.
func (k *Keeper) Ready() (bool, string) {
	if !k.loaded.Load() {
		return false, "no state yet: neither the key-value service nor a peer has given one"
	}
	return k.clock.ready(time.Now())
}

// HandleRevision handles a revision that peer from has broadcast. This node doesn't
// broadcast the revision again: a broadcast goes to every router, and if each router
// repeated it, the number of messages would grow with the square of the number of routers.
func (k *Keeper) HandleRevision(from string, r Revision) {
	k.RecordContact()
	s := k.State()
	if r.N <= s.Revision {
		return
	}
	if r.N > s.Revision+1 || !k.loaded.Load() {
		k.HandlePeerRevision(from, r.N)
		return
	}
	k.install(r)
}

// RecordContact records a message from another router, so that a node that can't reach the
// service but can reach its peers stays ready.
func (k *Keeper) RecordContact() { k.clock.recordContact(time.Now()) }

// HandlePeerRevision handles the revision in a peer's summary. If the peer's revision is
// newer than this node's, the missing revisions are fetched from that peer in the
// background.
func (k *Keeper) HandlePeerRevision(node string, revision uint64) {
	k.RecordContact()
	if revision <= k.State().Revision {
		return
	}
	select {
	case k.fetchQueue <- node:
	default: // other fetches are queued, and the peer's next summary triggers this again
	}
}

// BatchFrom returns the revisions from number from on, for a peer that has all earlier
// revisions. If revision from is no longer in memory, the batch contains the complete state
// instead.
func (k *Keeper) BatchFrom(from uint64) (Batch, error) {
	k.mu.Lock()
	s := k.State()
	recent := slices.Clone(k.recent)
	k.mu.Unlock()
	b := Batch{UpToDate: k.UpToDate()}
	if from > s.Revision {
		return b, nil
	}
	for i, r := range recent {
		if r.N == from {
			b.Revisions = recent[i:]
			return b, nil
		}
	}
	data, err := EncodeState(s)
	b.Snapshot = data
	return b, err
}

// install applies r if it is the next revision, and reports whether it did. Only install
// and installState replace the state.
func (k *Keeper) install(r Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, err := k.State().Apply(r)
	if err != nil {
		return false
	}
	k.recent = append(k.recent, r)
	if len(k.recent) > recentRevisions {
		k.recent = slices.Clone(k.recent[1:])
	}
	k.publish(next)
	return true
}

// installState replaces the state by a snapshot if the snapshot is newer, and reports
// whether it did.
func (k *Keeper) installState(s *State) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Revision <= k.State().Revision {
		return false
	}
	k.recent = nil
	k.publish(s)
	return true
}

func (k *Keeper) publish(s *State) {
	k.state.Store(s)
	k.applied.Inc()
	k.cfg.Events.Emit(event.RevisionInForce, "revision", s.Revision)
	for _, f := range k.subscribers {
		f(s)
	}
	if s.Revision%k.cfg.SnapshotInterval == 0 {
		select {
		case k.snapshotQueue <- s:
		default: // another snapshot is queued; the next multiple of the snapshot interval gets one
		}
	}
}

// installBatch installs a batch from a peer; an error means that it can't be decoded.
func (k *Keeper) installBatch(b Batch) error {
	if len(b.Snapshot) > 0 {
		s, err := DecodeState(b.Snapshot)
		if err != nil {
			return err
		}
		k.installState(s)
	}
	for _, r := range b.Revisions {
		k.install(r)
	}
	return nil
}

// catchUp reads the log from the revision after this node's revision to the end of the log.
func (k *Keeper) catchUp(ctx context.Context) error {
	for {
		from := k.State().Revision + 1
		entries, err := k.cfg.Log.Read(ctx, from, readPage)
		if errors.Is(err, ErrTruncated) && k.loadSnapshot(ctx) && k.State().Revision >= from {
			continue
		}
		if err != nil {
			return Error.Wrap(err)
		}
		for _, e := range entries {
			k.installEntry(e)
		}
		if len(entries) == 0 || k.State().Revision < from {
			return nil
		}
	}
}

func (k *Keeper) installEntry(e LogEntry) bool {
	r, ok := entryRevision(e)
	if !k.install(r) {
		return false
	}
	if !ok {
		k.cfg.Events.Emit(event.RevisionUnreadable, "revision", e.N)
	}
	return true
}

// Revisions returns at most max revisions from number from on. They come from the log or,
// if the log is unavailable, from the revisions that this node still has in memory.
func (k *Keeper) Revisions(ctx context.Context, from uint64, max int) ([]Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	entries, err := k.cfg.Log.Read(ctx, from, max)
	if err != nil {
		return k.recentFrom(from, max), nil
	}
	out := make([]Revision, 0, len(entries))
	for _, e := range entries {
		r, _ := entryRevision(e)
		out = append(out, r)
	}
	return out, nil
}

func (k *Keeper) recentFrom(from uint64, max int) []Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := []Revision{}
	for _, r := range k.recent {
		if r.N >= from && len(out) < max {
			out = append(out, r)
		}
	}
	return out
}
