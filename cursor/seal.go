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

// Format: fixed head, fields and padding (together a multiple of three bytes,
// so that their base64 text stands by itself and is made once per attempt),
// then the moving tail, then the MAC.
const (
	version    = 1
	macBytes   = 16
	tailBytes  = 4 + 4 + 8 + 1 // offset, text bytes, digest, finished
	headBytes  = 1 + 1 + 4 + 8 + 16
	fieldCount = 7
	maxField   = 255 // bytes of one field
	// MaxText is the length of the longest cursor, in characters.
	MaxText = (headBytes + fieldCount*(1+maxField) + 2 + tailBytes + macBytes + 2) / 3 * 4
	// MinKey is the length of the shortest key, in bytes.
	MinKey = 32
)

var encoding = base64.RawURLEncoding.Strict()

// Sealer makes cursors with one key and opens those of that key and of the
// key before it, so that a key can be changed while streams are running.
type Sealer struct {
	keys   [][]byte // the first seals
	maxAge time.Duration
}

// NewSealer takes the current key and the previous one (nil for none). A
// cursor whose attempt began more than maxAge ago is refused; 0 is no limit.
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

// Writer appends the cursors of one attempt. It is not safe for concurrent use.
type Writer struct {
	prefix []byte // base64 text of the static part
	mac    hash.Hash
	raw    [tailBytes + macBytes]byte
	sum    [sha256.Size]byte
}

// Writer encodes the parts of c that do not move during an attempt. The parts
// that move are given to Append.
func (s *Sealer) Writer(c *Cursor) (*Writer, error) {
	static, err := appendStatic(nil, c)
	if err != nil {
		return nil, err
	}
	w := &Writer{
		prefix: encoding.AppendEncode(nil, static),
		mac:    tailMAC(s.keys[0], static),
	}
	w.mac.Reset()
	return w, nil
}

// Append adds the text of the cursor at this place to dst. It allocates only
// when dst has no room.
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

// Open checks text and returns the cursor in it. account is the client account
// that presented it. The MAC is compared in constant time and before anything
// in the cursor is believed.
func (s *Sealer) Open(text, account string, now time.Time) (*Cursor, error) {
	// The decoder passes over line ends, so one cursor would have many texts.
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
	if raw[0] != version {
		return nil, ErrVersion
	}
	staticEnd := len(raw) - tailBytes - macBytes
	if !s.authentic(raw[:staticEnd], raw[staticEnd:]) {
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

func (s *Sealer) authentic(static, tail []byte) bool {
	found := 0
	for _, key := range s.keys {
		mac := tailMAC(key, static)
		mac.Write(tail[:tailBytes])
		found |= subtle.ConstantTimeCompare(mac.Sum(nil)[:macBytes], tail[tailBytes:])
	}
	return found == 1
}

// tailMAC returns the MAC of an attempt's moving part. Its key is the MAC of
// the static part, so the static part is authenticated without being hashed
// again for each token.
func tailMAC(key, static []byte) hash.Hash {
	m := hmac.New(sha256.New, key)
	m.Write(static)
	return hmac.New(sha256.New, m.Sum(nil))
}
