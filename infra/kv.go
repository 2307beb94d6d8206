// Package infra holds the clients of the services that the deployment
// already runs: the key-value service, the VM list and the weight store.
//
// The failure that matters here is a write whose answer is lost. The service
// may have applied it, may apply it much later, or may never have seen it.
// Each error therefore says which: ErrUnavailable means that nothing was
// applied, ErrUnknownOutcome that it may have been. Nothing in this package
// sends a write a second time; the callers own that decision.
package infra

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("infra")

var (
	// ErrUnavailable means that the call failed and surely changed nothing.
	ErrUnavailable = errors.New("service unavailable, nothing applied")
	// ErrUnknownOutcome means that a write failed and may be applied, now or later.
	ErrUnknownOutcome = errors.New("outcome unknown, write may be applied")
	// ErrRejected means that the service refused the call as invalid; nothing was applied.
	ErrRejected = errors.New("call rejected by the service")
	// ErrLeaseNotFound means that the lease lapsed or never existed.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that a watch asked for a revision that is no longer kept.
	ErrCompacted = errors.New("watch revision compacted")
)

// LeaseID names a lease of the key-value service; zero is no lease.
type LeaseID int64

// Value is one key with its data and revisions.
type Value struct {
	Key       string
	Data      []byte
	CreateRev int64
	ModRev    int64
	// Lease is the one that the key ends with, 0 for none or where that isn't known.
	Lease LeaseID `cbor:",omitempty"`
}

// WatchEvent is one change under a watched prefix. The last event before the
// channel closes carries Err, unless the watch's context ended.
type WatchEvent struct {
	Deleted bool
	Value   Value
	Err     error
}

// Page is a part of the values under a prefix, in the order of their keys.
type Page struct {
	Values   []Value
	More     bool  // further ones follow after the last key
	Revision int64 // of the service when it was read
}

// KV is the key-value service. Errors match ErrUnavailable or
// ErrUnknownOutcome as the package comment says.
type KV interface {
	Get(ctx context.Context, key string) (Value, bool, error)
	// Range returns keys in [from, end) in order, at most limit (0 for all).
	Range(ctx context.Context, from, end string, limit int) ([]Value, error)
	// Create writes the key if absent; else it returns the existing value.
	Create(ctx context.Context, key string, data []byte) (bool, Value, error)
	CreateWithLease(ctx context.Context, key string, data []byte, lease LeaseID) (bool, Value, error)
	// CompareAndSwap writes the key if its revision is modRev; else it returns the
	// current value, whose Key is empty when the key is absent.
	CompareAndSwap(ctx context.Context, key string, modRev int64, data []byte) (bool, Value, error)
	Put(ctx context.Context, key string, data []byte, lease LeaseID) error
	Delete(ctx context.Context, key string) error
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease and returns what it now has left.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch reports changes under prefix from revision fromRev on (0 for now).
	// The caller reconnects when the channel closes.
	Watch(ctx context.Context, prefix string, fromRev int64) (<-chan WatchEvent, error)
}

// RangeDeleter is a KV that deletes a whole range [from, end) in one call.
type RangeDeleter interface {
	DeleteRange(ctx context.Context, from, end string) error
}

// PrefixEnd returns the end of the range that holds every key under prefix.
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
