package order

import (
	"time"

	"wigeondale/fleet"
)

// Tenure is one holding of the lease, by the holder's own clock. It decides
// whether an order may be sent; it does no I/O.
type Tenure struct {
	Fence  uint64
	policy Policy
	until  time.Time // no order may still be under way after this
	renew  time.Time
	quiet  time.Time // no order to backend servers that don't check before this
	busy   map[string]time.Time
}

// NewTenure starts a tenure. asked is when the call that acquired the lease was
// begun: the service counts the ttl from some moment after that.
func NewTenure(p Policy, fence uint64, asked, now time.Time) *Tenure {
	t := &Tenure{Fence: fence, policy: p, busy: map[string]time.Time{}}
	t.RecordRenewal(asked)
	// The former holder may believe in its lease for one ttl after its last
	// renewal, also when the service has lost the lease earlier, and an order of
	// its last moment takes up to the order's deadline.
	t.quiet = now.Add(p.TTL + p.OrderDeadline)
	return t
}

// RecordRenewal notes a renewal whose call was begun at asked.
func (t *Tenure) RecordRenewal(asked time.Time) {
	t.until = asked.Add(t.policy.TTL - t.policy.margin())
	t.renew = asked.Add(t.policy.TTL / 3)
}

// RenewDue reports whether the lease should be renewed now.
func (t *Tenure) RenewDue(now time.Time) bool { return !now.Before(t.renew) }

// Expired reports whether the tenure is over by the holder's own clock.
func (t *Tenure) Expired(now time.Time) bool { return !now.Before(t.until) }

// ValidUntil is when the tenure ends unless it is renewed.
func (t *Tenure) ValidUntil() time.Time { return t.until }

// InQuietPeriod reports whether backend servers that don't check must still be left alone.
func (t *Tenure) InQuietPeriod(now time.Time) bool { return now.Before(t.quiet) }

// PermitSend says whether an order to b may be sent at this very moment, and by when
// it must have ended. It marks b as busy until Answered is called or the
// deadline has passed: an unanswered order may still arrive until then and would
// undo a newer one.
func (t *Tenure) PermitSend(now time.Time, b fleet.Backend) (deadline time.Time, ok bool) {
	deadline = now.Add(t.policy.OrderDeadline)
	if deadline.After(t.until) {
		return time.Time{}, false
	}
	if !b.ChecksFence && t.InQuietPeriod(now) {
		return time.Time{}, false
	}
	if now.Before(t.busy[b.ID]) {
		return time.Time{}, false
	}
	// One nanosecond more than the deadline, so that both can't coincide.
	t.busy[b.ID] = deadline.Add(1)
	return deadline, true
}

// RecordAnswer notes that b has answered its last order, so that it may get another.
func (t *Tenure) RecordAnswer(b fleet.Backend) { delete(t.busy, b.ID) }
