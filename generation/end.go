package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/stopping"
)

// finalOutcome maps every final state of the chart to an outcome. The outcome of a cancelled
// run depends on how far the run got.
var finalOutcome = map[string]fleet.Outcome{
	"complete":  fleet.Complete,
	"refused":   fleet.NotRun,
	"failed":    fleet.Failed,
	"unknown":   fleet.Unknown,
	"cancelled": "",
}

// giveUp ends the run and returns the event that leads to the true outcome. No other function
// decides whether "not-run" may be reported.
func (x *run) giveUp(code string, err error) string {
	if errors.Is(err, ErrCallerDisconnected) {
		return x.callerDisconnected(err)
	}
	if errors.Is(err, stopping.ErrStopping) {
		code = CodeStopping
	}
	if x.mayHold() {
		return "hold"
	}
	switch {
	case x.joins():
	case x.emptyAnswer != nil:
		return x.deliverEmptyAnswer()
	case x.failedAnswer != nil:
		return x.deliverFailedAnswer()
	}
	switch x.incompleteState() {
	case "refused":
		return x.end("refuse", code, err)
	case "unknown":
		return x.end("lose", code, err)
	}
	return x.end("fail", code, err)
}

// incompleteState returns the final state of a run that can't complete: "refused" if no
// backend server can have run the request, "unknown" if one may have and the request is not
// idempotent, else "failed".
//
// A run that was superseded has not run the request, but the reconnect shows that another run
// has: "not-run" would be untrue, and the caller of a repeat would send the request again.
func (x *run) incompleteState() string {
	switch {
	case x.req.NonIdempotent && errors.Is(context.Cause(x.ctx), ErrSuperseded):
		return "unknown"
	case !x.fates.mayHaveRun():
		return "refused"
	case x.req.NonIdempotent:
		return "unknown"
	}
	return "failed"
}

// deliverFailedAnswer delivers a failure that the backend server itself returned, as the
// complete answer.
func (x *run) deliverFailedAnswer() string {
	x.replaceKept()
	x.detach()
	if err := x.sink.Begin(Position{Attempt: x.attemptNumber}, &x.failedAnswer.Head); err != nil {
		return x.callerDisconnected(err)
	}
	if err := x.sink.Token(x.filter.next, x.failedAnswer.Body, finishComplete); err != nil {
		return x.callerDisconnected(err)
	}
	return "kept-answer"
}

// recordFailedAnswer keeps a failure that the backend server itself returned as its answer.
// That failure becomes the final answer unless another attempt is allowed and succeeds.
func (x *run) recordFailedAnswer(a *attempt, failed *backend.FailedAnswer) string {
	x.releaseFailedAnswer()
	x.failedAnswer = failed
	return x.recordUnusable(a, causeAnswer, failed)
}

// releaseFailedAnswer frees the memory of a failure that is not needed any more.
func (x *run) releaseFailedAnswer() {
	if x.failedAnswer != nil && x.failedAnswer.Release != nil {
		x.failedAnswer.Release()
	}
}

// finishComplete is the finish mark of the only chunk of an answer that is delivered in one
// part.
const finishComplete = "whole"

func (x *run) end(ev, code string, err error) string {
	x.res.Code = code
	x.res.Err = Error.Wrap(err)
	if u, ok := errors.AsType[*Unavailable](err); ok {
		x.res.RetryAfter = x.retryAfter(u)
		if u.Code != "" {
			x.res.Code = u.Code
		}
	}
	if r, ok := errors.AsType[*RemoteEnd](err); ok {
		x.res.RetryAfter = r.RetryAfter
	}
	if r, ok := errors.AsType[*backend.Refused](err); ok {
		x.res.RetryAfter = r.RetryAfter
		x.res.Code = r.Code
	}
	return ev
}

// retryAfter returns how long the caller should wait before it comes back. If the cause was
// expected to pass soon, the time stated with the cause is only the interval until the
// router's own next try. The router's tries have failed by now, so the caller is told to wait
// at least for Options.RetryAfter.
func (x *run) retryAfter(u *Unavailable) time.Duration {
	if u.Retryable {
		return max(u.RetryAfter, x.opts.RetryAfter)
	}
	return u.RetryAfter
}

func (x *run) callerDisconnected(err error) string {
	x.detach()
	return x.end("cancel", CodeCallerDisconnected, err)
}

func (x *run) result(state string) Result {
	res := x.res
	res.Digest = x.tracked.DigestString()
	res.Outcome = finalOutcome[state]
	if state == "cancelled" {
		res.Outcome = finalOutcome[x.incompleteState()]
	}
	adviseRetry := res.Outcome == fleet.NotRun || res.Outcome == fleet.Failed
	if adviseRetry && res.RetryAfter <= 0 && res.Code != CodeBadRequest && !isQuarantineCode(res.Code) && res.Code != CodeVersionGone {
		res.RetryAfter = x.opts.RetryAfter
	}
	if res.Outcome == fleet.Unknown {
		x.opts.Log.Emit(event.OutcomeUnknown, "account", x.req.Account, "request", x.req.ID, "code", res.Code)
	}
	x.m.ended(res.Outcome)
	return res
}

// close releases all that the run holds at its end.
func (x *run) close() {
	if x.kept != nil {
		x.abandonAttempt(x.takeKept(silenceLost))
	}
	x.abandon()
	x.releaseFailedAnswer()
	x.tracked.AttemptEnded()
	x.releaseChoice()
	if x.release != nil {
		x.release()
	}
	x.voidClaim()
	x.m.textBytes.Add(-x.textCap)
}

// reportUnfinished reports an answer to the failure detector that began, and whose head or body
// didn't go on before the deadline (see backend.WatchedBody). The deadline alone is no evidence against a backend server, since a caller may
// choose a short one.
func (x *run) reportUnfinished(a *attempt, err error) {
	if errors.Is(err, backend.ErrUnfinished) && !a.forwarded && errors.Is(x.endCause(), ErrDeadline) {
		x.Watcher.Result(a.backend.ID, err)
	}
}
