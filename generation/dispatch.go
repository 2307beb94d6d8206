package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/fleet"
)

// dispatch sends the request to the picked engine. The deadline has been
// checked by pick, after the claim.
func (x *run) dispatch() string {
	if err := x.followed.Refusal(x.ctx); err != nil {
		return x.end("fail", CodeQuarantined, err)
	}
	a := &attempt{backend: x.backend, share: x.share, copied: make(chan standbyCopy, 1)}
	x.share = nil
	a.place = Position{Backend: a.backend.ID, Attempt: x.nextNumber()}
	x.watchAttempt(a)
	x.m.attempts.Inc()
	x.sent++
	first := !x.sentBefore
	x.sentBefore = true
	held := x.heldBy(a.backend)
	held.Standby = x.keepCopy(a)
	x.opts.Log.Emit(event.AttemptBegun, "request", x.req.ID, "attempt", a.place.Attempt,
		"backend", a.backend.ID, "standby", a.copy.at.ID, "from_copy", held.FromCopy, "from", x.acc.next)
	if x.reached && !held.FromCopy {
		x.m.prefill.Add(x.promptBytes())
	}
	stopInquiry := x.inquire(a)
	a.sentAt = time.Now()
	s, err := x.Engines.Open(a.ctx, a.backend, backend.StartRequest{
		Opaque: x.opaque(), Copies: held, FirstAttempt: first, LastAttempt: x.lastChance(),
		ID: x.req.ID, Attempt: a.place.Attempt, Ref: x.req.Ref,
		Prompt: x.req.Prompt, MaxTokens: x.req.MaxTokens, Priority: x.req.Priority, Resume: x.started(),
		ResumeText: string(x.text), ResumeTokens: x.acc.next, Linger: x.linger(),
	})
	stopInquiry()
	if err != nil {
		return x.notOpened(a, err)
	}
	x.Watcher.Result(a.backend.ID, nil)
	x.reached = true
	return x.begin(a, s, "opened")
}

func (x *run) opaque() *backend.Opaque {
	if x.req.Opaque == nil {
		return nil
	}
	return x.req.Opaque.Opaque
}

// keepCopy chooses where the backend server of a keeps a copy of the run.
//
// What goes wrong without it: a failure domain's engines crash together, and
// each of their answers has to read its prompt anew elsewhere. It shows as a
// pause of a second or more in every answer that ran there, and as prefill
// that is paid for twice.
func (x *run) keepCopy(a *attempt) fleet.Backend {
	if x.req.Opaque == nil || !x.req.Opaque.Copies.KeptUpToDate || x.followed.Suspected() {
		return fleet.Backend{}
	}
	standby, share, ok := x.Picker.Standby(x.ask(), a.backend)
	if !ok {
		return fleet.Backend{}
	}
	a.copy = standbyCopy{at: standby, share: share}
	a.watch.SetCopied(true)
	return standby
}

// heldBy says whether the run goes on from a copy at b, and uses that up.
func (x *run) heldBy(b fleet.Backend) backend.Copies {
	lost := x.lostCopy
	x.lostCopy = copyOfLost{}
	if lost.at == "" || lost.at != b.ID {
		return backend.Copies{}
	}
	return backend.Copies{FromCopy: true, Name: lost.name, Source: lost.source}
}

// begin makes a the attempt that tokens are accepted from.
func (x *run) begin(a *attempt, s Stream, ev string) string {
	a.stream = s
	a.seen = true
	a.place.Incarnation = s.Incarnation()
	x.last = a
	x.acc.begin(a.place.Attempt)
	if err := x.sink.Begin(a.place, s.Head()); err != nil {
		return x.callerGone(err)
	}
	if x.started() {
		x.res.Resumes++
		x.m.resumes.Inc()
	}
	return ev
}

func (x *run) notOpened(a *attempt, err error) string {
	refused, isRefusal := errors.AsType[*backend.Refused](err)
	if failed, ok := errors.AsType[*backend.FailedAnswer](err); ok {
		return x.answeredFailure(a, failed)
	}
	if !isRefusal && !errors.Is(err, backend.ErrNotSent) {
		x.reached = true
		x.last = a
		return x.lost(a, err)
	}
	a.closeReader()
	x.sent--
	if isRefusal && refused.Code == codeAttemptExists {
		// Another router runs this very request, and the soft pointer to it is
		// lost. "Refused, so not run" would be untrue.
		return x.end("lose", CodeDuplicate, ErrDuplicate)
	}
	if x.over() {
		return x.giveUp(CodeDeadline, x.cause())
	}
	if x.exclude[a.backend.ID] {
		x.delay = waitMin // the picker has no other
	}
	x.exclude[a.backend.ID] = true
	x.waitErr = err
	x.attemptLost(a, causeNotRun, err)
	// A refusal is told too: by its code the others learn of an engine that
	// leaves before its load reports or the VM list show it.
	x.Watcher.Result(a.backend.ID, err)
	if isRefusal {
		x.m.refusedByEngine.Inc()
		if refused.Code == CodeBadRequest {
			return x.giveUp(CodeBadRequest, err)
		}
	}
	if x.req.Opaque != nil {
		x.repeats = isRefusal // a connection that was never open is no arrival
		x.afterLoss = false
		return "not-started"
	}
	// A started answer goes before the budget: it holds work already paid for.
	if !x.started() && !x.Budget.Take(x.service()) {
		return x.giveUp(CodeRetryBudget, err)
	}
	return "not-started"
}

// answeredFailure keeps a backend server's own failure: it is the answer unless
// another one may try and succeeds.
func (x *run) answeredFailure(a *attempt, failed *backend.FailedAnswer) string {
	x.reached = true
	x.failed = failed
	x.waitErr = failed
	x.Watcher.Result(a.backend.ID, nil)
	x.last = a
	x.attemptLost(a, causeAnswer, failed)
	a.closeReader()
	return "lost"
}

// lost closes the reader of an attempt that ended early and notes why.
func (x *run) lost(a *attempt, err error) string {
	if x.ctx.Err() != nil {
		return x.giveUp(CodeDeadline, x.cause())
	}
	if x.lossCause == "" {
		x.lostAt = time.Now()
	}
	x.lossCause = lossCause(a.ctx, err)
	if !engineLost(a.ctx) && x.lossCause != causeMoved {
		x.Watcher.Result(a.backend.ID, err)
		if x.req.Opaque == nil { // no other router can take an opaque run over
			x.awaitCaller()
		}
	}
	if x.ctx.Err() != nil {
		return x.giveUp(CodeDeadline, x.cause())
	}
	if x.lossCause == causeMismatch || x.lossCause == causeGap {
		x.opts.Log.Emit(event.AttemptMismatch, "backend", a.backend.ID, "request", x.req.ID, "err", err)
	}
	if x.lossCause != causeMoved {
		x.examined = x.followed.Lost(a.loss(x.lossCause))
	}
	x.attemptLost(a, x.lossCause, err)
	x.waitErr = err
	a.closeReader()
	return "lost"
}

// attemptLost logs why an attempt ended, and how long it was silent before.
func (x *run) attemptLost(a *attempt, cause string, err error) {
	x.opts.Log.Emit(event.AttemptLost, "request", x.req.ID, "digest", x.followed.DigestString(), "attempt", a.place.Attempt,
		"backend", a.backend.ID, "cause", cause, "accepted", a.accepted, "next", x.acc.next,
		"silent_ms", time.Since(x.lastToken).Milliseconds(), "err", err)
}

func lossCause(ctx context.Context, err error) string {
	switch {
	case engineLost(ctx):
		return causeSilence
	case errors.Is(err, ErrMoved):
		return causeMoved
	case errors.Is(err, errGap):
		return causeGap
	case errors.Is(err, backend.ErrMismatch):
		return causeMismatch
	}
	return causeBroken
}

// suspect decides how an answer goes on whose attempt was lost. With the text
// at hand it goes on at another engine, and the old attempt is cancelled.
// Otherwise (not idempotent, or a text that this router never saw) only the
// very same run can give the rest.
func (x *run) suspect() string {
	x.followed.AwaitExamination(x.ctx, x.examined)
	if x.over() {
		return x.giveUp(CodeDeadline, x.cause())
	}
	x.tries++
	if x.tries > x.maxTries() {
		return x.giveUp(CodeEngineLost, errors.Join(ErrNoResume, x.waitErr))
	}
	if x.continues() && (!x.callerSlow || x.req.Opaque != nil) {
		return x.goOn()
	}
	if x.req.Opaque != nil {
		return x.giveUp(CodeEngineLost, x.waitErr)
	}
	x.callerSlow = false
	// The engine may be back in a moment; a caller waits a few seconds at most.
	if x.tries > 1 && time.Since(x.lostAt) > x.opts.StartedMaxWait {
		return x.giveUp(CodeEngineLost, errors.Join(ErrNoResume, x.waitErr))
	}
	if x.last.place.Backend == "" || (x.last.seen && errors.Is(x.waitErr, backend.ErrUnknownStream)) {
		return x.giveUp(CodeNoResume, errors.Join(ErrNoResume, x.waitErr))
	}
	if x.tries > 1 && !x.sleep(waitMin<<min(x.tries, 5)) {
		return x.giveUp(CodeDeadline, x.cause())
	}
	return "reattach"
}

// goOn has another backend server continue the answer, at the standby copy of
// the lost run if there is one.
func (x *run) goOn() string {
	x.exclude[x.last.place.Backend] = true
	x.lostDomain = x.last.backend.FailureDomain
	if x.lossCause == causeMoved {
		x.lostDomain = "" // it works
	}
	x.last.takeCopyAtLoss()
	if c := x.last.copy; x.started() && c.at.Addr != "" && !x.exclude[c.at.ID] {
		x.lostCopy = copyOfLost{at: c.at.ID, name: c.name, source: x.last.backend}
	}
	x.abandon()
	x.repeats = x.req.Opaque != nil
	x.afterLoss = x.started()
	return "continue"
}

func (x *run) maxTries() int {
	if x.req.NonIdempotent {
		return maxOnceTries
	}
	return x.opts.MaxTokenlessAttempts
}

// resume attaches to the run that the engine still holds.
func (x *run) resume() string {
	if x.last == nil {
		x.last = x.handedOver()
	}
	a := x.last
	b, known := x.Picker.Lookup(a.place.Backend)
	if !known {
		x.waitErr = Error.New("%w: backend server %s is not known", backend.ErrUnknownStream, a.place.Backend)
		return "not-attached"
	}
	a.backend = b
	x.watchAttempt(a)
	x.m.reattaches.Inc()
	s, err := x.attach(a)
	if err != nil {
		if x.ctx.Err() != nil {
			return x.giveUp(CodeDeadline, x.cause())
		}
		x.waitErr = err
		a.closeReader()
		return "not-attached"
	}
	return x.begin(a, s, "attached")
}

func (x *run) handedOver() *attempt {
	p := x.req.Resume
	return &attempt{
		place: Position{Backend: p.Backend, Incarnation: p.Incarnation, Attempt: p.Attempt},
		seen:  true,
	}
}

// attach bounds the wait for the engine's answer, not the reading after it:
// a frozen engine accepts connections and says nothing.
func (x *run) attach(a *attempt) (Stream, error) {
	cancel := a.cancel
	t := time.AfterFunc(x.opts.AttachTimeout, func() { cancel(ErrEngineLost) })
	defer t.Stop()
	s, err := x.Engines.Attach(a.ctx, a.backend, backend.StreamID{
		Request: x.req.ID, Attempt: a.place.Attempt, Ref: x.req.Ref,
	}, x.acc.next)
	if err != nil {
		return nil, err
	}
	if a.place.Incarnation != "" && a.place.Incarnation != s.Incarnation() {
		s.Close()
		return nil, Error.New("%w: engine was restarted", backend.ErrUnknownStream)
	}
	return s, nil
}
