package generation

import (
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
