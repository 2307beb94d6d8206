package order

import (
	"context"
	"errors"
	"time"

	"wigeondale/infra"
)

// LeaseKey is the key, after a prefix, to which the holder's lease is attached.
const LeaseKey = "lease"

// kvLease is a Lease in the key-value service.
type kvLease struct {
	kv   infra.KV
	key  string
	node string
}

// NewLease returns the lease for orders, whose key starts with prefix.
func NewLease(kv infra.KV, prefix, node string) Lease {
	return &kvLease{kv: kv, key: prefix + LeaseKey, node: node}
}

// Acquire implements Lease. When the response to a create is lost, Acquire doesn't find out
// whether the key was created: no router renews that lease, so the service deletes the key
// when the lease expires, and then a router can acquire the lease again.
func (l *kvLease) Acquire(ctx context.Context, ttl time.Duration) (HeldLease, bool, error) {
	_, taken, err := l.kv.Get(ctx, l.key)
	if err != nil || taken {
		return HeldLease{}, false, Error.Wrap(err)
	}
	id, err := l.kv.Grant(ctx, ttl)
	if err != nil {
		return HeldLease{}, false, Error.Wrap(err)
	}
	created, v, err := l.kv.CreateWithLease(ctx, l.key, []byte(l.node), id)
	if err != nil || !created {
		// A failed Revoke is ignored, because the lease then expires by itself.
		_ = l.kv.Revoke(ctx, id)
		return HeldLease{}, false, Error.Wrap(err)
	}
	return HeldLease{Fence: uint64(v.CreateRev), ID: int64(id), TTL: ttl}, true, nil
}

// Renew implements Lease. Renew also reads the key: without the key the lease protects
// nothing, and another node may have created the key again.
func (l *kvLease) Renew(ctx context.Context, h HeldLease) error {
	left, err := l.kv.KeepAlive(ctx, infra.LeaseID(h.ID))
	if errors.Is(err, infra.ErrLeaseNotFound) || (err == nil && left <= 0) {
		return Error.Wrap(ErrLeaseLost)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	v, ok, err := l.kv.Get(ctx, l.key)
	if err != nil {
		return Error.Wrap(err)
	}
	if !ok || uint64(v.CreateRev) != h.Fence {
		return Error.Wrap(ErrLeaseLost)
	}
	return nil
}

// Release implements Lease.
func (l *kvLease) Release(ctx context.Context, h HeldLease) error {
	return Error.Wrap(l.kv.Revoke(ctx, infra.LeaseID(h.ID)))
}
