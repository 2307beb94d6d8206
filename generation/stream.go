package generation

import (
	"errors"
	"io"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/quarantine"
)

var (
	errGap            = errors.New("token missing")
	errEndUnconfirmed = errors.New("the connection has ended, and the backend server is not known to work on")
)

// stream delivers the tokens of the current attempt until the attempt ends.
func (x *run) stream() string {
	a := x.current
	for {
		t, err, silence := a.next()
		if silence != nil {
			if ev := x.silence(a, silence); ev != "" {
				return ev
			}
			continue
		}
		if err != nil {
			return x.streamEnded(a, err)
		}
		now := time.Now()
		x.dropOvertakenReport(a)
		a.watch.Token(now)
		a.recordFirstToken(now)
		x.clearSuspicion(a, now)
		x.maintainCopy(a, now)
		if t.Finish != "" {
			if err := x.unconfirmedEnd(a); err != nil {
				return x.handleLoss(a, err)
			}
		}
		if err := x.checkChunk(a, t); err != nil {
			return x.recordUnusable(a, causeUnfit, err)
		}
		if err := x.followOrigin(a); err != nil {
			return x.callerDisconnected(err)
		}
		switch err := x.bindVersion(a); {
		case errors.Is(err, errVersionUnanswered):
			x.awaitVersion(a, t)
			continue
		case err != nil:
			return x.handleLoss(a, err)
		}
		x.confirmLater(a, now)
		if err := x.announceVersion(a); err != nil {
			return x.callerDisconnected(err)
		}
		if x.req.Opaque != nil && t.Finish != "" {
			t.Index = x.filter.next // a complete answer has no number
		}
		if x.overruns(t.Index) {
			return x.endOverrun(a)
		}
		switch x.filter.check(a.origin.Attempt, t.Index) {
		case stale:
			x.m.droppedStale.Inc()
			continue
		case duplicate:
			x.m.droppedDuplicate.Inc()
			continue
		case gap:
			x.m.droppedGap.Inc()
			return x.handleLoss(a, Error.New("%w: got index %d, want %d", errGap, t.Index, x.filter.next))
		}
		if err := x.deliver(a, t, now); err != nil {
			return x.callerDisconnected(err)
		}
		if t.Finish != "" {
			return x.completeAttempt(a)
		}
	}
}

func (x *run) deliver(a *attempt, t backend.Token, now time.Time) error {
	if x.lossCause != "" {
		x.m.resumed(x.lossCause, now.Sub(x.lastToken))
		x.opts.Log.Emit(event.AttemptResumed, "request", x.req.ID, "attempt", a.origin.Attempt,
			"backend", a.backend.ID, "from", t.Index, "gap_ms", now.Sub(x.lastToken).Milliseconds())
		x.lossCause = ""
	}
	x.recordDelay(now)
	if maxElapsed(now, x.lastToken) > x.opts.PauseGap {
		x.pauseEndedAt = now
	}
	x.lastToken = now
	x.fruitlessTries = 0
	a.accepted++
	a.recordProgress(t.Index)
	x.res.Tokens++
	x.m.tokens.Inc()
	if x.keepsText {
		x.text = append(x.text, t.Text...)
		x.meterText()
	}
	x.recordDelivery(a)
	silent := a.ctx.Err() != nil || len(a.silent) > 0
	if err := x.sink.Token(t.Index, t.Text, t.Finish); err != nil {
		return err
	}
	if a.stream.Buffered() {
		return nil
	}
	err := x.flush(a, now)
	// The sink can also block within Token, but rarely. If the attempt was ended during such a
	// write, the engine isn't at fault and still has the run. The router then re-attaches to
	// the run instead of paying for a new prefill.
	x.callerSlow = !silent && a.ctx.Err() != nil
	if !silent {
		x.dropOvertakenReport(a) // the attempt wasn't read
	}
	return err
}

// flush sends the caller what a has delivered.
//
// While the caller reads slowly, this goroutine reads no tokens. If the failure detector
// weren't notified, a healthy engine would seem silent, and this router would give up all
// streams of that engine.
func (x *run) flush(a *attempt, now time.Time) error {
	a.watch.SetBlocked(true, now)
	err := x.sink.Flush()
	a.watch.SetBlocked(false, time.Now())
	return err
}

// recordDelay records how long a token took to arrive. Before the first token, lastToken is
// the time at which the run started.
func (x *run) recordDelay(now time.Time) {
	wait := now.Sub(x.lastToken)
	if x.res.Tokens == 0 {
		x.res.TimeToFirstToken = wait
		return
	}
	x.res.LongestPause = max(x.res.LongestPause, wait)
}

// completeAttempt ends an attempt after its last token, when nothing is left to cancel. If the
// end mark of the stream is buffered, it is read, so that the connection can be reused.
func (x *run) completeAttempt(a *attempt) string {
	if a.stream.Buffered() {
		a.stream.Next()
	}
	x.tracked.Answered(a.sinceFirst())
	x.detach()
	return "done"
}

// unconfirmedEnd returns an error if an answer that ends with its connection may be incomplete, since its backend server
// is not known to work on. If all backend servers of a service crash, this router can't tell that from a cut of its own
// links.
func (x *run) unconfirmedEnd(a *attempt) error {
	head := a.stream.Head()
	if a.forwarded || head == nil || !head.EndsWithConnection {
		return nil
	}
	if state := x.Guard.StateAtEnd(a.backend); state != quarantine.Working {
		return Error.New("%w: %w: it is %v", backend.ErrBroken, errEndUnconfirmed, state)
	}
	return nil
}

// overruns reports whether a token comes after the last one that the caller asked for. Otherwise an
// engine that doesn't stop would be read, and its text kept, for as long as it sends.
func (x *run) overruns(index int) bool {
	return x.req.Opaque == nil && x.filter.next >= x.req.MaxTokens && index >= x.req.MaxTokens
}

// endOverrun ends an attempt that sent all tokens and goes on. The answer is complete.
func (x *run) endOverrun(a *attempt) string {
	x.Watcher.Result(a.backend.ID, Error.New("%w: more than %d tokens", backend.ErrMismatch, x.req.MaxTokens))
	x.tracked.Answered(a.sinceFirst())
	x.abandon()
	return "done"
}

// streamEnded handles the end of a stream before the last token. An end mark alone doesn't
// mean that the answer is complete, since an engine that itself ended the attempt early sends
// an end mark too.
func (x *run) streamEnded(a *attempt, err error) string {
	if a.accepted > 0 && err != io.EOF {
		// Chunks that were received together aren't flushed yet, and no other attempt may follow.
		if err := x.flush(a, time.Now()); err != nil {
			return x.callerDisconnected(err)
		}
	}
	if err == io.EOF {
		switch unproven := x.unprovenEnd(a); {
		case errors.Is(unproven, errNoChunk):
			return x.recordUnusable(a, causeUnfit, unproven)
		case unproven != nil:
			return x.handleLoss(a, unproven)
		}
	}
	if o := x.req.Opaque; err == io.EOF && o != nil && !o.Streaming && x.res.Tokens == 0 {
		err = Error.New("%w: an answer without its body", backend.ErrBroken)
	}
	if err == io.EOF && (x.req.Opaque != nil || x.filter.next >= x.req.MaxTokens) {
		x.dropCopy(a)
		if a.accepted > 0 {
			x.tracked.Answered(a.sinceFirst())
		}
		x.detach()
		return "done"
	}
	if errors.Is(err, backend.ErrMismatch) {
		x.m.droppedMismatch.Inc()
	}
	return x.handleLoss(a, err)
}
