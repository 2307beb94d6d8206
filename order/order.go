// Package order brings backend servers to the placement in the desired state. One router at
// a time sends orders: the holder of a lease in the key-value service. The holder's fencing
// number is the create revision of the lease's key, so each new holder has a higher fencing
// number than the holders before.
//
// The package guards against this failure: a holder is paused, its lease expires and another
// router takes over. Then the first holder resumes and sends an order of an old plan, and an
// engine unloads a version that traffic has just moved to. Backend servers that check the
// fencing number reject such an order. For backend servers that don't check the fencing
// number there are two rules. The holder checks its own clock directly before it sends an
// order, and sends the order only if the order's deadline is well before the end of the
// lease. A new holder waits for the duration of a whole lease plus the deadline of an order
// before it sends its first order. No clock can exclude a pause between the check and the
// write to the connection. Therefore an order states the complete desired state, and the
// holder reads each backend server's status and repeats the order until the backend server
// reports that state.
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

// ErrLeaseLost means that this router no longer holds the lease for orders.
var ErrLeaseLost = errors.New("lease lost")

// ErrStale means that a backend server has seen a higher fencing number.
var ErrStale = errors.New("fencing number is stale")

// Order is the complete state that one backend server is to reach.
type Order struct {
	Fence   uint64
	Plan    string // identifies the revision that the order follows
	Desired []fleet.ModelRef
	Role    string
	Leaving bool
}

// Status is a backend server's report on its orders.
type Status struct {
	Fence   uint64
	Desired []fleet.ModelRef // versions in the last order that the backend server received
	Actual  []fleet.ModelRef // versions that the backend server serves
	Loading []fleet.ModelRef
	Leaving bool
	Role    string
}

// Backends sends orders to backend servers. The method Order must not repeat a call by
// itself, and must return when ctx ends.
type Backends interface {
	Order(ctx context.Context, b fleet.Backend, o Order) (Status, error)
	Status(ctx context.Context, b fleet.Backend) (Status, error)
}

// HeldLease identifies a lease that this router has acquired.
type HeldLease struct {
	Fence uint64
	ID    int64
	TTL   time.Duration // as granted
}

// Lease is the lease for orders in the key-value service.
type Lease interface {
	// Acquire takes the lease if it is free; ok is false if another router holds it.
	Acquire(ctx context.Context, ttl time.Duration) (h HeldLease, ok bool, err error)
	// Renew extends the lease. ErrLeaseLost means that the lease has expired or that this
	// router doesn't hold it any more.
	Renew(ctx context.Context, h HeldLease) error
	// Release gives the lease up before it expires, so that another router can acquire it.
	Release(ctx context.Context, h HeldLease) error
}

// These are the defaults of Policy.
const (
	DefaultTTL           = 12 * time.Second
	DefaultOrderDeadline = 2 * time.Second
	DefaultInterval      = 1 * time.Second
	DefaultUnloadGrace   = 30 * time.Second
)

// Policy contains the durations and budgets for sending orders. Zero values mean the
// defaults.
type Policy struct {
	TTL           time.Duration // duration of the lease
	OrderDeadline time.Duration // time limit of one order
	Interval      time.Duration // between rounds
	UnloadGrace   time.Duration // how long old versions stay loaded after the new ones are served
	WeightRate    int64         // bytes per second from the weight store; 0 means no bound
}

// WithDefaults returns p with zero values replaced by the defaults.
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

// margin is subtracted from the duration of a lease to allow for drift between two
// clocks.
func (p Policy) margin() time.Duration { return p.TTL / 6 }
