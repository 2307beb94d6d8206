package cursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"strings"
	"time"
)

// A cursor consists of the static part, the tail that changes with each token, and the MAC.
// The static part consists of a head of fixed size, the fields and padding. The length of
// the static part is a multiple of three bytes, so that its base64 text is independent of
// the tail and is encoded only once per attempt.
const (
	version         = 1
	versionSoftware = 2 // has the software version as its last field
	macBytes        = 16
	tailBytes       = 4 + 4 + 8 + 1 // offset, text bytes, digest, finished
	headBytes       = 1 + 1 + 4 + 8 + 16
	fieldCount      = 7
	maxFieldCount   = 8
	maxFieldBytes   = 255 // bytes of one field
	// MaxText is the length of the longest encoded cursor, in characters.
	MaxText = (headBytes + maxFieldCount*(1+maxFieldBytes) + 2 + tailBytes + macBytes + 2) / 3 * 4
	// MinKey is the length of the shortest sealing key that NewSealer accepts, in bytes.
	MinKey = 32
)

var encoding = base64.RawURLEncoding.Strict()

// Sealer creates cursors with the current key. It opens cursors that were made with the
// current key or the previous one, so that the key can be changed while streams are
// running.
type Sealer struct {
	keys   [][]byte // the current key, then the previous one if there is one
	maxAge time.Duration
}

// NewSealer returns a Sealer with the current key and the previous one. previous may be
// nil, which means that only cursors of the current key are opened. A cursor whose attempt
// began more than maxAge ago is refused; 0 means no limit.
func NewSealer(current, previous []byte, maxAge time.Duration) (*Sealer, error) {
	if len(current) < MinKey {
		return nil, ErrKey
	}
	s := &Sealer{keys: [][]byte{current}, maxAge: maxAge}
	if previous == nil {
		return s, nil
	}
	if len(previous) < MinKey {
		return nil, ErrKey
	}
	s.keys = append(s.keys, previous)
	return s, nil
}

// Writer encodes the cursors of one attempt. It is not safe for concurrent use.
type Writer struct {
	prefix []byte // base64 text of the static part
	mac    hash.Hash
	raw    [tailBytes + macBytes]byte
	sum    [sha256.Size]byte
}

// Writer returns a Writer for the attempt of c. It encodes the parts of c that don't
// change during the attempt; the position is passed to Append.
func (s *Sealer) Writer(c *Cursor) (*Writer, error) {
	static, err := appendStatic(nil, c)
	if err != nil {
		return nil, err
	}
	w := &Writer{
		prefix: encoding.AppendEncode(nil, static),
		mac:    newTailMAC(s.keys[0], static),
	}
	w.mac.Reset()
	return w, nil
}

// Append appends the encoded cursor at the given position to dst. It allocates only
// if dst lacks capacity.
func (w *Writer) Append(dst []byte, at Position) []byte {
	binary.BigEndian.PutUint32(w.raw[0:], uint32(at.Offset))
	binary.BigEndian.PutUint32(w.raw[4:], uint32(at.TextBytes))
	binary.BigEndian.PutUint64(w.raw[8:], at.Digest)
	w.raw[16] = 0
	if at.Finished {
		w.raw[16] = 1
	}
	w.mac.Reset()
	w.mac.Write(w.raw[:tailBytes])
	sum := w.mac.Sum(w.sum[:0])
	copy(w.raw[tailBytes:], sum[:macBytes])
	dst = append(dst, w.prefix...)
	return encoding.AppendEncode(dst, w.raw[:])
}

// Open verifies an encoded cursor and decodes it. account is the client account that sent
// the cursor. The MAC is compared in constant time, before any field of the cursor is used.
func (s *Sealer) Open(text, account string, now time.Time) (*Cursor, error) {
	// Line ends are refused, because the decoder skips them, so one cursor would have many
	// encodings.
	if len(text) > MaxText || strings.ContainsAny(text, "\r\n") {
		return nil, ErrMalformed
	}
	raw, err := encoding.DecodeString(text)
	if err != nil {
		return nil, ErrMalformed
	}
	if len(raw) < headBytes+fieldCount+tailBytes+macBytes {
		return nil, ErrMalformed
	}
	if raw[0] != version && raw[0] != versionSoftware {
		return nil, ErrVersion
	}
	staticEnd := len(raw) - tailBytes - macBytes
	if !s.verifyMAC(raw[:staticEnd], raw[staticEnd:]) {
		return nil, ErrForged
	}
	c, err := parseStatic(raw[:staticEnd])
	if err != nil {
		return nil, err
	}
	parseTail(c, raw[staticEnd:])
	if subtle.ConstantTimeCompare([]byte(c.Account), []byte(account)) != 1 {
		return nil, ErrForeign
	}
	if s.maxAge > 0 && now.Sub(time.Unix(c.IssuedUnixS, 0)) > s.maxAge {
		return nil, ErrExpired
	}
	return c, nil
}

func (s *Sealer) verifyMAC(static, tail []byte) bool {
	found := 0
	for _, key := range s.keys {
		mac := newTailMAC(key, static)
		mac.Write(tail[:tailBytes])
		found |= subtle.ConstantTimeCompare(mac.Sum(nil)[:macBytes], tail[tailBytes:])
	}
	return found == 1
}

// newTailMAC returns the hash that computes the MACs of an attempt's tails. The key of this
// hash is the MAC of the static part, so that the static part is authenticated without
// being hashed again for each token.
func newTailMAC(key, static []byte) hash.Hash {
	m := hmac.New(sha256.New, key)
	m.Write(static)
	return hmac.New(sha256.New, m.Sum(nil))
}
