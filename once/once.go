// Package once grants claims that make a request run at most once: of all
// attempts to run a request, which is identified by its client account and
// key, only one is granted.
//
// Claims are operations in a log in the key-value service, with one log per
// shard. The first claim of a key in the log holds the key, and every process
// that reads the log finds the same claim. For each shard one router, the
// owner, writes the claims of all routers. Ownership only saves writes; safety
// does not depend on it. If two routers both act as the owner, only one of
// them can create the next log entry. The other router's create fails, and it
// continues reading from the entry that was created.
//
// When the answer to a write is lost, the claim may be in the log although the
// router does not know it. The router must never dispatch that attempt, so
// that its answer "not run" to the caller is true. But then the key may be
// held by an attempt that never runs, and the caller's retry would be refused.
// The router therefore voids the claim in the background. Only the router that
// made an attempt may void it, because only that router knows that it did not
// dispatch the attempt.
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
	// ErrUnavailable means that the claim was not written to the log and never will be,
	// so the request was not run. Claim returns it as an *UnavailableError.
	ErrUnavailable = errors.New("claims unavailable")
	// ErrUnknown means that the claim may have been written to the log. The attempt
	// must not be dispatched, now or later, so the request was not run. The key may
	// stay held until the claim has been voided, which happens in the background.
	ErrUnknown = errors.New("claim may have been made")
	// ErrKeyReused means that the key is held by a request with a different body.
	ErrKeyReused = errors.New("key reused with another body")
	// ErrDeadlinePassed means that the deadline passed before the attempt was dispatched.
	ErrDeadlinePassed = errors.New("deadline passed before dispatch")
	// ErrInvalid means that an argument is empty, too long or out of range.
	ErrInvalid = errors.New("invalid claim")
)

// UnavailableError is an error that matches ErrUnavailable and carries the time to wait
// before a retry.
type UnavailableError struct {
	RetryAfter time.Duration
}

// Error returns a message that includes the time to wait before a retry.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrUnavailable, e.RetryAfter)
}

// Is reports whether target is ErrUnavailable.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// State is the state of a key according to the log.
type State uint8

const (
	// Claimed means that an attempt holds the key; the attempt may have been
	// dispatched.
	Claimed State = 1 + iota
	// Voided means that the attempt that held the key was never dispatched and
	// never will be.
	Voided
)

// ClaimResult is the answer to a claim. If Granted is false, either another attempt
// holds the key, or State is Voided and the claiming attempt itself was voided.
type ClaimResult struct {
	Granted bool
	Holder  string // node that made the attempt that holds the key
	Attempt string // attempt that holds the key
	State   State
}

// KeyID identifies one key of one client account.
type KeyID [16]byte

// NewKeyID hashes account and key. The hash is cryptographic, so that a client
// account cannot construct a key that collides with another account's key.
func NewKeyID(account, key string) KeyID {
	h := sha256.New()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(account)))
	h.Write(size[:])
	h.Write([]byte(account))
	h.Write([]byte(key))
	return KeyID(h.Sum(nil)[:16])
}

// Shard returns the index of the shard, out of n, that the key belongs to.
func (k KeyID) Shard(n int) int { return int(xxhash.Sum64(k[:]) % uint64(n)) }

// OpKind is the kind of an operation in the log.
type OpKind uint8

const (
	// OpClaim claims a key for an attempt.
	OpClaim OpKind = 1 + iota
	// OpVoid records that an attempt was never dispatched and never will be.
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

// Batch is a list of operations that one router forwards to a shard's owner.
type Batch struct {
	Shard int  `cbor:"1,keyasint"`
	Ops   []Op `cbor:"2,keyasint"`
}

// Code is the outcome of an operation.
type Code uint8

const (
	// CodeDone means that the log was read up to and including the operation. The other
	// fields of the Result are the state of the key after the operation.
	CodeDone Code = 1 + iota
	// CodeUnavailable means that the operation was not written to the log.
	CodeUnavailable
	// CodeUnknown means that the operation may have been written to the log.
	CodeUnknown
)

// Result is the result of one Op: whether the operation is in the log (Code) and, if Code
// is CodeDone, the state of the key in the log after the operation.
type Result struct {
	Code    Code     `cbor:"1,keyasint"`
	Holder  string   `cbor:"2,keyasint,omitempty"`
	Attempt string   `cbor:"3,keyasint,omitempty"`
	State   State    `cbor:"4,keyasint,omitempty"`
	Body    [16]byte `cbor:"5,keyasint"`
}

// BatchResult is the answer to a Batch: one result per operation, in order.
type BatchResult struct {
	Results []Result `cbor:"1,keyasint"`
}

// Forwarder finds the owner of each shard and forwards batches to the owner over the
// peer links. A failed Forward is harmless even if the owner wrote the operations: the
// forwarding router then writes them itself, and an operation that is in the log twice
// takes effect once.
type Forwarder interface {
	Owner(shard int) (node string, self bool)
	Forward(ctx context.Context, node string, b Batch) (BatchResult, error)
}

// CheckDeadline returns an error if ctx has ended or its deadline has passed. Callers
// call CheckDeadline after a claim is granted, immediately before the dispatch. If the
// process was frozen while it waited for the claim, the deadline may have passed
// although the timer of ctx has not fired yet. The monotonic clock may have been
// stopped during the freeze, so the deadline is compared with the wall clock as well.
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
