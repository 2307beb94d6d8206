package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
)

const (
	bytesPerToken = 4 // rough size of a prompt token, for admission's cost
	waitMin       = 20 * time.Millisecond
	waitMax       = 500 * time.Millisecond
)

func (x *run) admit() string {
	if p := x.req.Resume; p != nil && (p.Finished || p.Offset >= x.req.MaxTokens) {
		return "already-whole"
	}
	if x.over() {
		return x.giveUp(CodeDeadline, x.cause())
	}
	if err := x.followed.Refusal(x.ctx); err != nil {
		return x.end("fail", CodeQuarantined, err)
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
	switch {
	case x.req.Resume != nil:
		return "handed-over"
	case x.req.NonIdempotent && x.req.Opaque == nil:
		return "admitted-once"
	}
	return "admitted"
}

// cost is the work of the request in tokens.
func (x *run) cost() float64 {
	if o := x.req.Opaque; o != nil {
		return float64(o.PromptTokens + o.MaxAnswerTokens)
	}
	return float64(len(x.req.Prompt)/bytesPerToken + x.req.MaxTokens - x.acc.next)
}

// claim makes this run the only one that may dispatch the request. A claim
// whose fate isn't known is voided: it was not used, and the void is harmless
// when another run holds the key.
func (x *run) claim() string {
	x.claimedAs = x.claimName()
	granted, err := x.Claims.Claim(x.ctx, x.req.Account, x.req.ID, x.req.BodyHash, x.claimedAs)
	if err != nil {
		return x.giveUp(CodeNoClaim, err)
	}
	if !granted {
		// Another run may have dispatched it, so "not-run" would be untrue.
		x.claimedAs = ""
		return x.end("lose", CodeDuplicate, ErrDuplicate)
	}
	return "granted"
}

func (x *run) pick() string {
	if x.over() {
		return x.giveUp(CodeDeadline, x.cause())
	}
	if err := x.followed.Refusal(x.ctx); err != nil {
		return x.end("fail", CodeQuarantined, err)
	}
	if o := x.req.Opaque; o != nil && x.sent >= o.MaxAttempts {
		return x.giveUp(CodeEngineLost, x.waitErr)
	}
	if x.repeats && !x.drawBudget() {
		return x.overBudget()
	}
	x.repeats = false
	b, share, err := x.Picker.Pick(x.ctx, x.ask())
	if err == nil {
		x.backend, x.share = b, share
		return "picked"
	}
	x.waitErr = err
	u, ok := errors.AsType[*Unavailable](err)
	retryable := ok && u.Retryable
	if !retryable && len(x.exclude) == 0 {
		return x.giveUp(CodeNoReplica, err)
	}
	x.delay = waitMin
	if retryable {
		x.delay = max(u.RetryAfter, waitMin)
	}
	// An engine that was lost or refused may be back: better than none.
	clear(x.exclude)
	return "none"
}

// drawBudget draws for one more arrival. The first try to go on with a started
// answer is worth more than any other second try: without it the answer is cut.
func (x *run) drawBudget() bool {
	if x.afterLoss {
		return x.Budget.Continue(x.service())
	}
	return x.Budget.Take(x.service())
}

// budgetWait is how soon a started answer asks for budget again, which first tries
// earn.
const budgetWait = 100 * time.Millisecond

// overBudget holds an attempt back for which the service has no budget left. A
// started answer waits for some: it holds work already paid for.
//
// What goes wrong when started answers are let through: replicas crash while
// the store is away, each router tries one address after the other that is not
// the replica's any more, and a service that has lost half of its replicas gets
// several times as many arrivals as requests.
func (x *run) overBudget() string {
	if !x.started() {
		return x.giveUp(CodeRetryBudget, x.waitErr)
	}
	x.delay = budgetWait
	return "none"
}

func (x *run) ask() PickRequest {
	a := PickRequest{
		RequestID: x.req.ID, Ref: x.req.Ref, Priority: x.req.Priority, Prompt: x.req.Prompt,
		Exclude: x.exclude, Resume: x.started(), IsRetry: x.sentBefore, MayHaveRun: x.reached, Prefer: x.lostCopy.at,
	}
	if o := x.req.Opaque; o != nil {
		a.Service, a.PromptTokens, a.MaxAnswerTokens = o.Service, o.PromptTokens, o.MaxAnswerTokens
		a.FirstChunkTarget, a.SinceFirstTry = o.FirstChunkTarget, o.SinceFirstTry
		if !o.Deadline.IsZero() {
			a.TimeLeft = max(o.Deadline.Remaining(), 1)
		}
		if len(o.PromptParts) > 0 {
			a.UniquePart = o.PromptParts[len(o.PromptParts)-1]
		}
		if o.HasPartialAnswer && x.sent == 0 {
			a.PromptParts = o.PromptParts
		}
		a.LostDomain = x.lostDomain
	}
	return a
}

// wait passes the time until the next pick, within the caller's deadline and
// the patience. What can't come within them is answered at once.
func (x *run) wait() string {
	if x.over() {
		return x.giveUp(CodeDeadline, x.cause())
	}
	if x.delay == 0 {
		return "retry"
	}
	left := x.patienceLeft()
	if x.delay > left {
		return x.giveUp(CodeNoReplica, x.waitErr)
	}
	d := min(x.delay, waitMax)
	x.delay = 0
	if !x.sleep(d) {
		return x.giveUp(CodeDeadline, x.cause())
	}
	return "retry"
}

// patienceLeft is how much longer the request may wait for a backend server. An answer that
// has begun waits from when its loss is known; an opaque one from its last piece, since its
// client leaves after a pause, whatever caused it.
//
// What goes wrong if it waits from its last token: an engine that paused before has its
// silence borne for longer, which uses the patience up. The answer is cut at the moment at
// which its silence is noticed, though an engine could go on with it.
func (x *run) patienceLeft() time.Duration {
	patience, since := x.opts.MaxWait, x.lastToken
	if o := x.req.Opaque; o != nil {
		patience = o.MaxWait
	}
	if x.started() {
		patience = x.opts.StartedMaxWait
		if x.req.Opaque == nil && x.lossCause != "" && x.lostAt.After(since) {
			since = x.lostAt
		}
	}
	left := patience - time.Since(since)
	if !x.req.Deadline.IsZero() {
		left = min(left, time.Until(x.req.Deadline))
	}
	return left
}

func (x *run) sleep(d time.Duration) bool {
	jittered := d/2 + time.Duration(x.opts.Rand()*float64(d)/2)
	return clock.Sleep(x.ctx, jittered)
}

// over reports whether the caller is gone or the deadline has passed. The
// clock is read, since after a pause of the process the deadline's own timer
// may not have fired yet; and the wall clock too, since the monotonic one may
// stand still while a VM is paused.
func (x *run) over() bool {
	if x.ctx.Err() != nil {
		return true
	}
	if o := x.req.Opaque; o != nil {
		// The boot clock alone: the time of day is set ahead by seconds there,
		// and requests would end early.
		return o.Deadline.Passed()
	}
	d := x.req.Deadline
	if d.IsZero() {
		return false
	}
	now := time.Now()
	return now.After(d) || now.Round(0).After(d.Round(0))
}

func (x *run) cause() error {
	cause := context.Cause(x.ctx)
	switch {
	case cause == nil, errors.Is(cause, ErrDeadline):
		return ErrDeadline
	case errors.Is(cause, context.DeadlineExceeded):
		return ErrDeadline
	}
	return errors.Join(ErrCallerDisconnected, cause)
}

func (x *run) finish() string {
	if err := x.sink.Flush(); err != nil {
		return x.callerGone(err)
	}
	return "delivered"
}

func (x *run) voidClaim() {
	if x.claimedAs == "" || x.reached {
		return
	}
	account, key, name := x.req.Account, x.req.ID, x.claimedAs
	x.voids.Go(func() {
		ctx, stop := context.WithTimeout(context.WithoutCancel(x.ctx), voidTimeout)
		defer stop()
		if err := x.Claims.Void(ctx, account, key, name); err != nil {
			x.opts.Log.Emit(event.VoidFailed, "account", account, "err", err)
		}
	})
}
