package order

import (
	"time"

	"wigeondale/fleet"
)

// Tenure is one uninterrupted period during which a router holds the lease, by that
// router's own clock. A Tenure decides whether an order may be sent; it does no I/O.
type Tenure struct {
	Fence      uint64
	policy     Policy
	validUntil time.Time // every order must have ended by then
	renewAt    time.Time
	quietUntil time.Time // no order before then to backend servers that don't check the fencing number
	busyUntil  map[string]time.Time
}

// NewTenure starts a tenure. startedAt is the time when the call that acquired the lease
// started. The service counts the lease's duration from some time after startedAt, so a
// validity that is counted from startedAt ends before the lease does.
func NewTenure(p Policy, fence uint64, startedAt, now time.Time) *Tenure {
	t := &Tenure{Fence: fence, policy: p, busyUntil: map[string]time.Time{}}
	t.RecordRenewal(startedAt)
	// The former holder may consider its lease valid for one TTL after its last renewal,
	// even if the service has lost the lease earlier. An order that the former holder sends
	// at the end of that time may take until the order's deadline to arrive.
	t.quietUntil = now.Add(p.TTL + p.OrderDeadline)
	return t
}

// RecordRenewal records a renewal of the lease whose call started at startedAt; the tenure
// then ends one TTL, less the margin for clock drift, after startedAt.
func (t *Tenure) RecordRenewal(startedAt time.Time) {
	t.validUntil = startedAt.Add(t.policy.TTL - t.policy.margin())
	t.renewAt = startedAt.Add(t.policy.TTL / 3)
}

// RenewDue reports whether the lease should be renewed now.
func (t *Tenure) RenewDue(now time.Time) bool { return !now.Before(t.renewAt) }

// Expired reports whether the tenure has ended by the holder's own clock.
func (t *Tenure) Expired(now time.Time) bool { return !now.Before(t.validUntil) }

// ValidUntil returns the time at which the tenure ends unless it is renewed.
func (t *Tenure) ValidUntil() time.Time { return t.validUntil }

// InQuietPeriod reports whether it is too early for orders to backend servers that don't check
// the fencing number.
func (t *Tenure) InQuietPeriod(now time.Time) bool { return now.Before(t.quietUntil) }

// PermitSend reports whether an order to b may be sent now, and the deadline by which the
// order must have ended. It marks b as busy until b's answer is recorded or the deadline
// has passed: until then an unanswered order may still arrive, and would undo a newer
// order.
func (t *Tenure) PermitSend(now time.Time, b fleet.Backend) (deadline time.Time, ok bool) {
	deadline = now.Add(t.policy.OrderDeadline)
	if deadline.After(t.validUntil) {
		return time.Time{}, false
	}
	if !b.ChecksFence && t.InQuietPeriod(now) {
		return time.Time{}, false
	}
	if now.Before(t.busyUntil[b.ID]) {
		return time.Time{}, false
	}
	// b stays busy until one nanosecond after the deadline, so that an order that arrives
	// exactly at its deadline can't coincide with the next order.
	t.busyUntil[b.ID] = deadline.Add(1)
	return deadline, true
}

// RecordAnswer records that b has answered its last order, so that b may get another order.
func (t *Tenure) RecordAnswer(b fleet.Backend) { delete(t.busyUntil, b.ID) }
