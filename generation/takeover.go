package generation

import (
	"context"
	"errors"
	"io"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
)

// A silent backend server may be sound, so its attempt is kept and read while another backend server is looked
// for. Whichever delivers first goes on: the kept attempt, or the attempt that another backend server has
// accepted and that doesn't end at once without a chunk, with which the kept one ends. If there is no other backend server, the request waits for the kept
// attempt until its deadline.

// Delays between two searches of a request that waits for its kept attempt.
const (
	minHoldDelay = 100 * time.Millisecond
	maxHoldDelay = time.Second
)

// Results of a silence, used as labels.
const (
	silenceReplaced  = "replaced"
	silenceDelivered = "delivered"
	silenceLost      = "lost"
)

// silenceReport is a cause of the failure detector that may be a mere silence of the backend server. Any other
// cause states that the run is lost.
type silenceReport interface {
	error
	Silent() bool
}

// reportLoss is called by the failure detector.
func (a *attempt) reportLoss(cause error) {
	if s, ok := errors.AsType[silenceReport](cause); !ok || !s.Silent() {
		a.cancel(cause)
		return
	}
	select {
	case a.silent <- cause:
	default:
	}
}

// silence handles the report that the current attempt is silent. It returns an empty event if the attempt
// simply goes on.
func (x *run) silence(a *attempt, cause error) string {
	switch {
	case x.canContinueElsewhere():
		return x.keep(a, cause)
	case x.req.Opaque != nil:
		return "" // nothing can replace the attempt
	}
	a.cancel(cause)
	return x.handleLoss(a, cause)
}

// dropOvertakenReport drops a report that a is silent, since a has delivered a token meanwhile.
func (x *run) dropOvertakenReport(a *attempt) {
	select {
	case <-a.silent:
		x.watchAgain(a)
	default:
	}
}

// keep starts the search for another backend server while the silent attempt a is still read.
func (x *run) keep(a *attempt, cause error) string {
	if x.ctx.Err() != nil {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	if x.lossCause == "" {
		x.lostAt = time.Now()
	}
	x.lossCause = causeSilence
	x.searchLogged = false
	x.waitErr, a.silence = cause, cause
	x.current, x.kept = a, a
	x.copyUsed = false
	x.holdDelay = minHoldDelay
	x.searchCtx, x.endSearch = context.WithCancelCause(x.ctx)
	a.reading.interrupt(x.endSearch)
	x.opts.Log.Emit(event.AttemptSilent, "request", x.req.ID, "attempt", a.origin.Attempt, "backend", a.backend.ID,
		"accepted", a.accepted, "next", x.filter.next, "silent_ms", time.Since(x.lastToken).Milliseconds(), "cause", cause)
	x.lossExamined = x.tracked.Lost(a.lossReport(causeSilence))
	return "lost"
}

// searching returns the context of the search for another backend server. It ends with the run, and when
// the kept attempt delivers or ends.
func (x *run) searching() context.Context {
	if x.kept != nil {
		return x.searchCtx
	}
	return x.ctx
}

// interrupted reports whether the kept attempt has a result, which goes before the search.
func (x *run) interrupted() bool { return x.kept != nil && len(x.kept.reading.results) > 0 }

// checkKept handles a result of the kept attempt. It returns the event with which the kept attempt goes on, or
// false if the search goes on.
func (x *run) checkKept() (ev string, goesOn bool) {
	if !x.interrupted() {
		return "", false
	}
	return x.handleKept(x.checkKeptResult(<-x.kept.reading.results))
}

func (x *run) handleKept(r readResult) (ev string, goesOn bool) {
	if r.err != nil && r.err != io.EOF {
		x.loseKept(r.err)
		return "", false
	}
	return x.continueKept(r), true
}

// checkKeptResult returns the result r of the kept attempt, or an error in its place if it is an answer that can't go on with what the caller
// has, or an end that proves nothing.
func (x *run) checkKeptResult(r readResult) readResult {
	switch {
	case r.stream != nil:
		r.err = x.checkHead(r.stream.Head())
	case r.err == io.EOF:
		if err := x.unprovenEnd(x.kept); err != nil {
			r.err = err
		}
	}
	return r
}

// keptResults delivers the next result of the kept attempt, if there is one.
func (x *run) keptResults() <-chan readResult {
	if x.kept == nil {
		return nil
	}
	return x.kept.reading.results
}

// keptServer returns the backend server of the kept attempt, which may not be tried again, or an empty id. Engines of
// the product's own interface may be: a stream may be lost while its engine works, and an attempt that is
// replaced is cancelled by name.
func (x *run) keptServer() string {
	if x.kept == nil || x.req.Opaque == nil {
		return ""
	}
	return x.kept.origin.Backend
}

// continueKept makes the kept attempt the current one again, now that it delivers.
func (x *run) continueKept(r readResult) string {
	a := x.takeKept(silenceDelivered)
	x.releaseChoice()
	if x.copyUsed {
		a.copy.release()
		a.copy = standbyCopy{}
	}
	x.opts.Log.Emit(event.AttemptDelivers, "request", x.req.ID, "attempt", a.origin.Attempt, "backend", a.backend.ID,
		"next", x.filter.next, "silent_ms", time.Since(x.lastToken).Milliseconds())
	delete(x.exclude, a.backend.ID)
	x.lossCause, x.lostDomain, x.lostCopy = "", "", lostAttemptCopy{}
	x.needsBudget, x.firstAfterLoss = false, false
	x.tracked.AttemptBegan()
	x.Watcher.Result(a.backend.ID, nil)
	x.watchAgain(a)
	a.awaitsResult = false
	if r.stream != nil {
		return x.makeCurrent(a, r.stream, "kept-delivers")
	}
	a.early = &r
	if !a.exists { // it fell silent between the head and the first chunk, beside another attempt
		return x.makeCurrent(a, a.stream, "kept-delivers")
	}
	x.current, x.lastOrigin = a, a.origin
	x.filter.setAttempt(a.origin.Attempt)
	return "kept-delivers"
}

// releaseChoice releases the load share of a backend server that was chosen for an attempt that isn't sent.
func (x *run) releaseChoice() {
	if x.loadShare != nil {
		x.loadShare.End()
		x.loadShare = nil
	}
}

// watchAgain registers a with the failure detector once more: it reports one silence of each registration.
func (x *run) watchAgain(a *attempt) {
	a.watch.Close()
	a.watch = noWatch{}
	if o := x.req.Opaque; o != nil && x.fates.count() >= o.MaxAttempts {
		return // as the last attempt
	}
	a.watch = x.Watcher.Watch(a.backend.ID, x.work(), a.reportLoss)
	a.watch.SetCopied(a.copy.backend.Addr != "")
	if a.accepted > 0 {
		a.watch.Token(time.Now()) // its answer has begun, so a shorter silence counts
	}
}

// loseKept records that the kept attempt has ended. The search goes on.
func (x *run) loseKept(err error) {
	a := x.takeKept(silenceLost)
	failed, isAnswer := errors.AsType[*backend.FailedAnswer](err)
	switch {
	case x.fates.settle(a, err):
		x.keptNotRun(a, err)
		return
	case isAnswer:
		current := x.current
		x.recordFailedAnswer(a, failed)
		x.current = current
		return
	case errors.Is(err, errOtherForm), errors.Is(err, errNoChunk):
		current := x.current
		x.recordUnusable(a, causeUnfit, err)
		x.current = current
		return
	}
	cause := lossCause(a.ctx, err)
	if !engineLost(a.ctx) {
		x.Watcher.Result(a.backend.ID, err)
	}
	x.lossExamined = x.tracked.Lost(a.lossReport(cause))
	x.logLoss(a, cause, err)
	x.abandonAttempt(a)
}

// keptNotRun records that the kept attempt was not sent, or that its backend server has refused it.
func (x *run) keptNotRun(a *attempt, err error) {
	a.refused = true
	a.closeReader()
	x.waitErr = err
	x.logLoss(a, causeNotRun, err)
	if !errors.Is(err, backend.ErrWithheld) {
		x.Watcher.Result(a.backend.ID, err)
	}
}

// replaceKept ends the kept attempt, now that another backend server has accepted the request.
func (x *run) replaceKept() {
	if x.kept == nil {
		return
	}
	a := x.takeKept(silenceReplaced)
	x.logLoss(a, causeSilence, a.silence)
	x.abandonAttempt(a)
}

// takeKept returns the kept attempt, which is not kept any more.
func (x *run) takeKept(result string) *attempt {
	a := x.kept
	x.kept = nil
	x.endSearch(nil)
	x.endPlace()
	a.reading.interrupt(nil)
	x.m.silenceEnded(result)
	return a
}

// mayHold reports whether a request for which no other backend server is found waits for its kept attempt.
func (x *run) mayHold() bool {
	if x.kept == nil || x.mustEnd() || x.failedAnswer != nil && !x.joins() {
		return false
	}
	return !x.req.Deadline.IsZero() || x.waitLeft() > 0
}

// hold waits for the kept attempt before the next search.
func (x *run) hold() string {
	x.endPlace()
	if x.kept == nil {
		return "retry"
	}
	d := x.holdDelay
	x.holdDelay = min(2*d, maxHoldDelay)
	x.sleep(d)
	return "retry"
}
