// Package order drives backend servers to the placement of the desired state.
// One router at a time gives orders: the holder of a lease in the key-value
// service. Its fencing number is the create revision of the lease's key, so it
// grows with each holder.
//
// The failure guarded against: a holder is paused, its lease lapses, another
// takes over, and the first wakes and sends an order of an old plan. Seen from
// outside, an engine unloads a version that traffic has just been moved to.
// Backend servers that check the fencing number refuse it. For the others, each
// order ends well inside the lease by the holder's own clock, looked at right
// before the order is sent, and a new holder waits out a whole lease and an
// order's deadline before its first one. A pause that falls between that look
// and the write itself can't be excluded by any clock; therefore orders state
// the whole desired state and are read back and repeated until they agree.
package order

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/fleet"
)

// Error is the class of the errors of this package.
var Error = errs.Class("order")

// ErrLeaseLost means that the lease is no longer held.
var ErrLeaseLost = errors.New("lease lost")

// ErrStale means that a backend server has seen a higher fencing number.
var ErrStale = errors.New("fencing number is stale")

// Order is the whole state that one backend server shall come to.
type Order struct {
	Fence   uint64
	Plan    string // names the revision that the order follows
	Desired []fleet.ModelRef
	Role    string
	Leaving bool
}

// Status is what a backend server says of its orders.
type Status struct {
	Fence   uint64
	Desired []fleet.ModelRef // of the last order
	Actual  []fleet.ModelRef // serving
	Loading []fleet.ModelRef
	Leaving bool
	Role    string
}

// Backends sends orders. Order must not send again by itself, and must end
// when ctx does.
type Backends interface {
	Order(ctx context.Context, b fleet.Backend, o Order) (Status, error)
	Status(ctx context.Context, b fleet.Backend) (Status, error)
}

// HeldLease is a lease that was acquired.
type HeldLease struct {
	Fence uint64
	ID    int64
	TTL   time.Duration // as granted
}

// Lease is the lease for orders in the key-value service.
type Lease interface {
	// Acquire takes the lease if it is free; ok is false when another holds it.
	Acquire(ctx context.Context, ttl time.Duration) (h HeldLease, ok bool, err error)
	// Renew prolongs it. ErrLeaseLost means that it has lapsed.
	Renew(ctx context.Context, h HeldLease) error
	// Release gives it up.
	Release(ctx context.Context, h HeldLease) error
}

// Defaults of Policy.
const (
	DefaultTTL           = 12 * time.Second
	DefaultOrderDeadline = 2 * time.Second
	DefaultInterval      = 1 * time.Second
	DefaultUnloadGrace   = 30 * time.Second
)

// Policy holds the times and budgets of giving orders. Zero values take the
// defaults.
type Policy struct {
	TTL           time.Duration // of the lease
	OrderDeadline time.Duration // of one order
	Interval      time.Duration // between rounds
	UnloadGrace   time.Duration // how long old versions stay after the new are serving
	WeightRate    int64         // bytes per second of the weight store; 0 means no bound
}

// WithDefaults fills in what is zero.
func (p Policy) WithDefaults() Policy {
	if p.TTL <= 0 {
		p.TTL = DefaultTTL
	}
	if p.OrderDeadline <= 0 {
		p.OrderDeadline = DefaultOrderDeadline
	}
	if p.Interval <= 0 {
		p.Interval = DefaultInterval
	}
	if p.UnloadGrace <= 0 {
		p.UnloadGrace = DefaultUnloadGrace
	}
	return p
}

// margin is taken off a lease for the drift between two clocks.
func (p Policy) margin() time.Duration { return p.TTL / 6 }
