package generation

import (
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/fleet"
)

// finalOutcome has every final state of the chart. A cancelled run's outcome
// depends on how far it came.
var finalOutcome = map[string]fleet.Outcome{
	"complete":  fleet.Complete,
	"refused":   fleet.NotRun,
	"failed":    fleet.Failed,
	"unknown":   fleet.Unknown,
	"cancelled": "",
}

// giveUp ends the run by the event that is true: the one place that decides
// whether "not-run" may be said.
func (x *run) giveUp(code string, err error) string {
	if errors.Is(err, ErrCallerDisconnected) {
		return x.callerGone(err)
	}
	if x.failed != nil && !x.started() {
		return x.passFailure()
	}
	switch x.lostState() {
	case "refused":
		return x.end("refuse", code, err)
	case "unknown":
		return x.end("lose", code, err)
	}
	return x.end("fail", code, err)
}

// lostState is the final state of a run that can't complete.
func (x *run) lostState() string {
	switch {
	case !x.reached:
		return "refused"
	case x.req.NonIdempotent:
		return "unknown"
	}
	return "failed"
}

// passFailure delivers a backend server's own failure as the whole answer.
func (x *run) passFailure() string {
	x.leave()
	if err := x.sink.Begin(Position{Attempt: x.number}, &x.failed.Head); err != nil {
		return x.callerGone(err)
	}
	if err := x.sink.Token(x.acc.next, x.failed.Body, finishWhole); err != nil {
		return x.callerGone(err)
	}
	return "failed-answer"
}

// finishWhole marks the single piece of an answer that comes whole.
const finishWhole = "whole"

func (x *run) end(ev, code string, err error) string {
	x.res.Code = code
	x.res.Err = Error.Wrap(err)
	if u, ok := errors.AsType[*Unavailable](err); ok {
		x.res.RetryAfter = x.advice(u)
		if u.Code != "" {
			x.res.Code = u.Code
		}
	}
	if r, ok := errors.AsType[*backend.Refused](err); ok {
		x.res.RetryAfter = r.RetryAfter
		x.res.Code = r.Code
	}
	return ev
}

// advice is when the caller is to come back. Where the reason was expected to pass soon,
// its time is only that to the router's next look, and looking was in vain.
func (x *run) advice(u *Unavailable) time.Duration {
	if u.Retryable {
		return max(u.RetryAfter, x.opts.RetryAfter)
	}
	return u.RetryAfter
}

func (x *run) callerGone(err error) string {
	x.leave()
	return x.end("cancel", CodeCallerDisconnected, err)
}

func (x *run) result(state string) Result {
	res := x.res
	res.Digest = x.followed.DigestString()
	res.Outcome = finalOutcome[state]
	if state == "cancelled" {
		res.Outcome = finalOutcome[x.lostState()]
	}
	advised := res.Outcome == fleet.NotRun || res.Outcome == fleet.Failed
	if advised && res.RetryAfter <= 0 && res.Code != CodeBadRequest && res.Code != CodeQuarantined {
		res.RetryAfter = x.opts.RetryAfter
	}
	if res.Outcome == fleet.Unknown {
		x.opts.Log.Emit(event.OutcomeUnknown, "account", x.req.Account, "request", x.req.ID, "code", res.Code)
	}
	x.m.ended(res.Outcome)
	return res
}

// close gives everything back at the end of a run.
func (x *run) close() {
	x.abandon()
	if x.share != nil {
		x.share.End()
	}
	if x.release != nil {
		x.release()
	}
	x.voidClaim()
	x.m.textBytes.Add(-x.textCap)
}
