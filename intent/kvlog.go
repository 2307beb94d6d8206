package intent

import (
	"context"
	"errors"

	"wigeondale/kvlog"
)

// NewLog returns a log in the key-value service for use by a Keeper.
func NewLog(l *kvlog.Log) Log { return logAdapter{l} }

type logAdapter struct {
	*kvlog.Log
}

// Read implements Log.
func (a logAdapter) Read(ctx context.Context, from uint64, max int) ([]LogEntry, error) {
	list, err := a.Log.Read(ctx, from, max)
	if err != nil {
		return nil, convertLogError(err)
	}
	out := make([]LogEntry, 0, len(list))
	for _, e := range list {
		out = append(out, entryOf(e))
	}
	return out, nil
}

// AppendAt implements Log.
func (a logAdapter) AppendAt(ctx context.Context, n uint64, id string, data []byte) (bool, LogEntry, error) {
	won, e, err := a.Log.AppendAt(ctx, n, id, data)
	return won, entryOf(e), convertLogError(err)
}

// Follow implements Log.
func (a logAdapter) Follow(ctx context.Context, from uint64, f func(LogEntry)) error {
	err := a.Log.Follow(ctx, from, func(e kvlog.Entry) error {
		f(entryOf(e))
		return nil
	})
	return convertLogError(err)
}

// LoadSnapshot implements Log.
func (a logAdapter) LoadSnapshot(ctx context.Context) (uint64, []byte, bool, error) {
	n, data, ok, err := a.Log.LoadSnapshot(ctx)
	return n, data, ok, convertLogError(err)
}

// Snapshot implements Log.
func (a logAdapter) Snapshot(ctx context.Context, upTo uint64, data []byte) error {
	return convertLogError(a.Log.Snapshot(ctx, upTo, data))
}

func entryOf(e kvlog.Entry) LogEntry { return LogEntry{N: e.N, ID: e.ID, Data: e.Data} }

// convertLogError converts an error of package kvlog to one of this package. Only an
// error that guarantees that nothing was changed becomes ErrUnavailable; any other
// leaves the outcome unknown.
func convertLogError(err error) error {
	var truncated *kvlog.TruncatedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &truncated):
		return Error.New("%w: %v", ErrTruncated, err)
	case errors.Is(err, kvlog.ErrStaleSnapshot):
		return Error.New("%w: %v", ErrStaleSnapshot, err)
	case errors.Is(err, kvlog.ErrUnavailable) && !errors.Is(err, kvlog.ErrUnsettled):
		return Error.New("%w: %v", ErrUnavailable, err)
	}
	return Error.Wrap(err)
}
