// Package once grants at-most-once claims: of all attempts to run one
// request, known by its client account and key, one is granted.
//
// Claims are operations in a log in the key-value service, one log per shard.
// The first claim of a key in the log holds it; every process that reads the
// log sees the same one. One router per shard, the owner, writes the claims
// of all; who that is only saves writes, since two owners meet at the log's
// create and the loser reads on from the winner's entry.
//
// Failure story. When the answer to a write is lost, the claim may be in the
// log without the router knowing. The router then must not dispatch, ever,
// for that attempt: so "not run" is true. But the key may be held by an
// attempt that will not run, and the caller's retry would be refused. The
// router therefore voids the claim in the background. Only the router that
// made an attempt may void it, because only it knows that it dispatched nothing.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("once")

var (
	// ErrUnavailable means that the claim was not made and never will be; the
	// request was not run. It comes as an *UnavailableError.
	ErrUnavailable = errors.New("claims unavailable")
	// ErrUnknown means that the claim may have been made. The attempt must not be
	// dispatched, now or later, so the request was not run; the key may stay held
	// until the claim is voided, which goes on in the background.
	ErrUnknown = errors.New("claim may have been made")
	// ErrKeyReused means that the key was used before with another body.
	ErrKeyReused = errors.New("key reused with another body")
	// ErrDeadlinePassed means that the deadline passed while the claim was under way.
	ErrDeadlinePassed = errors.New("deadline passed before dispatch")
	// ErrInvalid means that an argument is empty or too long.
	ErrInvalid = errors.New("invalid claim")
)

// UnavailableError is ErrUnavailable with the time after which to try again.
type UnavailableError struct {
	RetryAfter time.Duration
}

// Error tells the time to wait.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrUnavailable, e.RetryAfter)
}

// Is makes the error match ErrUnavailable.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// State is what the log says of a key.
type State uint8

const (
	// Claimed means that an attempt holds the key and may have run.
	Claimed State = 1 + iota
	// Voided means that the attempt that held the key surely never ran.
	Voided
)

// ClaimResult answers a claim. If Granted is false, another attempt holds the
// key, or State is Voided and the asking attempt itself was voided.
type ClaimResult struct {
	Granted bool
	Holder  string // node that made the attempt
	Attempt string // attempt that holds the key
	State   State
}

// KeyID stands for one key of one client account.
type KeyID [16]byte

// NewKeyID hashes account and key. A cryptographic hash, so that no client
// account can make a key that collides with another's.
func NewKeyID(account, key string) KeyID {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(account)))
	h.Write(size[:])
	h.Write([]byte(account))
	h.Write([]byte(key))
	return KeyID(h.Sum(nil)[:16])
}

// Shard returns the shard of the key, of n shards.
func (k KeyID) Shard(n int) int { return int(xxhash.Sum64(k[:]) % uint64(n)) }

// OpKind tells the operations in the log apart.
type OpKind uint8

const (
	// OpClaim asks for a key.
	OpClaim OpKind = 1 + iota
	// OpVoid says that an attempt was never dispatched and won't be.
	OpVoid
)

// Op is one operation on one key.
type Op struct {
	Kind    OpKind   `cbor:"1,keyasint"`
	Key     KeyID    `cbor:"2,keyasint"`
	Body    [16]byte `cbor:"3,keyasint"`
	Attempt string   `cbor:"4,keyasint"`
	Node    string   `cbor:"5,keyasint"`
}

// Batch is the operations that one router sends to a shard's owner.
type Batch struct {
	Shard int  `cbor:"1,keyasint"`
	Ops   []Op `cbor:"2,keyasint"`
}

// Code says how an operation ended.
type Code uint8

const (
	// CodeDone: the log was read after the operation; the other fields tell.
	CodeDone Code = 1 + iota
	// CodeUnavailable: the operation was surely not written.
	CodeUnavailable
	// CodeUnknown: the operation may have been written.
	CodeUnknown
)

// Result answers one Op: who holds the key, as the log shows it.
type Result struct {
	Code    Code     `cbor:"1,keyasint"`
	Holder  string   `cbor:"2,keyasint,omitempty"`
	Attempt string   `cbor:"3,keyasint,omitempty"`
	State   State    `cbor:"4,keyasint,omitempty"`
	Body    [16]byte `cbor:"5,keyasint"`
}

// BatchResult answers a Batch, one result for each operation in order.
type BatchResult struct {
	Results []Result `cbor:"1,keyasint"`
}

// Forwarder names the owners of shards and reaches them over the peer links.
// A failed Forward is harmless whatever became of it: the operations are then
// written by the forwarding router itself, and an operation that is in the
// log twice counts once.
type Forwarder interface {
	Owner(shard int) (node string, self bool)
	Forward(ctx context.Context, node string, b Batch) (BatchResult, error)
}

// CheckDeadline returns ErrLate if ctx ended or its deadline has passed. It is to be
// called after a claim is granted, right before dispatch: a process that was
// frozen while it waited sees a deadline pass without its timer having fired,
// and a monotonic clock may have stood still, so both clocks are compared.
func CheckDeadline(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrDeadlinePassed, err))
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	now := time.Now()
	if now.After(deadline) || now.Round(0).After(deadline.Round(0)) {
		return Error.Wrap(ErrDeadlinePassed)
	}
	return nil
}
