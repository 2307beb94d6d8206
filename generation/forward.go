package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
)

// CodeCutOff is the code of the refusal of a request whose router reaches none of the backend
// servers that it needs, and that no other router takes.
const CodeCutOff = "router_cut_off"

var errCutOff = Error.New("this router reaches none of the backend servers")

// Forwarder passes requests on to other routers while this router is cut off from the backend
// servers that they need.
type Forwarder interface {
	// CutOff reports whether this router is cut off from a service, or from the model engines if
	// service is empty.
	CutOff(service string) bool
	// CheckCutOff reports the same after a check, if failures of connections are reason for one.
	CheckCutOff(ctx context.Context, service string) bool
	// Forward passes the rest of a request on to another router and returns its answer. If the
	// request has not run, the error wraps backend.ErrNotSent or is an *Unavailable.
	Forward(ctx context.Context, h Handover) (ForwardedStream, error)
}

// ForwardedStream is the answer of a request that another router runs.
type ForwardedStream interface {
	Stream
	// Router returns the id of the router that runs the request.
	Router() string
	// Origin returns the attempt that produced the latest token.
	Origin() Position
}

// Handover is the rest of a request, as one router passes it on to another.
type Handover struct {
	Request Request
	// Retry reports that an attempt of the request was sent before. That attempt counts as the
	// first; the router that passes the request on has drawn the retry budget for the next.
	Retry bool
}

// RemoteEnd is the error of a forwarded stream whose request ended at the other router without a
// complete answer.
type RemoteEnd struct {
	Outcome    fleet.Outcome
	Code       string
	RetryAfter time.Duration
}

func (e *RemoteEnd) Error() string {
	return "the request ended at the other router: " + string(e.Outcome) + ", " + e.Code
}

// cutOff reports whether this router is cut off from the backend servers that the request needs.
func (x *run) cutOff() bool { return x.Forwarder != nil && x.Forwarder.CutOff(x.service()) }

// foundCutOff reports whether this router turns out to be cut off, before a request is given up for
// which no connection opened.
func (x *run) foundCutOff() bool {
	return x.unreached && x.Forwarder != nil && !x.req.Forwarded && x.Forwarder.CheckCutOff(x.searching(), x.service())
}

// passOn decides what becomes of a request while this router is cut off. A request that another
// router passed on is not passed on again.
func (x *run) passOn() string {
	if x.req.Forwarded {
		return x.giveUp(CodeCutOff, &Unavailable{Code: CodeCutOff, Err: errCutOff})
	}
	return "cut-off"
}

// maxAttempts returns how many backend servers may run an opaque request. The attempt of a started
// answer that was lost with the links of this router does not count, but one that is kept does.
func (x *run) maxAttempts() int {
	n := x.req.Opaque.MaxAttempts
	if x.started() && !x.req.NonIdempotent && x.kept == nil && x.cutOff() {
		n++
	}
	return n
}

// forward passes the rest of the request on to another router.
func (x *run) forward() string {
	if !x.mayBegin() {
		return x.giveUp(CodeStopping, x.stops())
	}
	a := &attempt{watch: noWatch{}, copyResult: make(chan standbyCopy, 1), forwarded: true}
	a.origin = Position{Attempt: x.nextAttemptNumber()}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	a.sentAt = time.Now()
	ctx, handover := a.ctx, x.handover()
	x.fates.sending(a)
	a.begin(func() (Stream, error) { return x.Forwarder.Forward(ctx, handover) })
	opened, ev, err := x.awaitAnswer(a)
	switch {
	case ev != "":
		return ev
	case err != nil:
		return x.handleForwardError(a, err)
	}
	x.replaceKept()
	s := opened.(ForwardedStream)
	x.anySent = true
	x.opts.Log.Emit(event.RequestPassedOn, "request", x.req.ID, "service", x.service(), "to", s.Router(), "from", x.filter.next,
		"took_ms", time.Since(a.sentAt).Milliseconds())
	x.setRemoteOrigin(a, s)
	return x.makeCurrent(a, s, "opened")
}

// handover returns the rest of the request.
func (x *run) handover() Handover {
	req := x.req
	req.Forwarded = true
	req.Binding = x.bound
	if o := req.Opaque; o != nil {
		rest := *o
		rest.FirstChunk = x.filter.next
		rest.BeganAs = x.req.BeganAs()
		rest.Form = x.form
		rest.HasPartialAnswer = rest.HasPartialAnswer || x.started()
		rest.MaxAttempts = max(x.maxAttempts()-x.fates.count(), 1)
		rest.SinceFirstTry += time.Since(x.startedAt)
		req.Opaque = &rest
	} else if x.fates.mayHaveRun() {
		req.Resume = x.resumePoint()
	}
	return Handover{Request: req, Retry: x.anySent}
}

// resumePoint returns the point from which another router continues the answer.
func (x *run) resumePoint() *ResumePoint {
	return &ResumePoint{
		Backend: x.lastOrigin.Backend, Incarnation: x.lastOrigin.Incarnation, Attempt: x.attemptNumber,
		Offset: x.filter.next, Text: string(x.text), HaveText: x.keepsText,
		Software: x.lastOrigin.Software,
	}
}

// handleForwardError handles an error of a request that could not be passed on, or whose answer
// brought no chunk.
func (x *run) handleForwardError(a *attempt, err error) string {
	switch {
	case errors.Is(err, errOtherForm), errors.Is(err, errNoChunk):
		x.anySent = true
		return x.recordUnusable(a, causeUnfit, err)
	case a.stream != nil: // its answer has begun
		x.anySent, x.current = true, a
		return x.handleLoss(a, err)
	}
	a.closeReader()
	notRun := x.fates.settle(a, err)
	x.anySent = x.anySent || !notRun
	x.waitErr = err
	x.logLoss(a, causeRouter, err)
	if x.mustEnd() {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	end, ended := errors.AsType[*RemoteEnd](err)
	switch {
	case x.started() && notRun:
		x.delay = maxPickDelay // a started answer waits for a router that takes it
		return "not-started"
	case ended:
		return x.endLikeRemote(end)
	case notRun:
		return x.giveUp(CodeCutOff, err)
	}
	x.current = a
	return x.handleLoss(a, err)
}

// endLikeRemote ends the run as it ended at the other router.
func (x *run) endLikeRemote(end *RemoteEnd) string { return x.giveUp(end.Code, end) }

// followOrigin tells the sink which attempt at the other router produces the tokens, if that has
// changed.
func (x *run) followOrigin(a *attempt) error {
	s, ok := a.stream.(ForwardedStream)
	if !ok {
		return nil
	}
	origin := s.Origin()
	if origin == a.origin {
		return nil
	}
	x.bindAnnounced(a, origin)
	x.setRemoteOrigin(a, s)
	x.filter.setAttempt(a.origin.Attempt)
	x.lastOrigin = a.origin
	return x.sink.Begin(origin, s.Head())
}

// setRemoteOrigin sets the attempt at the other router that produces the tokens of a. Later attempts
// of this run get higher numbers.
func (x *run) setRemoteOrigin(a *attempt, s ForwardedStream) {
	a.origin = s.Origin()
	x.attemptNumber = max(x.attemptNumber, a.origin.Attempt)
}
