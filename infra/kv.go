// Package infra contains the clients of the external services of a deployment: the
// key-value service, the VM list and the weight store.
//
// When the response to a write is lost, the service may have applied the write, may apply
// it much later, or may never have received it. The errors therefore distinguish the cases:
// ErrUnavailable means that nothing was applied; ErrUnknownOutcome means that the write may
// have been applied or may still be applied later. Nothing in this package sends a write a
// second time; the callers decide whether to repeat the write.
package infra

import (
	"context"
	"errors"
	"time"

	"wigeondale/fleet"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("infra")

var (
	// ErrUnavailable means that the call failed and certainly changed nothing.
	ErrUnavailable = errors.New("service unavailable, nothing applied")
	// ErrUnknownOutcome means that the caller got no valid response to a write, and that
	// the write may have been applied or may still be applied later.
	ErrUnknownOutcome = errors.New("outcome unknown, write may be applied")
	// ErrRejected means that the service refused the call as invalid; nothing was applied.
	ErrRejected = errors.New("call rejected by the service")
	// ErrLeaseNotFound means that the lease expired or never existed.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that a watch started at a revision that the service no longer
	// stores.
	ErrCompacted = errors.New("watch revision compacted")
)

// LeaseID identifies a lease of the key-value service; zero means no lease.
type LeaseID int64

// Lease is a lease as the service had it in an era (fleet.Revision). A service that has come back from
// an older copy of its data gives out the ids of leases again. An id may have any value, so that it
// can't hold the era.
type Lease struct {
	ID  LeaseID
	Era int64
}

// Value is one key with its data and revisions.
type Value struct {
	Key       string
	Data      []byte
	CreateRev fleet.Revision
	ModRev    fleet.Revision
	// Lease is the lease that the key is attached to; 0 means that there is none or that it
	// isn't known.
	Lease LeaseID `cbor:",omitempty"`
}

// Leased returns the lease of the item.
func (v Value) Leased() Lease { return Lease{v.Lease, v.ModRev.Era()} }

// WatchEvent is one change under a watched prefix. Err is set in the last event before the
// channel closes, unless the watch closed because its context ended.
type WatchEvent struct {
	Deleted bool
	Value   Value
	Err     error
}

// Page is one part of the values under a prefix, in key order.
type Page struct {
	Values   []Value
	More     bool           // the prefix has further keys after the last one here
	Revision fleet.Revision // revision of the service at the time of the read
}

// KV is a client of the key-value service. Its errors match ErrUnavailable or
// ErrUnknownOutcome as described in the package comment.
type KV interface {
	Get(ctx context.Context, key string) (Value, bool, error)
	// Range returns the keys in [from, end) in key order, at most limit (0 means all).
	Range(ctx context.Context, from, end string, limit int) ([]Value, error)
	// Create writes the key if it is absent; otherwise it returns the existing value.
	Create(ctx context.Context, key string, data []byte) (bool, Value, error)
	CreateWithLease(ctx context.Context, key string, data []byte, lease LeaseID) (bool, Value, error)
	// CompareAndSwap writes the key if its revision is modRev; otherwise CompareAndSwap
	// returns the current value, whose Key is empty when the key is absent.
	CompareAndSwap(ctx context.Context, key string, modRev fleet.Revision, data []byte) (bool, Value, error)
	Put(ctx context.Context, key string, data []byte, lease LeaseID) error
	Delete(ctx context.Context, key string) error
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease and returns the time until the lease expires.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch reports changes under prefix from revision fromRev on (0 means from now
	// on). The caller opens a new watch when the channel closes.
	Watch(ctx context.Context, prefix string, fromRev fleet.Revision) (<-chan WatchEvent, error)
}

// RangeDeleter is a KV that deletes a whole range [from, end) in one call.
type RangeDeleter interface {
	DeleteRange(ctx context.Context, from, end string) error
}

// PrefixEnd returns the exclusive end of the range of all keys that start with prefix.
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return "\x00"
}
