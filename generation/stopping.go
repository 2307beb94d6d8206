package generation

import (
	"time"

	"wigeondale/clock"
	"wigeondale/stopping"
)

// stoppingWork states how long the request takes from now on. A request that may run once has to have ended for certain before the
// process does, so that only its deadline counts. It reads only what doesn't change during the run.
func (x *run) stoppingWork() stopping.Work {
	w := stopping.Work{EndsBy: x.endsBy()}
	if !x.req.NonIdempotent && x.Durations != nil {
		w.Expected, _ = x.Durations.Expected(x.kind())
	}
	return w
}

// endsBy returns the caller's deadline as time since the machine's start, or 0 if there is none.
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

// kind names the requests whose durations are alike.
func (x *run) kind() string {
	o := x.req.Opaque
	switch {
	case o == nil:
		return x.req.Ref.Model
	case o.Streaming:
		return o.Service + " stream"
	}
	return o.Service
}

func (x *run) recordDuration() {
	if x.Durations != nil && !x.firstSentAt.IsZero() {
		x.Durations.Add(x.kind(), time.Since(x.firstSentAt))
	}
}

// stops returns the error of a request that can't end before the process does.
func (x *run) stops() error {
	return &Unavailable{Code: CodeStopping, RetryAfter: x.Stop.ElsewhereAfter(), Err: stopping.ErrStopping}
}
