package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
)

// handleLoss closes the reader of an attempt that ended early and records why.
func (x *run) handleLoss(a *attempt, err error) string {
	if x.ctx.Err() != nil {
		x.reportUnfinished(a, err)
		return x.giveUp(CodeDeadline, x.endCause())
	}
	if end, ok := errors.AsType[*RemoteEnd](err); ok && end.Code != CodeCutOff && end.Code != CodeStopping {
		a.closeReader()
		return x.endLikeRemote(end)
	}
	if a.accepted > 0 {
		x.endStated = errors.Is(err, backend.ErrBehindEnd)
	}
	if x.lossCause == "" {
		x.lostAt = time.Now()
	}
	x.lossCause = lossCause(a.ctx, err)
	if a.forwarded {
		x.lossCause = causeRouter
	}
	if !engineLost(a.ctx) && !a.forwarded {
		x.Watcher.Result(a.backend.ID, err)
		if x.req.Opaque == nil { // no other router can take over an opaque run
			x.awaitCallerDisconnect()
		}
	}
	if x.ctx.Err() != nil {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	if x.lossCause == causeMismatch || x.lossCause == causeGap {
		x.opts.Log.Emit(event.AttemptMismatch, "backend", a.backend.ID, "request", x.req.ID, "err", err)
	}
	if !a.forwarded {
		x.lossExamined = x.tracked.Lost(a.lossReport(x.lossCause))
	}
	x.logLoss(a, x.lossCause, err)
	x.waitErr = err
	a.closeReader()
	return "lost"
}

// logNoFurtherAttempt logs why no attempt follows the latest loss yet.
func (x *run) logNoFurtherAttempt(code string, err error) {
	if !x.anySent || x.searchLogged {
		return
	}
	x.searchLogged = true
	if u, ok := errors.AsType[*Unavailable](err); ok && u.Code != "" {
		code = u.Code
	}
	x.opts.Log.Emit(event.NoFurtherAttempt, "request", x.req.ID, "code", code, "sent", x.fates.count(), "next", x.filter.next,
		"silent_ms", time.Since(x.lastToken).Milliseconds(), "err", err)
}

// logLoss logs why an attempt ended, what proves that it did not run, if anything does, and how long it was silent.
func (x *run) logLoss(a *attempt, cause string, err error) {
	x.searchLogged = false
	x.opts.Log.Emit(event.AttemptLost, "request", x.req.ID, "digest", x.tracked.DigestString(), "attempt", a.origin.Attempt,
		"backend", a.backend.ID, "cause", cause, "not_run", proofOfNotRun(a, err), "accepted", a.accepted, "next", x.filter.next,
		"silent_ms", time.Since(x.lastToken).Milliseconds(), "err", err)
}

func lossCause(ctx context.Context, err error) string {
	switch {
	case engineLost(ctx):
		return causeSilence
	case errors.Is(err, errGap):
		return causeGap
	case errors.Is(err, backend.ErrMismatch):
		return causeMismatch
	}
	return causeBroken
}

// suspect decides how to continue an answer whose attempt was lost. If the accepted text is
// available, another engine continues the answer and the old attempt is cancelled. If the
// request is not idempotent, or this router never received the text, only the run of the old
// attempt can deliver the rest, so the router re-attaches to that run.
func (x *run) suspect() string {
	x.tracked.AwaitExamination(x.searching(), x.lossExamined)
	if x.mustEnd() {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	x.fruitlessTries++
	if x.fruitlessTries > x.maxTries() {
		return x.giveUp(CodeEngineLost, errors.Join(ErrNoResume, x.waitErr))
	}
	if x.canContinueElsewhere() && (!x.callerSlow || x.req.Opaque != nil) {
		return x.continueElsewhere()
	}
	if x.req.Opaque != nil {
		return x.giveUp(CodeEngineLost, x.waitErr)
	}
	x.callerSlow = false
	// The engine may be available again in a moment, so the router tries again to re-attach.
	// It stops after StartedMaxWait, since callers wait for a few seconds at most.
	if x.fruitlessTries > 1 && time.Since(x.lostAt) > x.opts.StartedMaxWait {
		return x.giveUp(CodeEngineLost, errors.Join(ErrNoResume, x.waitErr))
	}
	if x.current.origin.Backend == "" || (x.current.exists && errors.Is(x.waitErr, backend.ErrUnknownStream)) {
		return x.giveUp(CodeNoResume, errors.Join(ErrNoResume, x.waitErr))
	}
	if x.fruitlessTries > 1 && !x.sleep(minPickDelay<<min(x.fruitlessTries, 5)) {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	return "reattach"
}

// continueElsewhere has another backend server continue the answer, preferably the one that keeps
// the standby copy of the lost or silent run.
func (x *run) continueElsewhere() string {
	a := x.current
	if !a.forwarded {
		x.exclude[a.origin.Backend] = true
	}
	x.lostDomain = a.backend.FailureDomain
	a.collectCopyAtLoss()
	if c := a.copy; x.started() && c.backend.Addr != "" && !x.exclude[c.backend.ID] {
		x.lostCopy = lostAttemptCopy{backendID: c.backend.ID, name: c.name, source: a.backend}
	}
	x.current = nil
	if a != x.kept {
		x.abandonAttempt(a)
	}
	x.needsBudget = x.req.Opaque != nil
	x.firstAfterLoss = x.started()
	return "continue"
}

func (x *run) maxTries() int {
	if x.req.NonIdempotent {
		return maxReattachTries
	}
	return x.opts.MaxTokenlessAttempts
}
