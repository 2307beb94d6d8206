// Package cursor creates and opens the ids of streamed answer events.
//
// A router may crash while it streams an answer, and stores no state that another
// router could read. Instead the caller keeps the position in the answer: the id of
// each event is a cursor that names the request, the run on the engine and how much
// text was delivered. Any router with the same key can open the cursor and continue
// the answer.
//
// A cursor is protected by two checks. A truncated HMAC-SHA256 prevents callers from
// creating or changing a cursor, for example to read another account's run. The
// digest of the delivered text, a CRC-64, detects accidents: a client that lost or
// repeated an event and sends back a text that differs from the delivered one. The
// digest need not resist attacks, because a caller that sends a wrong text with a
// valid cursor corrupts only its own answer. A router that re-attaches to a run
// without the text continues from the digest in the cursor, so the digest must be
// continuable from its value alone. Therefore the digest is a CRC and not a hash with
// internal state.
package cursor

import (
	"hash/crc64"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of this package's errors.
var Error = errs.Class("cursor")

// These are the errors of this package. A request whose cursor gets one of them is refused
// before any work is done for it.
var (
	// ErrMalformed means that the text is not a valid encoding or has a wrong length.
	ErrMalformed = Error.New("malformed")
	// ErrVersion means that the cursor's format version is not supported.
	ErrVersion = Error.New("unknown version")
	// ErrForged means that the cursor's MAC does not match under the current or the
	// previous sealing key.
	ErrForged = Error.New("authentication failed")
	// ErrForeign means that the cursor was issued to another client account.
	ErrForeign = Error.New("belongs to another client account")
	// ErrExpired means that the attempt of the cursor began longer ago than the settings
	// allow.
	ErrExpired = Error.New("expired")
	// ErrText means that the text sent back is not the text that was delivered.
	ErrText = Error.New("text is not the delivered text")
	// ErrField means that a field of a Cursor is too long to be encoded.
	ErrField = Error.New("field too long")
	// ErrKey means that the sealing key is too short.
	ErrKey = Error.New("key shorter than 32 bytes")
)

// Cursor is one position in the delivery of one answer.
type Cursor struct {
	Request     string // the caller's idempotency key
	Account     string
	Backend     string
	Incarnation string // of the engine
	Software    string // version of the engine's software; empty if the engine did not state it, or an older build made the cursor
	Ref         fleet.ModelRef
	BodyHash    [16]byte
	IssuedUnixS int64 // when the attempt began, in Unix seconds
	Attempt     int
	Position
}

// Position is the part of a cursor that changes with each token.
type Position struct {
	Offset    int    // number of tokens delivered
	TextBytes int    // bytes of text delivered
	Digest    uint64 // digest of all delivered text, computed with Extend
	// Finished is set on the last token. A caller that missed only the end marker reconnects
	// with the cursor of the last token. Without Finished, an engine would then continue the
	// text beyond its end.
	Finished bool
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// Extend continues the digest d over text. The digest of the empty text is 0.
func Extend(d uint64, text []byte) uint64 { return crc64.Update(d, crcTable, text) }

// CheckText returns ErrText unless text has the length and the digest of the text
// that was delivered up to the cursor.
func (c *Cursor) CheckText(text string) error {
	if len(text) != c.TextBytes {
		return ErrText
	}
	if Extend(0, []byte(text)) != c.Digest {
		return ErrText
	}
	return nil
}
