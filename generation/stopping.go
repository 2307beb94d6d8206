package generation

import (
	"context"
	"time"

	"wigeondale/clock"
	"wigeondale/stopping"
)

// mayBegin reports whether an attempt may begin although the process may stop. Until its answer has begun, a request that can't end
// for certain can still be refused. After that the caller loses what it has in any case, so that the answer goes on for as long as it can.
func (x *run) mayBegin() bool { return x.started() || x.Stop.MayBegin(x.endsBy) }

// untilLatestBegin returns a context for the wait of an attempt, see mayBegin.
func (x *run) untilLatestBegin(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.started() {
		return ctx, func() {}
	}
	return x.Stop.UntilLatestBegin(ctx, x.endsBy)
}

// endsBy returns when the request has ended in any case: the earlier one of the caller's deadline and its route's, as time since the
// machine's start, or 0 if there is none. How long earlier requests took says nothing for certain about this one. endsBy reads only
// what doesn't change during the run.
func (x *run) endsBy() time.Duration {
	if o := x.req.Opaque; o != nil {
		if o.Deadline.IsZero() {
			return 0
		}
		return clock.SinceBoot() + o.Deadline.Remaining()
	}
	if x.req.Deadline.IsZero() {
		return 0
	}
	return clock.SinceBoot() + time.Until(x.req.Deadline)
}

// stops returns the error of a request that can't end before the process does.
func (x *run) stops() error {
	return &Unavailable{Code: CodeStopping, RetryAfter: x.Stop.ElsewhereAfter(x.patience()), Err: stopping.ErrStopping}
}

// patience returns how much longer the answer may take to begin without being late, as far as known.
func (x *run) patience() time.Duration {
	o := x.req.Opaque
	if o == nil {
		return 0
	}
	return o.FirstChunkTarget - o.SinceFirstTry - time.Since(x.startedAt)
}
