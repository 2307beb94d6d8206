package kvlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"wigeondale/infra"
)

const (
	// chunkBytes is the size of one piece of a snapshot, below the service's 1 MB.
	chunkBytes = 900_000
	// loadTries is how often LoadSnapshot starts over when a newer snapshot
	// replaces the one that it reads.
	loadTries = 4
)

// pointer names the snapshot in force. Entries below Floor don't count.
type pointer struct {
	UpTo   uint64 `cbor:"1,keyasint"`
	Floor  uint64 `cbor:"2,keyasint"`
	Token  string `cbor:"3,keyasint"`
	Chunks int    `cbor:"4,keyasint"`
	Digest uint64 `cbor:"5,keyasint"`

	rev int64
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

// Snapshot stores data as the state after entry upTo, then truncates: entries
// more than the window below upTo are deleted. Errors: ErrStaleSnapshot,
// ErrGap, ErrUnavailable; ErrUnsettled means that it may be in force.
func (l *Log) Snapshot(ctx context.Context, upTo uint64, data []byte) error {
	old, err := l.readPointer(ctx)
	if err != nil {
		return unavailable(err)
	}
	if old.UpTo >= upTo {
		return Error.Wrap(fmt.Errorf("%w: %d, asked for %d", ErrStaleSnapshot, old.UpTo, upTo))
	}
	if err := l.checkTaken(ctx, upTo); err != nil {
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

// floorFor keeps the window's entries, which hold the ids still protected.
func (l *Log) floorFor(upTo uint64) uint64 {
	if upTo <= l.opts.Window {
		return 1
	}
	return upTo - l.opts.Window + 1
}

// checkTaken refuses a snapshot of a position that the log has not reached,
// whose floor could pass entries that are still to be written.
func (l *Log) checkTaken(ctx context.Context, n uint64) error {
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
		piece := data[:min(chunkBytes, len(data))]
		if err := l.putChunk(ctx, l.chunkKey(p, i), piece); err != nil {
			return 0, err
		}
		data = data[len(piece):]
		i++
	}
	return i, nil
}

// putChunk repeats a put of unknown outcome. The key is this snapshot's alone,
// so a put that lands twice changes nothing.
func (l *Log) putChunk(ctx context.Context, key string, piece []byte) error {
	var err error
	for range l.opts.SettleTries {
		err = l.kv.Put(ctx, key, piece, 0)
		if !errors.Is(err, infra.ErrUnknownOutcome) {
			return err
		}
		if !l.pause(ctx) {
			break
		}
	}
	return err
}

// swapPointer puts p in force if old still is. A lost answer is settled by
// swapping from the same revision again: that fails once the first has landed,
// and shows what is in force.
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
		if !l.pause(ctx) {
			break
		}
	}
	return Error.Wrap(fmt.Errorf("%w: snapshot pointer", ErrUnsettled))
}

func (l *Log) swap(ctx context.Context, rev int64, data []byte) (bool, infra.Value, error) {
	if rev == 0 {
		return l.kv.Create(ctx, l.pointerKey(), data)
	}
	return l.kv.CompareAndSwap(ctx, l.pointerKey(), rev, data)
}

// truncate deletes what p made obsolete. Failures are left to the next
// snapshot: what stays below the floor is read by nobody.
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

// LoadSnapshot returns the snapshot in force and the position that it covers;
// ok is false when there is none. Errors: ErrUnavailable, ErrCorrupt.
func (l *Log) LoadSnapshot(ctx context.Context) (upTo uint64, data []byte, ok bool, err error) {
	for range loadTries {
		p, err := l.readPointer(ctx)
		if err != nil {
			return 0, nil, false, unavailable(err)
		}
		if p.UpTo == 0 {
			return 0, nil, false, nil
		}
		data, whole, err := l.readChunks(ctx, p)
		if err != nil {
			return 0, nil, false, unavailable(err)
		}
		if whole {
			return p.UpTo, data, true, nil
		}
	}
	return 0, nil, false, Error.Wrap(fmt.Errorf("%w: snapshot incomplete", ErrCorrupt))
}

// readChunks reports whole=false when a chunk is missing, as it is when a
// newer snapshot came into force and deleted this one's.
func (l *Log) readChunks(ctx context.Context, p pointer) (data []byte, whole bool, err error) {
	for i := range p.Chunks {
		v, ok, err := l.kv.Get(ctx, l.chunkKey(p, i))
		if err != nil || !ok {
			return nil, false, err
		}
		data = append(data, v.Data...)
	}
	return data, xxhash.Sum64(data) == p.Digest, nil
}
