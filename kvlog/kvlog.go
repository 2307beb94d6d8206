// Package kvlog is an append-only log in the key-value service. Entry n is written with
// create-if-absent, so the process whose create succeeds has appended the entry: a race has
// exactly one winner, and the log needs no leader.
//
// The response to a create may be lost, and the create may take effect at any later time.
// An appender therefore stays at its position: it creates the same entry at the same
// position again until it sees that the position is taken, by its own entry or another one.
// Only then can the delayed create have no effect any more, and only then does the appender
// move on. So an entry is in the log at most once, and every position below an entry is
// taken.
//
// Old entries are deleted once a snapshot covers them. A deleted position is absent again,
// so a delayed create, or a create by an appender that was paused for long, would succeed
// there. Two rules prevent acknowledging an entry that no process reads. The snapshot's
// pointer records the lowest valid position (the floor) before anything is deleted, and an
// appender reads the pointer after each create and ignores positions below the floor.
package kvlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// Error is the class of every error of this package.
var Error = errs.Class("kvlog")

var (
	// ErrUnavailable means that this call did not append the entry, and that the entry will
	// not appear later because of this call.
	ErrUnavailable = errors.New("log unavailable, nothing appended")
	// ErrUnsettled means that the outcome is unknown: the entry may be in the log or
	// may appear there later. Calling again with the same id determines the outcome.
	ErrUnsettled = errors.New("append unsettled")
	// ErrExpired means that the outcome of an append was unknown and its position has
	// been truncated since: whether it was appended can't be determined any more.
	ErrExpired = errors.New("append outcome no longer known")
	// ErrTooLarge means that the id or the data exceeds its limit (maxIDBytes,
	// MaxDataBytes).
	ErrTooLarge = errors.New("entry too large")
	// ErrGap means that the given position is beyond the end of the log.
	ErrGap = errors.New("position beyond the end of the log")
	// ErrStaleSnapshot means that the log already has a snapshot of the same or a later
	// position.
	ErrStaleSnapshot = errors.New("a newer snapshot is in place")
	// ErrCorrupt means that a stored value can't be decoded or fails verification: an entry
	// is missing or at a wrong position, or a snapshot is incomplete.
	ErrCorrupt = errors.New("stored value corrupt")
)

// TruncatedError means that a position to read or append at is below the floor. A
// reader then loads the snapshot, which covers the entries up to UpTo, and continues
// from UpTo+1.
type TruncatedError struct {
	From, Floor, UpTo uint64
}

// Error returns the position, the floor and the position of the snapshot.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("position %d truncated: floor %d, load the snapshot up to %d", e.From, e.Floor, e.UpTo)
}

// Entry is one entry of the log. N is its position, counted from 1.
type Entry struct {
	N    uint64
	ID   string
	Data []byte
	// Rev is the revision of the key-value service at which the entry was created.
	Rev fleet.Revision
}

// MaxDataBytes bounds the data of one entry, so that the value including the entry's id
// stays below the service's limit of 1 MB.
const MaxDataBytes = 900_000

// maxIDBytes bounds the id of one entry.
const maxIDBytes = 1024

// These are the defaults of Options.
const (
	DefaultWindow      = 4096
	DefaultSettleTries = 3
	DefaultSettleDelay = 20 * time.Millisecond
	DefaultPoll        = 5 * time.Second
	DefaultPageEntries = 64
)

// Options configures a Log; zero values mean the defaults.
type Options struct {
	// Window is the number of newest entries within which appending an id again returns
	// the existing entry. A snapshot keeps this many entries, up to and including its
	// position.
	Window uint64
	// SettleTries is how often one call tries to create an entry while the outcome is
	// unknown, before it returns ErrUnsettled. SettleDelay is the mean delay between
	// the tries.
	SettleTries int
	SettleDelay time.Duration
	// Poll is the mean time between reads by Follow while its watch delivers nothing.
	Poll time.Duration
	// PageEntries is the maximum number of entries per read.
	PageEntries int
	// Jitter returns a number in [0,1); nil means no jitter.
	Jitter func() float64
	// Token returns a unique part for the chunk keys of a snapshot; nil means that a random
	// part is used.
	Token func() string
	// Observe, if set, is called for every entry that this Log reads or appends, in order
	// and before the Append that read the entry returns. Observe must not call the Log.
	Observe func(Entry)
	Events  *event.Log
	Metrics *metrics.Set
}

func (o *Options) setDefaults() {
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.SettleTries <= 0 {
		o.SettleTries = DefaultSettleTries
	}
	if o.SettleDelay <= 0 {
		o.SettleDelay = DefaultSettleDelay
	}
	if o.Poll <= 0 {
		o.Poll = DefaultPoll
	}
	if o.PageEntries <= 0 {
		o.PageEntries = DefaultPageEntries
	}
	if o.Jitter == nil {
		o.Jitter = func() float64 { return 0.5 }
	}
	if o.Token == nil {
		o.Token = randomToken
	}
}

// Log is one process's handle on a log. Its methods are safe for concurrent use;
// appends through one Log run one at a time.
type Log struct {
	kv     infra.KV
	prefix string
	opts   Options

	// appendLock is locked during an append. It is a channel instead of a mutex, so that a
	// caller stops waiting for the lock when its context ends.
	appendLock chan struct{}

	// appendLock guards the fields below.
	next      uint64 // lowest position not known to be taken; 0 before the first read
	ids       idWindow
	unsettled *unsettledIDs
}

// New returns a handle on the log whose keys start with prefix. It does no I/O.
func New(kv infra.KV, prefix string, opts Options) *Log {
	opts.setDefaults()
	return &Log{
		kv:         kv,
		prefix:     prefix,
		opts:       opts,
		appendLock: make(chan struct{}, 1),
		ids:        newIDWindow(opts.Window),
		unsettled:  newUnsettledIDs(),
	}
}

func (l *Log) lock(ctx context.Context) error {
	select {
	case l.appendLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx)))
	}
}

func (l *Log) unlock() { <-l.appendLock }

// Head reads to the end of the log and returns the position of the last entry, or 0 for an
// empty log.
func (l *Log) Head(ctx context.Context) (uint64, error) {
	if err := l.lock(ctx); err != nil {
		return 0, err
	}
	defer l.unlock()
	if err := l.catchUp(ctx); err != nil {
		return 0, err
	}
	return l.next - 1, nil
}

// unavailable wraps err, the error of a failed call of the key-value service, as
// ErrUnavailable, unless err is already an error of this package.
func unavailable(err error) error {
	if Error.Has(err) {
		return err
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
}
