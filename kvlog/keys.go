package kvlog

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/infra"
)

const (
	entryPart   = "e/"
	chunkPart   = "c/"
	pointerPart = "snapshot"
	tokenBytes  = 8
)

// entryKey returns a key with fixed-width hex digits, so that keys sort in the order of
// their positions.
func (l *Log) entryKey(n uint64) string { return fmt.Sprintf("%s%s%016x", l.prefix, entryPart, n) }

func (l *Log) entryEnd() string { return infra.PrefixEnd(l.prefix + entryPart) }

func (l *Log) pointerKey() string { return l.prefix + pointerPart }

func (l *Log) chunkPrefix(upTo uint64) string {
	return fmt.Sprintf("%s%s%016x", l.prefix, chunkPart, upTo)
}

func (l *Log) chunkKey(p pointer, i int) string {
	return fmt.Sprintf("%s-%s/%06d", l.chunkPrefix(p.UpTo), p.Token, i)
}

func randomToken() string {
	var b [tokenBytes]byte
	rand.Read(b[:]) // never returns an error, according to its documentation
	return hex.EncodeToString(b[:])
}

// record is the stored form of an entry; the position is in the key.
type record struct {
	ID   string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

func encodeEntry(id string, data []byte) ([]byte, error) {
	if len(id) > maxIDBytes || len(data) > MaxDataBytes {
		return nil, Error.Wrap(fmt.Errorf("%w: id %d bytes, data %d bytes", ErrTooLarge, len(id), len(data)))
	}
	b, err := cbor.Marshal(record{ID: id, Data: data})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}

func (l *Log) decodeEntry(v infra.Value) (Entry, error) {
	hexN := strings.TrimPrefix(v.Key, l.prefix+entryPart)
	n, err := strconv.ParseUint(hexN, 16, 64)
	if err != nil {
		return Entry{}, Error.Wrap(fmt.Errorf("%w: key %q: %w", ErrCorrupt, v.Key, err))
	}
	var r record
	if err := cbor.Unmarshal(v.Data, &r); err != nil {
		return Entry{}, Error.Wrap(fmt.Errorf("%w: entry %d: %w", ErrCorrupt, n, err))
	}
	return Entry{N: n, ID: r.ID, Data: r.Data, Rev: v.CreateRev}, nil
}

// idWindow maps the ids of the newest entries to their positions.
type idWindow struct {
	size  uint64
	first uint64 // position of the oldest entry in the window
	ids   []string
	pos   map[string]uint64
}

func newIDWindow(size uint64) idWindow {
	return idWindow{size: size, pos: make(map[string]uint64)}
}

func (w *idWindow) find(id string) (uint64, bool) {
	n, ok := w.pos[id]
	return n, ok
}

func (w *idWindow) add(n uint64, id string) {
	if len(w.ids) == 0 {
		w.first = n
	}
	w.ids = append(w.ids, id)
	w.pos[id] = n
	if uint64(len(w.ids)) <= w.size {
		return
	}
	if w.pos[w.ids[0]] == w.first {
		delete(w.pos, w.ids[0])
	}
	w.ids[0] = ""
	w.ids = w.ids[1:]
	w.first++
}
