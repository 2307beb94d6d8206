package intent

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
)

// LogEntry is one entry of the append-only log.
type LogEntry struct {
	N    uint64 // 1 is the first
	ID   string // the plan's id
	Data []byte // EncodeRevision
}

// Log is the append-only log in the key-value service.
type Log interface {
	// Head returns the number of the last entry, 0 for none.
	Head(ctx context.Context) (uint64, error)
	// Read returns entries from number from on, at most max, in order.
	Read(ctx context.Context, from uint64, max int) ([]LogEntry, error)
	// AppendAt creates entry n if there is none. When there is one it is
	// returned. An error that is ErrUnavailable means that nothing was written;
	// any other error means that the entry may or may not appear.
	AppendAt(ctx context.Context, n uint64, id string, data []byte) (won bool, existing LogEntry, err error)
	// Follow calls f for each entry from number from on until ctx ends or the
	// service is lost.
	Follow(ctx context.Context, from uint64, f func(LogEntry)) error
	// LoadSnapshot returns the newest snapshot.
	LoadSnapshot(ctx context.Context) (upTo uint64, data []byte, ok bool, err error)
	// Snapshot keeps the state after entry upTo.
	Snapshot(ctx context.Context, upTo uint64, data []byte) error
}

// Batch is what one node gives another that is behind.
type Batch struct {
	// Snapshot is an encoded state, when the revisions asked for are no longer
	// held one by one.
	Snapshot  []byte     `cbor:"1,keyasint,omitempty"`
	Revisions []Revision `cbor:"2,keyasint,omitempty"`
	// UpToDate is true when the sender may itself act on its state.
	UpToDate bool `cbor:"3,keyasint"`
}

// PeerClient reaches the other routers.
type PeerClient interface {
	// Peers names routers that seem alive and reachable, in any order.
	Peers() []string
	// Flood sends a revision to every router that can be reached; it doesn't wait.
	Flood(r Revision)
	// FetchFrom asks a router for what follows revision from-1.
	FetchFrom(ctx context.Context, node string, from uint64) (Batch, error)
}

// Defaults of Config.
const (
	DefaultTick             = 250 * time.Millisecond
	DefaultPauseBound       = 2 * time.Second
	DefaultContactTimeout   = 5 * time.Second
	DefaultPoll             = 30 * time.Second
	DefaultCallTimeout      = 2 * time.Second
	DefaultSnapshotInterval = 256 // revisions between snapshots
)

// Config is what a Keeper uses. Zero durations take the defaults.
type Config struct {
	Node       string
	Log        Log
	PeerClient PeerClient
	IsWatcher  func() bool    // whether this node follows the log itself; nil means yes
	Random     func() float64 // 0 to 1; nil means no jitter
	Events     *event.Log
	Metrics    *metrics.Set

	Tick             time.Duration // between looks at the clock
	PauseBound       time.Duration // a longer gap between ticks counts as a pause
	ContactTimeout   time.Duration // a node that has reached nobody for longer isn't fresh
	Poll             time.Duration // mean time between polls of the log
	CallTimeout      time.Duration // bound of one call to the log or a peer
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
