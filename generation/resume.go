package generation

import (
	"time"

	"wigeondale/backend"
)

// resume attaches to the run of the lost attempt, which its engine may still keep. If this
// router has made no attempt yet, the run is the one named by the request's ResumePoint.
func (x *run) resume() string {
	if x.current == nil {
		x.current = x.attemptFromResume()
	}
	if x.cutOff() && !x.req.Forwarded {
		x.lastOrigin = x.current.origin
		return x.passOn()
	}
	a := x.current
	b, known := x.Picker.Lookup(a.origin.Backend)
	if !known {
		x.waitErr = Error.New("%w: backend server %s is not known", backend.ErrUnknownStream, a.origin.Backend)
		return "not-attached"
	}
	a.backend, a.reattached = b, true
	x.watchAttempt(a)
	x.m.reattaches.Inc()
	s, err := x.attach(a)
	if err != nil {
		if x.ctx.Err() != nil {
			return x.giveUp(CodeDeadline, x.endCause())
		}
		x.waitErr = err
		a.closeReader()
		return "not-attached"
	}
	return x.makeCurrent(a, s, "attached")
}

func (x *run) attemptFromResume() *attempt {
	p := x.req.Resume
	return &attempt{
		origin: Position{Backend: p.Backend, Incarnation: p.Incarnation, Attempt: p.Attempt},
		exists: true,
	}
}

// attach attaches to the run that the engine keeps for a. It bounds the wait for the engine's
// response, since a frozen engine accepts connections and sends nothing. It doesn't bound the
// reading after that.
func (x *run) attach(a *attempt) (Stream, error) {
	cancel := a.cancel
	t := time.AfterFunc(x.opts.AttachTimeout, func() { cancel(ErrEngineLost) })
	defer t.Stop()
	ctx, b, from := a.ctx, a.backend, x.filter.next
	id := backend.StreamID{Request: x.req.ID, Attempt: a.origin.Attempt, Ref: x.req.Ref}
	a.begin(func() (Stream, error) { return x.Engines.Attach(ctx, b, id, from) })
	s, err := a.awaitAttached()
	if err != nil {
		return nil, err
	}
	if a.origin.Incarnation != "" && a.origin.Incarnation != s.Incarnation() {
		s.Close()
		return nil, Error.New("%w: engine was restarted", backend.ErrUnknownStream)
	}
	return s, nil
}

// awaitAttached waits for the result of attach. A silence of the engine ends the try.
func (a *attempt) awaitAttached() (Stream, error) {
	r, silence := a.awaitResult()
	if silence != nil {
		a.cancel(silence)
		r, _ = a.awaitResult()
	}
	return r.stream, r.err
}
