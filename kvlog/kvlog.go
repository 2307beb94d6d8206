// Package kvlog is an append-only log in the key-value service. Entry n is
// created only if absent, so whoever creates it has appended: races have one
// winner and the log needs no leader.
//
// Failure story. The answer to a create may be lost, and the create may take
// effect at any later time. An appender therefore stays at its position: it
// creates the same entry at the same position again until it sees that
// position taken, by itself or by another. Only then can the late create do
// nothing, and only then does it move on. So an entry lands at most once, and
// every position below an entry is taken.
//
// Old entries are deleted once a snapshot covers them, and a deleted position
// is absent again: a late create, or an appender that was paused for long,
// would succeed there. Two rules prevent an entry that nobody reads from being
// acknowledged: the snapshot's pointer names the lowest position that counts
// (the floor) before anything is deleted, and an appender reads the pointer
// after each create and disregards what lies below the floor.
package kvlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/event"
	"wigeondale/infra"
)

// Error is the class of every error of this package.
var Error = errs.Class("kvlog")

var (
	// ErrUnavailable means that the entry is surely not in the log through this
	// call and will not appear there.
	ErrUnavailable = errors.New("log unavailable, nothing appended")
	// ErrUnsettled means that the entry may be in the log or appear there later.
	// Calling again with the same id settles it.
	ErrUnsettled = errors.New("append unsettled")
	// ErrExpired means that an unsettled entry's position was truncated: it can
	// no longer be told whether it was appended.
	ErrExpired = errors.New("append outcome no longer known")
	// ErrTooLarge means that the data does not fit one value.
	ErrTooLarge = errors.New("entry too large")
	// ErrGap means that AppendAt named a position beyond the end of the log.
	ErrGap = errors.New("position beyond the end of the log")
	// ErrStaleSnapshot means that a snapshot at least as new is in place.
	ErrStaleSnapshot = errors.New("a newer snapshot is in place")
	// ErrCorrupt means that a stored value does not decode or verify.
	ErrCorrupt = errors.New("stored value corrupt")
)

// TruncatedError tells a reader that its position is below the floor: it
// loads the snapshot, which covers up to UpTo, and reads on from UpTo+1.
type TruncatedError struct {
	From, Floor, UpTo uint64
}

// Error names the position and the floor.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("position %d truncated: floor %d, load the snapshot up to %d", e.From, e.Floor, e.UpTo)
}

// Entry is one entry of the log. N counts from 1.
type Entry struct {
	N    uint64
	ID   string
	Data []byte
	// Rev is the key-value service's revision that created the entry.
	Rev int64
}

// MaxDataBytes bounds the data of one entry, so that the value with the
// entry's id stays below the service's limit of 1 MB.
const MaxDataBytes = 900_000

// maxIDBytes bounds the id of one entry.
const maxIDBytes = 1024

// Defaults of Options.
const (
	DefaultWindow      = 4096
	DefaultSettleTries = 3
	DefaultSettleDelay = 20 * time.Millisecond
	DefaultPoll        = 5 * time.Second
	DefaultPageEntries = 64
)

// Options tune a Log; zero values stand for the defaults.
type Options struct {
	// Window is how many of the newest entries an id is protected for: appending
	// the same id again within them finds the first. A snapshot keeps this many
	// entries below its position.
	Window uint64
	// SettleTries is how often one call creates an entry before it returns
	// ErrUnsettled; SettleDelay is the wait between tries.
	SettleTries int
	SettleDelay time.Duration
	// Poll is the mean time between Follow's reads while the watch is silent.
	Poll time.Duration
	// PageEntries is how many entries one read asks for.
	PageEntries int
	// Jitter returns a number in [0,1); nil means no jitter.
	Jitter func() float64
	// Token returns a fresh name for a snapshot's chunks; nil means random.
	Token func() string
	// Observe, if set, is called with every entry that this Log learns of, in
	// order, before the Append that learnt it returns. It must not call the Log.
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

// Log is one process's handle on a log. Its methods are safe for concurrent
// use; appends through one Log go one after the other.
type Log struct {
	kv     infra.KV
	prefix string
	opts   Options

	// turn is held by the append under way. It is a channel, not a mutex, so
	// that waiting for it ends with the caller's context.
	turn chan struct{}

	// The fields below belong to the holder of turn.
	next      uint64 // lowest position not seen taken; 0 before the first read
	ids       idWindow
	unsettled *unsettledIDs
}

// New returns a handle on the log whose keys start with prefix. It does no I/O.
func New(kv infra.KV, prefix string, opts Options) *Log {
	opts.setDefaults()
	return &Log{
		kv:        kv,
		prefix:    prefix,
		opts:      opts,
		turn:      make(chan struct{}, 1),
		ids:       newIDWindow(opts.Window),
		unsettled: newUnsettledIDs(),
	}
}

func (l *Log) lock(ctx context.Context) error {
	select {
	case l.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, context.Cause(ctx)))
	}
}

func (l *Log) unlock() { <-l.turn }

// Head returns the position of the last entry, 0 for an empty log.
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

// unavailable turns a failed read into this package's terms.
func unavailable(err error) error {
	if Error.Has(err) {
		return err
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrUnavailable, err))
}
