package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/stopping"
)

const (
	bytesPerToken = 4 // rough size of a prompt token, for the cost stated to admission
	minPickDelay  = 20 * time.Millisecond
	maxPickDelay  = 500 * time.Millisecond
)

func (x *run) admit() string {
	if p := x.req.Resume; p != nil && (p.Finished || p.Offset >= x.req.MaxTokens) {
		return "already-whole"
	}
	if x.mustEnd() {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	if err := x.tracked.Refusal(x.ctx); err != nil {
		return x.endQuarantined(err)
	}
	if err := x.findVersion(); err != nil {
		return x.giveUp(CodeVersionUnknown, err)
	}
	if x.req.Forwarded {
		return x.admitted()
	}
	release, err := x.Admitter.Admit(x.ctx, Ticket{
		Account:  x.req.Account,
		Model:    x.req.Ref.Model,
		Service:  x.service(),
		Priority: x.req.Priority,
		Cost:     x.cost(),
		Deadline: x.req.Deadline,
		Resume:   x.req.Resume != nil,
	})
	if err != nil {
		return x.giveUp(CodeNotAdmitted, err)
	}
	x.release = release
	if x.req.Resume == nil && x.req.NonIdempotent && x.req.Opaque == nil {
		return "admitted-once"
	}
	return x.admitted()
}

// admitted returns the event that follows the admission of a request that needs no claim, or that
// another router has claimed.
func (x *run) admitted() string {
	if x.req.Resume != nil {
		return "handed-over"
	}
	return "admitted"
}

// cost returns the work of the request in tokens: the estimated tokens of its prompt plus the
// largest number of tokens that its answer may have.
func (x *run) cost() float64 {
	if o := x.req.Opaque; o != nil {
		return float64(o.PromptTokens + o.MaxAnswerTokens)
	}
	return float64(len(x.req.Prompt)/bytesPerToken + x.req.MaxTokens - x.filter.next)
}

// claim claims the request for this run, so that no other run may dispatch it. A claim whose
// result is unknown is voided: this run did not use it, and the void has no effect if another
// run has claimed the key.
func (x *run) claim() string {
	x.claimOwner = x.newClaimOwner()
	granted, err := x.Claims.Claim(x.ctx, x.req.Account, x.req.ID, x.req.BodyHash, x.claimOwner)
	if err != nil {
		return x.giveUp(CodeNoClaim, err)
	}
	if !granted {
		// Another run may have dispatched the request, so "not-run" would be untrue.
		x.claimOwner = ""
		return x.end("lose", CodeDuplicate, ErrDuplicate)
	}
	return "granted"
}

func (x *run) pick() string {
	if x.mustEnd() {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	if !x.mayBegin() {
		return x.giveUp(CodeStopping, x.stops())
	}
	if err := x.tracked.Refusal(x.searching()); err != nil {
		return x.endQuarantined(err)
	}
	if !x.tracked.MayAttempt() {
		x.waitErr, x.delay = errAwaitsTurn, turnPoll
		return "none"
	}
	if x.req.Opaque != nil && x.fates.count() >= x.maxAttempts() {
		x.logNoFurtherAttempt(CodeEngineLost, x.waitErr)
		return x.giveUp(CodeEngineLost, x.waitErr)
	}
	if !x.takePlace() {
		x.waitErr, x.delay = errNoPlace, minHoldDelay
		x.logNoFurtherAttempt(CodeNoReplica, errNoPlace)
		return "none"
	}
	if x.needsBudget && !x.drawBudget() {
		if ev := x.awaitBudget(); ev != "" {
			return ev
		}
	}
	x.needsBudget = false
	if x.cutOff() {
		return x.passOn()
	}
	x.releaseChoice()
	ctx, done := x.untilLatestBegin(x.searching())
	b, share, err := x.Picker.Pick(ctx, x.pickRequest())
	done()
	if err == nil {
		x.backend, x.loadShare = b, share
		return "picked"
	}
	if x.interrupted() {
		return "none"
	}
	if !x.mayBegin() {
		return x.giveUp(CodeStopping, x.stops())
	}
	x.waitErr = err
	x.logNoFurtherAttempt(CodeNoReplica, err)
	u, ok := errors.AsType[*Unavailable](err)
	retryable := ok && u.Retryable
	if !retryable && !x.excludesReusable() {
		return x.giveUp(CodeNoReplica, err)
	}
	x.delay = minPickDelay
	if retryable {
		x.delay = max(u.RetryAfter, minPickDelay)
	}
	// An engine that was lost or that refused may be available again, and trying such an
	// engine is better than having none.
	kept := x.keptServer()
	clear(x.exclude)
	if kept != "" {
		x.exclude[kept] = true
	}
	return "none"
}

// excludesReusable reports whether a backend server is excluded that may be tried again.
func (x *run) excludesReusable() bool {
	kept := x.keptServer()
	for id := range x.exclude {
		if id != kept {
			return true
		}
	}
	return false
}

func (x *run) pickRequest() PickRequest {
	a := PickRequest{
		RequestID: x.req.ID, Ref: x.req.Ref, Priority: x.req.Priority, Prompt: x.req.Prompt,
		Exclude: x.exclude, Resume: x.started(), IsRetry: x.anySent, MayHaveRun: x.fates.mayHaveRun(), Prefer: x.lostCopy.backendID, Account: x.req.Account,
		Stream: x.bindsVersion(), Binding: x.bound,
	}
	if o := x.req.Opaque; o != nil {
		a.Urgency = o.Urgency
		a.Service, a.PromptTokens, a.MaxAnswerTokens = o.Service, o.PromptTokens, o.MaxAnswerTokens
		a.Route, a.LengthHint = o.Route, o.LengthHint
		a.ChunksReceived = max(x.filter.next-1, 0)
		a.FirstChunkTarget, a.SinceFirstTry = o.FirstChunkTarget, o.SinceFirstTry
		if !o.Deadline.IsZero() {
			a.TimeLeft = max(o.Deadline.Remaining(), 1)
		}
		if len(o.PromptParts) > 0 {
			a.UniquePart = o.PromptParts[len(o.PromptParts)-1]
		}
		if o.HasPartialAnswer && x.fates.count() == 0 {
			a.PromptParts = o.PromptParts
		}
		a.LostDomain = x.lostDomain
	}
	return a
}

// wait sleeps until the next pick. If the delay until then is longer than the time left until
// the caller's deadline, or than the rest of the maximum wait, wait ends the run at once.
func (x *run) wait() string {
	x.endPlace()
	if x.mustEnd() {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	if x.delay == 0 {
		return "retry"
	}
	left := x.waitLeft()
	if x.delay > left && x.foundCutOff() {
		x.delay = 0
		return "retry"
	}
	if x.delay > left {
		return x.giveUp(CodeNoReplica, x.waitErr)
	}
	d := min(x.delay, maxPickDelay)
	x.delay = 0
	if !x.sleep(d) && !x.interrupted() {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	return "retry"
}

// waitLeft returns how much longer the request may wait for a backend server. The maximum wait
// of a started answer is counted from the time at which the loss of its attempt is noticed.
// Exception: for an opaque answer it is counted from the last chunk, since the client of an
// opaque answer leaves after a pause, whatever caused the pause.
//
// If the maximum wait were always counted from the last token, a silence could use up the
// whole wait, since after earlier pauses the failure detector tolerates an engine's silence
// for longer. The answer would be truncated at the moment at which the silence is detected,
// although another engine could continue it.
func (x *run) waitLeft() time.Duration {
	maxWait, since := x.opts.MaxWait, x.lastToken
	if o := x.req.Opaque; o != nil {
		maxWait = o.MaxWait
	}
	if x.started() {
		maxWait = x.opts.StartedMaxWait
		if x.req.Opaque == nil && x.lossCause != "" && x.lostAt.After(since) {
			since = x.lostAt
		}
	}
	left := maxWait - time.Since(since)
	if !x.req.Deadline.IsZero() {
		left = min(left, time.Until(x.req.Deadline))
	}
	return left
}

func (x *run) sleep(d time.Duration) bool {
	jittered := d/2 + time.Duration(x.opts.Rand()*float64(d)/2)
	return clock.Sleep(x.searching(), jittered)
}

// mustEnd reports whether the caller has disconnected or the deadline has passed. It reads the
// clock because, after a pause of the process, the timer of the deadline may not have fired yet.
// It also reads the wall clock because the monotonic clock may stand still while a VM is paused.
func (x *run) mustEnd() bool {
	if x.ctx.Err() != nil {
		return true
	}
	if o := x.req.Opaque; o != nil {
		// Only the boot clock is read here: on the VMs that serve opaque requests the wall
		// clock is set ahead by seconds, which would end requests early.
		return o.Deadline.Passed()
	}
	d := x.req.Deadline
	if d.IsZero() {
		return false
	}
	now := time.Now()
	return now.After(d) || now.Round(0).After(d.Round(0))
}

func (x *run) endCause() error {
	cause := context.Cause(x.ctx)
	switch {
	case errors.Is(cause, stopping.ErrStopping):
		return cause
	case cause == nil, errors.Is(cause, ErrDeadline):
		return ErrDeadline
	case errors.Is(cause, context.DeadlineExceeded):
		return ErrDeadline
	}
	return errors.Join(ErrCallerDisconnected, cause)
}

func (x *run) finish() string {
	if err := x.sink.Flush(); err != nil {
		return x.callerDisconnected(err)
	}
	return "delivered"
}

func (x *run) voidClaim() {
	if x.claimOwner == "" || x.fates.mayHaveRun() {
		return
	}
	account, key, name := x.req.Account, x.req.ID, x.claimOwner
	x.background.Go(func() {
		ctx, stop := context.WithTimeout(context.WithoutCancel(x.ctx), voidTimeout)
		defer stop()
		if err := x.Claims.Void(ctx, account, key, name); err != nil {
			x.opts.Log.Emit(event.VoidFailed, "account", account, "err", err)
		}
	})
}
