package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
)

// dispatch sends the request to the picked engine. It doesn't check the deadline: the state
// pick has done so, after the claim. The process may have begun to stop since.
func (x *run) dispatch() string {
	if err := x.tracked.Refusal(x.searching()); err != nil {
		return x.endQuarantined(err)
	}
	if x.interrupted() {
		return "not-started"
	}
	if !x.mayBegin() {
		return x.giveUp(CodeStopping, x.stops())
	}
	x.tracked.AttemptBegan()
	a := &attempt{backend: x.backend, loadShare: x.loadShare, copyResult: make(chan standbyCopy, 1), confirmed: make(chan Binding, 1)}
	x.loadShare = nil
	a.origin = Position{Backend: a.backend.ID, Attempt: x.nextAttemptNumber()}
	x.watchAttempt(a)
	x.m.attempts.Inc()
	first, again := !x.anySent, x.fates.mayHaveRun()
	x.fates.sending(a)
	x.anySent = true
	copies := x.copiesFor(a.backend)
	copies.Standby = x.chooseStandby(a)
	x.logBegun(a, copies)
	if again && !copies.FromCopy {
		x.m.prefill.Add(x.promptBytes())
	}
	a.stopPolling = x.pollRun(a)
	a.sentAt = time.Now()
	ctx, to, start := a.ctx, a.backend, backend.StartRequest{
		Opaque: x.opaque(), Copies: copies, FirstAttempt: first, LastAttempt: x.isLastAttempt(),
		ID: x.req.ID, Attempt: a.origin.Attempt, Ref: x.req.Ref,
		Prompt: x.req.Prompt, MaxTokens: x.req.MaxTokens, Priority: x.req.Priority, Resume: x.started(),
		ResumeText: string(x.text), ResumeTokens: x.filter.next, Linger: x.linger(),
	}
	a.begin(func() (Stream, error) { return x.Engines.Open(ctx, to, start) })
	s, ev, err := x.awaitAnswer(a)
	switch {
	case ev != "":
		return ev
	case err != nil:
		return x.handleOpenError(a, err)
	}
	x.Watcher.Result(a.backend.ID, nil)
	x.replaceKept()
	return x.makeCurrent(a, s, "opened")
}

func (x *run) logBegun(a *attempt, copies backend.Copies) {
	fields := []any{"request", x.req.ID, "attempt", a.origin.Attempt, "backend", a.backend.ID, "software", a.backend.Version,
		"standby", a.copy.backend.ID, "from_copy", copies.FromCopy, "from", x.filter.next}
	if left, stops := x.Stop.Left(); stops {
		fields = append(fields, "stops_in_ms", left.Milliseconds(), "ends_in_ms", max(x.endsBy()-clock.SinceBoot(), 0).Milliseconds())
	}
	x.opts.Log.Emit(event.AttemptBegun, fields...)
}

func (x *run) opaque() *backend.Opaque {
	if x.req.Opaque == nil {
		return nil
	}
	return x.req.Opaque.Opaque
}

// chooseStandby chooses the backend server that is to keep a standby copy of the run of a, and
// records it in a. It returns the zero value if there is to be no copy.
//
// Without a copy in another failure domain, the crash of a domain makes each answer that ran
// there pause for a second or more while another engine reads its prompt again, and the
// prefill is paid for twice.
func (x *run) chooseStandby(a *attempt) fleet.Backend {
	if x.req.Opaque == nil || !x.req.Opaque.Copies.KeptUpToDate || x.tracked.Suspected() {
		return fleet.Backend{}
	}
	standby, share, ok := x.Picker.Standby(x.pickRequest(), a.backend)
	if !ok {
		return fleet.Backend{}
	}
	a.copy = standbyCopy{backend: standby, loadShare: share}
	a.watch.SetCopied(true)
	return standby
}

// copiesFor returns the copy from which the run is to continue at b. If b doesn't keep the
// copy of the lost attempt, copiesFor returns the zero value. In both cases it clears the
// record of that copy, so that only the next attempt can use the copy.
func (x *run) copiesFor(b fleet.Backend) backend.Copies {
	lost := x.lostCopy
	x.lostCopy = lostAttemptCopy{}
	if lost.backendID == "" || lost.backendID != b.ID {
		return backend.Copies{}
	}
	x.copyUsed = true
	return backend.Copies{FromCopy: true, Name: lost.name, Source: lost.source}
}

// makeCurrent makes a the current attempt: from now on, only its tokens are accepted.
func (x *run) makeCurrent(a *attempt, s Stream, ev string) string {
	a.stream = s
	if a.stopPolling != nil {
		a.stopPolling()
	}
	a.exists = true
	a.origin.Incarnation = s.Incarnation()
	if stated, ok := s.(softwareStater); ok {
		a.origin.Software = stated.Software()
	}
	x.current, x.lastOrigin = a, a.origin
	x.filter.setAttempt(a.origin.Attempt)
	x.logContinues(a, s.Head())
	if err := x.sink.Begin(a.origin, s.Head()); err != nil {
		return x.callerDisconnected(err)
	}
	if x.started() {
		x.res.Resumes++
		x.m.resumes.Inc()
	}
	return ev
}

func (x *run) handleOpenError(a *attempt, err error) string {
	if errors.Is(err, errOtherForm) || errors.Is(err, errNoChunk) {
		return x.recordUnusable(a, causeUnfit, err)
	}
	if failed, ok := errors.AsType[*backend.FailedAnswer](err); ok {
		return x.recordFailedAnswer(a, failed)
	}
	refused, isRefusal := errors.AsType[*backend.Refused](err)
	if isRefusal && refused.Code == codeAttemptExists {
		// Another router already runs this request. This router doesn't know of that run,
		// since the stored pointer to the run is soft state and was lost. It would be untrue
		// to report that the request was refused and has not run.
		a.refused = true
		a.closeReader()
		x.tracked.AttemptEnded()
		return x.end("lose", CodeDuplicate, ErrDuplicate)
	}
	if !x.fates.settle(a, err) {
		x.current = a
		return x.handleLoss(a, err)
	}
	a.refused = true
	a.closeReader()
	x.tracked.AttemptEnded()
	x.unreached = x.unreached || !isRefusal
	if x.mustEnd() {
		return x.giveUp(CodeDeadline, x.endCause())
	}
	if x.exclude[a.backend.ID] {
		x.delay = minPickDelay // the picker has no other backend server
	}
	x.exclude[a.backend.ID] = true
	x.waitErr = err
	x.logLoss(a, causeNotRun, err)
	if errors.Is(err, backend.ErrWithheld) {
		return "not-started" // nothing reached the backend server, and nothing shows that it is sick
	}
	// Refusals are reported as well: from the code of a refusal, other routers find out that
	// an engine is leaving before its load reports or the list of VMs show it.
	x.Watcher.Result(a.backend.ID, err)
	if isRefusal {
		x.m.refusedByEngine.Inc()
		if refused.Code == CodeBadRequest {
			return x.giveUp(CodeBadRequest, err)
		}
	}
	if x.req.Opaque != nil {
		x.needsBudget = isRefusal // a connection that was never open doesn't count as an arrival
		x.firstAfterLoss = false
		return "not-started"
	}
	// An answer that has started needs no budget: it represents work already paid for.
	if !x.started() && !x.Budget.Take(x.service()) {
		return x.giveUp(CodeRetryBudget, err)
	}
	return "not-started"
}

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
