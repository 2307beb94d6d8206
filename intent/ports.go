package intent

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
)

// LogEntry is one entry of the append-only log.
type LogEntry struct {
	N    uint64 // 1 for the first entry
	ID   string // id of the plan
	Data []byte // output of EncodeRevision
}

// Log is the append-only log in the key-value service.
type Log interface {
	// Head returns the number of the last entry, 0 for none.
	Head(ctx context.Context) (uint64, error)
	// Read returns at most max entries in order, starting at number from.
	Read(ctx context.Context, from uint64, max int) ([]LogEntry, error)
	// AppendAt creates entry n if it doesn't exist; otherwise AppendAt returns the existing
	// entry. ErrUnavailable means that nothing was written; after any other error the entry
	// may or may not appear.
	AppendAt(ctx context.Context, n uint64, id string, data []byte) (won bool, existing LogEntry, err error)
	// Follow calls f for each entry from number from on, until ctx ends or the service
	// becomes unavailable.
	Follow(ctx context.Context, from uint64, f func(LogEntry)) error
	// LoadSnapshot returns the newest snapshot.
	LoadSnapshot(ctx context.Context) (upTo uint64, data []byte, ok bool, err error)
	// Snapshot stores the state after entry upTo.
	Snapshot(ctx context.Context, upTo uint64, data []byte) error
}

// Batch is the data that a node sends to a peer whose state is older than the node's.
type Batch struct {
	// Snapshot is an encoded state. It is set if the sender no longer has the requested
	// revisions one by one.
	Snapshot  []byte     `cbor:"1,keyasint,omitempty"`
	Revisions []Revision `cbor:"2,keyasint,omitempty"`
	// UpToDate is true if the sender may itself act on its state.
	UpToDate bool `cbor:"3,keyasint"`
}

// PeerClient exchanges revisions with the other routers.
type PeerClient interface {
	// Peers returns routers that seem alive and reachable, in any order.
	Peers() []string
	// Flood broadcasts a revision to every reachable router and returns without waiting for
	// any of them.
	Flood(r Revision)
	// FetchFrom requests the revisions from number from on from a router.
	FetchFrom(ctx context.Context, node string, from uint64) (Batch, error)
}

// These are the defaults of Config.
const (
	DefaultTick             = 250 * time.Millisecond
	DefaultPauseBound       = 2 * time.Second
	DefaultContactTimeout   = 5 * time.Second
	DefaultPoll             = 30 * time.Second
	DefaultCallTimeout      = 2 * time.Second
	DefaultSnapshotInterval = 256 // revisions between snapshots
)

// Config configures a Keeper. Zero durations mean the defaults.
type Config struct {
	Node       string
	Log        Log
	PeerClient PeerClient
	IsWatcher  func() bool    // whether this node follows the log itself; nil means yes
	Random     func() float64 // 0 to 1; nil means no jitter
	Events     *event.Log
	Metrics    *metrics.Set

	Tick             time.Duration // between checks of the clock
	PauseBound       time.Duration // a longer gap between ticks counts as a pause
	ContactTimeout   time.Duration // without contact to a peer or the service for longer, a node isn't ready
	Poll             time.Duration // mean time between polls of the log
	CallTimeout      time.Duration // time limit of one call to the log or a peer
	SnapshotInterval uint64        // revisions between snapshots
}

func (c Config) withDefaults() Config {
	c.Tick = orDefault(c.Tick, DefaultTick)
	c.PauseBound = orDefault(c.PauseBound, DefaultPauseBound)
	c.ContactTimeout = orDefault(c.ContactTimeout, DefaultContactTimeout)
	c.Poll = orDefault(c.Poll, DefaultPoll)
	c.CallTimeout = orDefault(c.CallTimeout, DefaultCallTimeout)
	c.SnapshotInterval = orDefault(c.SnapshotInterval, DefaultSnapshotInterval)
	if c.IsWatcher == nil {
		c.IsWatcher = func() bool { return true }
	}
	if c.Random == nil {
		c.Random = func() float64 { return 0.5 }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
