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

// recentRevisions is how many revisions a Keeper holds for peers that are behind.
const recentRevisions = 256

// readPage is how many log entries one read of a catch-up asks for.
const readPage = 128

// Keeper holds the newest state that this node knows. Its revision only grows.
type Keeper struct {
	cfg   Config
	clock *pauseClock
	state atomic.Pointer[State]

	mu     sync.Mutex // held while a revision is installed
	recent []Revision
	subs   []func(*State)

	loaded atomic.Bool // a state was read from the log or a peer
	wake   chan string // nodes that are ahead of this one
	snaps  chan *State

	applied *metrics.Counter
	pauses  *metrics.Counter
}

// NewKeeper returns a Keeper that holds no state until Run has found one.
func NewKeeper(cfg Config) *Keeper {
	cfg = cfg.withDefaults()
	k := &Keeper{
		cfg:     cfg,
		clock:   newPauseClock(cfg.PauseBound, cfg.ContactTimeout),
		wake:    make(chan string, 16),
		snaps:   make(chan *State, 1),
		applied: cfg.Metrics.GetOrCreateCounter("wigeon_revisions_applied_total"),
		pauses:  cfg.Metrics.GetOrCreateCounter("wigeon_pauses_total"),
	}
	k.state.Store(NewState())
	cfg.Metrics.GetOrCreateGauge("wigeon_revision", func() float64 { return float64(k.State().Revision) })
	return k
}

// State returns the state in force on this node. It must not be changed.
func (k *Keeper) State() *State { return k.state.Load() }

// Subscribe calls f with each new state, in order. f must return soon and must
// not call the Keeper's own methods that install revisions.
func (k *Keeper) Subscribe(f func(*State)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.subs = append(k.subs, f)
}

// UpToDate reports whether this node may act on its state. It is false from a
// pause until the revision has been confirmed with a peer or the service. It
// is looked up by each request, which after a pause may run before any timer.
func (k *Keeper) UpToDate() bool {
	ok, _ := k.Ready()
	return ok
}

// Ready is Fresh with the reason when it is false.
func (k *Keeper) Ready() (bool, string) {
	if !k.loaded.Load() {
		return false, "no state yet: neither the key-value service nor a peer has given one"
	}
	return k.clock.ready(time.Now())
}

// HandleRevision hands in a revision that node from has flooded. It isn't flooded again:
// a flood reaches every router, and one more from each would grow with their
// square.
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

// RecordContact notes a sign of life from a router, so that a node that is cut off
// from the service but not from its peers stays ready.
func (k *Keeper) RecordContact() { k.clock.contact(time.Now()) }

// HandlePeerRevision notes that a router's summary names a revision; when it is newer, the
// missing ones are fetched from that router. It doesn't wait.
func (k *Keeper) HandlePeerRevision(node string, revision uint64) {
	k.RecordContact()
	if revision <= k.State().Revision {
		return
	}
	select {
	case k.wake <- node:
	default: // a fetch is due already, and the next summary asks again
	}
}

// BatchFrom answers a router that holds all revisions below from.
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

// install applies the next revision and reports whether it did. This is the
// only place, beside installState, where the state is replaced.
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

// installState replaces the state by a snapshot if that is newer.
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
	for _, f := range k.subs {
		f(s)
	}
	if s.Revision%k.cfg.SnapshotInterval == 0 {
		select {
		case k.snaps <- s:
		default: // one is being written; the next multiple will do
		}
	}
}

// take installs a batch from a peer; an error means that it does not decode.
func (k *Keeper) take(b Batch) error {
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

// catchUp reads the log from the revision after this node's to its end.
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

// Revisions returns at most max revisions from number from on: from the log, or
// when that can't be reached the recent ones that this node holds.
func (k *Keeper) Revisions(ctx context.Context, from uint64, max int) ([]Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	entries, err := k.cfg.Log.Read(ctx, from, max)
	if err != nil {
		return k.held(from, max), nil
	}
	out := make([]Revision, 0, len(entries))
	for _, e := range entries {
		r, _ := entryRevision(e)
		out = append(out, r)
	}
	return out, nil
}

func (k *Keeper) held(from uint64, max int) []Revision {
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
