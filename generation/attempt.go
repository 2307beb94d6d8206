package generation

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/quarantine"
)

// attemptSpread is the range of the random step that is added to the attempt number after a
// change of router, since two routers that take over the same answer at the same moment must
// not give the same number to two attempts.
const attemptSpread = 1 << 16

// attempt is one run of the request on one engine.
type attempt struct {
	backend        fleet.Backend
	origin         Position
	stream         Stream // nil while the stream isn't read
	ctx            context.Context
	cancel         context.CancelCauseFunc
	watch          Watch
	silent         chan error // holds one report of the failure detector that the attempt is silent
	silence        error      // the report for which the attempt is kept
	reading        *reading
	awaitsResult   bool        // a result of reading is due
	early          *readResult // result that is handled before those of reading
	stopPolling    func()      // ends the queries of pollRun; nil if there are none
	loadShare      LoadShare
	copy           standbyCopy
	copyResult     chan standbyCopy // result of makeCopy, which runs alongside the stream; buffers one
	copyInProgress bool             // makeCopy is running

	confirmed      chan Binding // result of confirmLater; buffers one
	confirming     bool         // a query of confirmLater is open
	confirmAskedAt time.Time
	announced      string // version that announceVersion sent last

	copyCheckedAt    time.Time
	checkedHead      *backend.Head // of its answer, which may go on with what the caller has
	accepted         int           // tokens delivered from this attempt
	sentAt           time.Time
	firstAt          time.Time // when its first token arrived
	suspicionCleared bool      // it has run long enough to clear the request of suspicion
	refused          bool      // no part of it ran
	exists           bool      // the engine has confirmed that the attempt exists
	forwarded        bool      // another router runs the attempt
	reattached       bool      // the run has delivered tokens before
}

func (x *run) nextAttemptNumber() int {
	x.attemptNumber++
	if x.req.Resume != nil && x.attemptNumber == x.req.Resume.Attempt+1 {
		x.attemptNumber += int(x.opts.Rand() * attemptSpread)
	}
	return x.attemptNumber
}

// watchAttempt registers a with the failure detector. The last attempt allowed is not
// registered, since no other attempt could replace it.
func (x *run) watchAttempt(a *attempt) {
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	a.silent = make(chan error, 1)
	if x.isLastAttempt() {
		// No other attempt may follow. If the failure detector ended this attempt because of a
		// silence, an answer that may still arrive would be lost, and no other attempt could
		// deliver it.
		a.watch = noWatch{}
		return
	}
	a.watch = x.Watcher.Watch(a.backend.ID, x.work(), a.reportLoss)
}

// work describes to the failure detector what the next attempt has to do: how much text the
// engine has to prefill and how many tokens or chunks have been received already.
func (x *run) work() health.Work {
	w := health.Work{Request: x.req.ID, PromptBytes: x.promptBytes(), Received: x.filter.next}
	if x.req.Opaque != nil {
		w.Received-- // chunks of an opaque answer are numbered from 1
	}
	return w
}

// recordFirstToken records when the first token arrived, and reports to the backend server's load
// record that the prompt has been read. Later calls do nothing.
func (a *attempt) recordFirstToken(now time.Time) {
	if a.accepted > 0 {
		return
	}
	a.firstAt = now
	if a.loadShare != nil {
		a.loadShare.PrefillDone()
	}
}

// progressRecorder is implemented by a LoadShare whose load depends on how far the answer is.
type progressRecorder interface {
	// Progress records that the chunk of the given number has arrived.
	Progress(chunk int)
}

func (a *attempt) recordProgress(chunk int) {
	if p, ok := a.loadShare.(progressRecorder); ok {
		p.Progress(chunk)
	}
}

// lossReport returns the record of the loss of a that the quarantine guard evaluates.
func (a *attempt) lossReport(cause string) quarantine.Loss {
	return quarantine.Loss{
		Backend: a.backend, Chunks: a.accepted, Ran: time.Since(a.sentAt), SinceFirst: a.sinceFirst(), Cause: cause,
	}
}

// sinceFirst returns the time since the first token, 0 before it.
func (a *attempt) sinceFirst() time.Duration {
	if a.firstAt.IsZero() {
		return 0
	}
	return time.Since(a.firstAt)
}

// closeReader stops reading a. The engine keeps the attempt for its linger time; only the
// attempt of an opaque request is cancelled, since it ends with its connection.
func (a *attempt) closeReader() {
	if a.stopPolling != nil {
		a.stopPolling()
		a.stopPolling = nil
	}
	if a.cancel != nil {
		a.cancel(nil) // before the stream is closed, whose end would look like a failure
	}
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
	if a.watch != nil {
		a.watch.Close()
		a.watch = nil
	}
	if a.loadShare != nil {
		if c, ok := a.loadShare.(CostShare); ok && !a.refused {
			c.SetCost(a.accepted)
		}
		a.loadShare.End()
		a.loadShare = nil
	}
	a.copy.release()
}

// isLastAttempt reports whether no other backend server may continue the answer after the next
// attempt.
func (x *run) isLastAttempt() bool {
	o := x.req.Opaque
	return o != nil && (x.req.NonIdempotent || x.fates.count()+1 >= o.MaxAttempts)
}

// noWatch is a Watch that does nothing. It is used for an attempt that must not be ended
// because of silence.
type noWatch struct{}

func (noWatch) Token(time.Time)            {}
func (noWatch) SetBlocked(bool, time.Time) {}
func (noWatch) SetCopied(bool)             {}
func (noWatch) Close()                     {}

// promptBytes returns the size of the text that an attempt has to prefill: the prompt, and the
// accepted part of the answer if the request isn't opaque.
func (x *run) promptBytes() int {
	if o := x.req.Opaque; o != nil {
		return o.PromptTokens * bytesPerToken
	}
	return len(x.req.Prompt) + len(x.text)
}

// detach closes the reader of the current attempt, as described at closeReader.
func (x *run) detach() {
	if x.current != nil {
		x.current.closeReader()
		x.current = nil
	}
}

// abandon closes the reader of the current attempt and has the attempt cancelled.
func (x *run) abandon() {
	a := x.current
	if a == nil {
		return
	}
	x.current = nil
	x.abandonAttempt(a)
}

// linger returns how long the engine keeps an attempt without a reader, in general
// Options.Linger. Exception: for a request that is not idempotent the engine keeps the attempt
// until the deadline, but at most for maxNonIdempotentLinger. Such a request may run only
// once, so its run must outlast a long silence.
func (x *run) linger() time.Duration {
	if !x.req.NonIdempotent || x.req.Deadline.IsZero() {
		return x.opts.Linger
	}
	return min(max(x.opts.Linger, time.Until(x.req.Deadline)), maxNonIdempotentLinger)
}

// engineLost reports whether the attempt with the context ctx was cancelled so that its answer
// is continued. An attempt is cancelled for this purpose by the failure detector, and when the
// backend server reports that it doesn't have the run.
func engineLost(ctx context.Context) bool {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrEngineLost) {
		return true
	}
	r, ok := errors.AsType[resumer](cause)
	return ok && r.Resume()
}

type resumer interface {
	error
	Resume() bool
}

// abandonAttempt closes the reader of a and has the attempt cancelled.
func (x *run) abandonAttempt(a *attempt) {
	a.closeReader()
	if x.req.Opaque != nil {
		return // closing the connection has already cancelled it
	}
	if a.backend.Addr == "" {
		return // handed over from a backend server that is no longer known
	}
	x.Abandon.Add(backend.AbandonedAttempt{
		Backend: a.backend, Incarnation: a.origin.Incarnation,
		Request: x.req.ID, Attempt: a.origin.Attempt, Accepted: a.accepted,
	})
}
