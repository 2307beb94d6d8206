package kvlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"wigeondale/fleet"
	"wigeondale/infra"
)

const (
	// chunkBytes is the maximum size of one chunk of a snapshot, below the service's
	// limit of 1 MB.
	chunkBytes = 900_000
	// loadTries is how often LoadSnapshot tries to read a complete snapshot. A try fails
	// when a newer snapshot replaces the snapshot that is being read.
	loadTries = 4
)

// pointer is the stored value that identifies the current snapshot. Entries at positions
// below Floor are invalid, even if they are still or again in the store.
type pointer struct {
	UpTo   uint64 `cbor:"1,keyasint"`
	Floor  uint64 `cbor:"2,keyasint"`
	Token  string `cbor:"3,keyasint"`
	Chunks int    `cbor:"4,keyasint"`
	Digest uint64 `cbor:"5,keyasint"`

	rev fleet.Revision
}

func (l *Log) readPointer(ctx context.Context) (pointer, error) {
	v, ok, err := l.kv.Get(ctx, l.pointerKey())
	if err != nil || !ok {
		return pointer{}, err
	}
	return decodePointer(v)
}

func decodePointer(v infra.Value) (pointer, error) {
	var p pointer
	if err := cbor.Unmarshal(v.Data, &p); err != nil {
		return pointer{}, Error.Wrap(fmt.Errorf("%w: snapshot pointer: %w", ErrCorrupt, err))
	}
	p.rev = v.ModRev
	return p, nil
}

// Snapshot stores data as the state after entry upTo and makes it the current snapshot.
// Snapshot then truncates the log: it keeps Window entries up to and including upTo and
// deletes the older ones. Errors: ErrStaleSnapshot, ErrGap, ErrUnavailable; ErrUnsettled
// means that the new snapshot may or may not have become the current one.
func (l *Log) Snapshot(ctx context.Context, upTo uint64, data []byte) error {
	old, err := l.readPointer(ctx)
	if err != nil {
		return unavailable(err)
	}
	if old.UpTo >= upTo {
		return Error.Wrap(fmt.Errorf("%w: %d, asked for %d", ErrStaleSnapshot, old.UpTo, upTo))
	}
	if err := l.checkReached(ctx, upTo); err != nil {
		return err
	}
	p := pointer{UpTo: upTo, Floor: l.floorFor(upTo), Token: l.opts.Token(), Digest: xxhash.Sum64(data)}
	p.Floor = max(p.Floor, old.Floor)
	p.Chunks, err = l.putChunks(ctx, p, data)
	if err != nil {
		return unavailable(err)
	}
	if err := l.swapPointer(ctx, old, p); err != nil {
		return err
	}
	l.truncate(ctx, p)
	return nil
}

// floorFor returns the floor of a snapshot up to upTo. The entries of the window are at
// or above the floor, because their ids must still be found.
func (l *Log) floorFor(upTo uint64) uint64 {
	if upTo <= l.opts.Window {
		return 1
	}
	return upTo - l.opts.Window + 1
}

// checkReached returns ErrGap for a position that the log has not reached. A snapshot at
// such a position could have a floor above positions that are still to be written.
func (l *Log) checkReached(ctx context.Context, n uint64) error {
	_, ok, err := l.kv.Get(ctx, l.entryKey(n))
	if err != nil {
		return unavailable(err)
	}
	if !ok {
		return Error.Wrap(fmt.Errorf("%w: snapshot of %d", ErrGap, n))
	}
	return nil
}

func (l *Log) putChunks(ctx context.Context, p pointer, data []byte) (int, error) {
	i := 0
	for len(data) > 0 {
		chunk := data[:min(chunkBytes, len(data))]
		if err := l.putChunk(ctx, l.chunkKey(p, i), chunk); err != nil {
			return 0, err
		}
		data = data[len(chunk):]
		i++
	}
	return i, nil
}

// putChunk puts one chunk and repeats the put while its outcome is unknown. No other
// snapshot writes the same key, so a put that takes effect twice changes nothing.
func (l *Log) putChunk(ctx context.Context, key string, chunk []byte) error {
	var err error
	for range l.opts.SettleTries {
		err = l.kv.Put(ctx, key, chunk, 0)
		if !errors.Is(err, infra.ErrUnknownOutcome) {
			return err
		}
		if !l.waitBeforeRetry(ctx) {
			break
		}
	}
	return err
}

// swapPointer makes p the current pointer if old is still the current one. When a response
// is lost, swapPointer repeats the swap from the same revision: if the first swap took
// effect, the repeated swap fails and returns the current pointer, which is then p unless
// another snapshot has replaced it.
func (l *Log) swapPointer(ctx context.Context, old, p pointer) error {
	data, err := cbor.Marshal(p)
	if err != nil {
		return Error.Wrap(err)
	}
	unknown := false
	for range l.opts.SettleTries {
		ok, current, err := l.swap(ctx, old.rev, data)
		if err == nil {
			if ok || bytes.Equal(current.Data, data) {
				return nil
			}
			return Error.Wrap(fmt.Errorf("%w: another was put in force meanwhile", ErrStaleSnapshot))
		}
		if errors.Is(err, infra.ErrUnknownOutcome) {
			unknown = true
		} else if !unknown {
			return unavailable(err)
		}
		if !l.waitBeforeRetry(ctx) {
			break
		}
	}
	return Error.Wrap(fmt.Errorf("%w: snapshot pointer", ErrUnsettled))
}

func (l *Log) swap(ctx context.Context, rev fleet.Revision, data []byte) (bool, infra.Value, error) {
	if rev == 0 {
		return l.kv.Create(ctx, l.pointerKey(), data)
	}
	return l.kv.CompareAndSwap(ctx, l.pointerKey(), rev, data)
}

// truncate deletes the entries below p's floor and the chunks of snapshots up to lower
// positions than p's. Failures are ignored: no process reads below the floor, and the
// truncation after the next snapshot deletes what is left.
func (l *Log) truncate(ctx context.Context, p pointer) {
	l.deleteRange(ctx, l.entryKey(0), l.entryKey(p.Floor))
	l.deleteRange(ctx, l.prefix+chunkPart, l.chunkPrefix(p.UpTo))
}

func (l *Log) deleteRange(ctx context.Context, from, end string) {
	if d, ok := l.kv.(infra.RangeDeleter); ok {
		_ = d.DeleteRange(ctx, from, end)
		return
	}
	values, err := l.kv.Range(ctx, from, end, 0)
	if err != nil {
		return
	}
	for _, v := range values {
		if l.kv.Delete(ctx, v.Key) != nil {
			return
		}
	}
}

// LoadSnapshot returns the current snapshot and the position it covers; ok is false
// when there is none. Errors: ErrUnavailable, ErrCorrupt.
func (l *Log) LoadSnapshot(ctx context.Context) (upTo uint64, data []byte, ok bool, err error) {
	for range loadTries {
		p, err := l.readPointer(ctx)
		if err != nil {
			return 0, nil, false, unavailable(err)
		}
		if p.UpTo == 0 {
			return 0, nil, false, nil
		}
		data, complete, err := l.readChunks(ctx, p)
		if err != nil {
			return 0, nil, false, unavailable(err)
		}
		if complete {
			return p.UpTo, data, true, nil
		}
	}
	return 0, nil, false, Error.Wrap(fmt.Errorf("%w: snapshot incomplete", ErrCorrupt))
}

// readChunks returns complete=false when a chunk is missing or the digest differs, which
// happens when a newer snapshot became current and the chunks of this one were deleted.
func (l *Log) readChunks(ctx context.Context, p pointer) (data []byte, complete bool, err error) {
	for i := range p.Chunks {
		v, ok, err := l.kv.Get(ctx, l.chunkKey(p, i))
		if err != nil || !ok {
			return nil, false, err
		}
		data = append(data, v.Data...)
	}
	return data, xxhash.Sum64(data) == p.Digest, nil
}
