package generation

import (
	"context"
	"time"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
)

// Codes of streams that can't go on at the software version that began them.
const (
	// CodeVersionUnknown means that no router that was reached knows the version.
	CodeVersionUnknown = "stream_version_unknown"
	// CodeVersionGone means that no backend server runs the version any more, or that it was rolled back.
	CodeVersionGone = "stream_version_gone"
)

// confirmInterval is the time between two queries for a version that a backend server hasn't answered.
const confirmInterval = 100 * time.Millisecond

var (
	errOtherVersion      = Error.New("the backend server runs another software version than its list entry states")
	errVersionUnanswered = Error.New("the backend server has not answered the query for its software version")
)

// Binding is the software version at which a stream began. The stream goes on at this version only.
type Binding struct {
	Version string
	// Unknown means that the version could not be found out: the stream ends with its attempt.
	Unknown bool
	// Unanswered means that the version is unknown because the backend server gave no answer.
	Unanswered bool
}

// StreamVersions knows at which software version streams began. It is not used for requests whose
// answers can't be continued.
type StreamVersions interface {
	// Find returns the version at which the stream began that a client takes up. The error is an
	// *Unavailable.
	Find(ctx context.Context, r *Request) (Binding, error)
	// Confirm returns the software version that runs at a backend server now, as opposed to the
	// version in the list entry by which it was chosen. An attempt that was sent to an earlier process at its
	// address does not deliver any more.
	Confirm(ctx context.Context, b fleet.Backend) (Binding, error)
	// Began records that a stream began at a version. It is called before the first chunk is
	// passed on, and doesn't wait. An empty version is one that isn't known (yet).
	Began(r *Request, b fleet.Backend, version string)
}

// softwareStater is a Stream whose answer states the software version of its engine.
type softwareStater interface{ Software() string }

// bindsVersion reports whether the answer has to stay at one software version.
func (x *run) bindsVersion() bool {
	o := x.req.Opaque
	if o == nil {
		return true
	}
	return x.StreamVersions != nil && o.Streaming && o.Resumable
}

// findVersion finds out at which software version the stream began that the client takes up.
func (x *run) findVersion() error {
	if x.bound != nil || x.req.Opaque == nil || !x.bindsVersion() || !x.req.Opaque.HasPartialAnswer {
		return nil
	}
	b, err := x.StreamVersions.Find(x.ctx, &x.req)
	if err != nil {
		x.m.versionUnknown.Inc()
		x.opts.Log.Emit(event.StreamVersionUnknown, "request", x.req.ID, "began_as", x.req.Opaque.BeganAs, "service", x.service(), "err", err)
		return err
	}
	x.bound = &b
	return nil
}

// bindVersion is called before the first chunk of an attempt is passed on. It binds a new stream to
// the version that runs the attempt. It returns an error if the attempt of a stream that has begun
// runs at another version, or at one that can't be found out, and errVersionUnanswered if the query has to be repeated first.
func (x *run) bindVersion(a *attempt) error {
	if a.accepted > 0 || !x.bindsVersion() {
		return nil
	}
	got, err := x.attemptVersion(a)
	if err != nil {
		return Error.New("%w: %w", backend.ErrMismatch, err)
	}
	if got.Unanswered && x.bound != nil && !x.lostVersion() {
		return errVersionUnanswered
	}
	if x.bound == nil || a.reattached && !got.Unknown {
		x.bound = &got
	} else if got.Unknown || got.Version != x.bound.Version {
		return Error.New("%w: %w", backend.ErrMismatch, errOtherVersion)
	}
	if x.req.Opaque != nil {
		x.recordVersion(a, got.Version)
	}
	return nil
}

// recordVersion records the version of a new stream, at the router that has the client. A router that was passed the request
// doesn't know whether its chunks get there; if they don't, the stream may begin at another version.
func (x *run) recordVersion(a *attempt, version string) {
	if x.req.Forwarded {
		return
	}
	b := a.backend
	if a.forwarded {
		b = fleet.Backend{ID: a.origin.Backend}
	}
	x.StreamVersions.Began(&x.req, b, version)
}

// confirmLater repeats the query for the version of a new stream whose backend server gave no answer, while
// the stream goes on. Without the version the stream could not be continued after a crash.
func (x *run) confirmLater(a *attempt, now time.Time) {
	if x.bound == nil || !x.bound.Unanswered || a.forwarded {
		return
	}
	select {
	case b := <-a.confirmed:
		a.confirming = false
		x.bound = &b
		if !b.Unknown {
			a.origin.Software = b.Version
			x.recordVersion(a, b.Version)
			x.watchAgain(a)
			return
		}
	default:
	}
	if a.confirming || now.Sub(a.confirmAskedAt) < confirmInterval {
		return
	}
	a.confirming, a.confirmAskedAt = true, now
	go func() {
		b, err := x.StreamVersions.Confirm(a.ctx, a.backend)
		if err != nil {
			b = Binding{Unknown: true} // the attempt ends by itself
		}
		a.confirmed <- b
	}()
}

// announceVersion sends the version of the attempt to the router that has passed the request on, at first and when it is confirmed later.
func (x *run) announceVersion(a *attempt) error {
	if !x.req.Forwarded || x.req.Opaque == nil || !x.bindsVersion() || a.accepted > 0 && a.announced == a.origin.Software {
		return nil
	}
	a.announced = a.origin.Software
	return x.sink.Begin(a.origin, a.stream.Head())
}

// bindAnnounced binds a stream whose version was unknown to the one that the other router has confirmed since for the same attempt.
func (x *run) bindAnnounced(a *attempt, origin Position) {
	if !x.lostVersion() || origin.Software == "" || origin.Attempt != a.origin.Attempt || origin.Backend != a.origin.Backend || a.accepted == 0 {
		return
	}
	x.bound = &Binding{Version: origin.Software}
	x.recordVersion(a, origin.Software)
}

// attemptVersion returns the software version that runs an attempt.
func (x *run) attemptVersion(a *attempt) (Binding, error) {
	if x.req.Opaque == nil {
		return Binding{Version: a.origin.Software}, nil
	}
	if a.forwarded {
		return Binding{Version: a.origin.Software, Unknown: a.origin.Software == ""}, nil
	}
	b, err := x.StreamVersions.Confirm(x.ctx, a.backend)
	a.origin.Software = b.Version
	return b, err
}

// awaitVersion delivers the first chunk of a once more when its backend server answers the query for its version. Until then a may be
// reported silent and kept like any other attempt.
func (x *run) awaitVersion(a *attempt, first backend.Token) {
	a.awaitsResult = true
	go func() {
		for clock.Sleep(a.ctx, confirmInterval) {
			b, err := x.StreamVersions.Confirm(a.ctx, a.backend)
			if err != nil || !b.Unanswered {
				a.reading.deliver(readResult{token: first})
				return
			}
		}
		a.reading.deliver(readResult{err: Error.New("%w: %w", backend.ErrBroken, context.Cause(a.ctx))})
	}()
}

// lostVersion reports whether the answer has begun at a version that isn't known, so that no other
// backend server may continue it.
func (x *run) lostVersion() bool { return x.bound != nil && x.bound.Unknown }

// BeganAs returns the id of the client's attempt that brought the first chunk of the answer, as far as it is
// known: the client's own statement, or the id of this attempt if the answer begins with it.
func (r *Request) BeganAs() string {
	if o := r.Opaque; o != nil && o.HasPartialAnswer {
		return o.BeganAs
	}
	return r.ID
}

// ClientTimeLeft returns how long the client may still take up the answer; 0 if that isn't known.
func (r *Request) ClientTimeLeft() time.Duration {
	if r.Opaque == nil || r.Opaque.Deadline.IsZero() {
		return 0
	}
	return max(r.Opaque.Deadline.Remaining(), 0)
}
