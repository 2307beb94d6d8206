// Package cursor makes and opens the ids of streamed answer events.
//
// A router may die while it streams an answer. It keeps nothing that another
// router could read, so the caller holds the place instead: each event's id is
// a cursor that names the request, the run on the engine and how much text was
// delivered. Any router with the same key can open it and continue.
//
// Two checks guard it. A truncated HMAC-SHA256 stops a caller from making or
// changing a cursor (say, to read another account's run). The digest of the
// delivered text, a CRC-64, finds accidents: a client that lost or repeated an
// event and sends back a text that is not the delivered one. The digest need
// not resist an attacker: who sends a false text under a true cursor spoils
// only their own answer. It must be continuable from its value alone, since a
// router that re-attaches without the text goes on from the cursor's digest;
// hence a CRC and not a hash with hidden state.
package cursor

import (
	"hash/crc64"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("cursor")

// The ways in which a cursor can be refused. All are true before any work.
var (
	// ErrMalformed: not the encoding, or a wrong length.
	ErrMalformed = Error.New("malformed")
	// ErrVersion: a format that this program does not read.
	ErrVersion = Error.New("unknown version")
	// ErrForged: no known key made it.
	ErrForged = Error.New("authentication failed")
	// ErrForeign: made for another client account.
	ErrForeign = Error.New("belongs to another client account")
	// ErrExpired: older than the settings allow.
	ErrExpired = Error.New("expired")
	// ErrText: the text sent back is not the text that was delivered.
	ErrText = Error.New("text is not the delivered text")
	// ErrField: a part is too long to be encoded.
	ErrField = Error.New("field too long")
	// ErrKey: the sealing key is too short.
	ErrKey = Error.New("key shorter than 32 bytes")
)

// Cursor is one place in the delivery of one answer.
type Cursor struct {
	Request     string // the caller's request key
	Account     string
	Backend     string
	Incarnation string // of the engine
	Ref         fleet.ModelRef
	BodyHash    [16]byte
	IssuedUnixS int64 // when the attempt began
	Attempt     int
	Position
}

// Position is the part of a cursor that moves with each token.
type Position struct {
	Offset    int    // tokens delivered
	TextBytes int    // bytes of text delivered
	Digest    uint64 // Extend over all text delivered
	// Finished is set on the last token. Without it, a caller that lost only the
	// end mark would be given tokens beyond the end by an engine that continues
	// the text.
	Finished bool
}

var table = crc64.MakeTable(crc64.ECMA)

// Extend continues the digest d over text. The digest of nothing is 0.
func Extend(d uint64, text []byte) uint64 { return crc64.Update(d, table, text) }

// CheckText reports ErrText unless text is, to its last byte, the text that
// was delivered up to the cursor.
func (c *Cursor) CheckText(text string) error {
	if len(text) != c.TextBytes {
		return ErrText
	}
	if Extend(0, []byte(text)) != c.Digest {
		return ErrText
	}
	return nil
}
