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

// attemptSpread is the range of the random step in the attempt's number after
// a change of router: two routers that take the same answer over at the same
// moment must not give one number to two attempts.
const attemptSpread = 1 << 16

// attempt is one run of the request on one engine.
type attempt struct {
	backend fleet.Backend
	place   Position
	stream  Stream // nil while it isn't read
	ctx     context.Context
	cancel  context.CancelCauseFunc
	watch   Watch
	share   LoadShare
	copy    standbyCopy
	copied  chan standbyCopy // a copy that was made beside the stream; room for one
	copying bool             // one is being made

	copyChecked time.Time
	accepted    int // tokens delivered from it
	sentAt      time.Time
	firstAt     time.Time // when the first of them came
	outlived    bool      // it has run long enough to clear the request of suspicion
	seen        bool      // the engine has confirmed that it exists
}

func (x *run) nextNumber() int {
	x.number++
	if x.req.Resume != nil && x.number == x.req.Resume.Attempt+1 {
		x.number += int(x.opts.Rand() * attemptSpread)
	}
	return x.number
}

// watchAttempt puts a under the failure detector.
func (x *run) watchAttempt(a *attempt) {
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	if x.lastChance() {
		// Ending it at a silence would only lose an answer that may still come.
		a.watch = unwatched{}
		return
	}
	a.watch = x.Watcher.Watch(a.backend.ID, x.work(), a.cancel)
}

// work is what the next attempt is to do.
func (x *run) work() health.Work {
	w := health.Work{Request: x.req.ID, PromptBytes: x.promptBytes(), Received: x.acc.next}
	if x.req.Opaque != nil {
		w.Received-- // its pieces are numbered from 1
	}
	return w
}

// begun notes that the first piece has come, and tells the share.
func (a *attempt) begun(now time.Time) {
	if a.accepted > 0 {
		return
	}
	a.firstAt = now
	if a.share != nil {
		a.share.PrefillDone()
	}
}

// loss is what the guard goes by when a was lost.
func (a *attempt) loss(cause string) quarantine.Loss {
	l := quarantine.Loss{Backend: a.backend, Chunks: a.accepted, Ran: time.Since(a.sentAt), Cause: cause}
	if !a.firstAt.IsZero() {
		l.SinceFirst = time.Since(a.firstAt)
	}
	return l
}

// closeReader ends the reading of a; the engine keeps it for the linger time.
func (a *attempt) closeReader() {
	if a.stream != nil {
		a.stream.Close()
		a.stream = nil
	}
	if a.watch != nil {
		a.watch.Close()
		a.watch = nil
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
	if a.share != nil {
		a.share.End()
		a.share = nil
	}
	a.copy.release()
}

// lastChance tells that no other backend server could go on with the answer.
func (x *run) lastChance() bool {
	o := x.req.Opaque
	return o != nil && (x.req.NonIdempotent || x.sent+1 >= o.MaxAttempts)
}

// unwatched is the Watch of an attempt that no silence may end.
type unwatched struct{}

func (unwatched) Token(time.Time)            {}
func (unwatched) SetBlocked(bool, time.Time) {}
func (unwatched) SetCopied(bool)             {}
func (unwatched) Close()                     {}

// promptBytes is the size of the text that an attempt has to read first.
func (x *run) promptBytes() int {
	if o := x.req.Opaque; o != nil {
		return o.PromptTokens * bytesPerToken
	}
	return len(x.req.Prompt) + len(x.text)
}

// leave closes the reader and lets the engine's linger time decide.
func (x *run) leave() {
	if x.last != nil {
		x.last.closeReader()
		x.last = nil
	}
}

// abandon closes the reader and has the attempt cancelled.
func (x *run) abandon() {
	a := x.last
	if a == nil {
		return
	}
	x.leave()
	if x.req.Opaque != nil {
		return // closing the connection has cancelled it
	}
	if a.backend.Addr == "" {
		return // handed over from a backend server that isn't known any more
	}
	x.Abandon.Add(backend.AbandonedAttempt{
		Backend: a.backend, Incarnation: a.place.Incarnation,
		Request: x.req.ID, Attempt: a.place.Attempt, Accepted: a.accepted,
	})
}

// linger is how long the engine keeps an attempt without a reader. The one
// run of a request that isn't idempotent must outlast a long silence.
func (x *run) linger() time.Duration {
	if !x.req.NonIdempotent || x.req.Deadline.IsZero() {
		return x.opts.Linger
	}
	return min(max(x.opts.Linger, time.Until(x.req.Deadline)), maxOnceLinger)
}

// engineLost reports whether the failure detector ended the attempt.
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
