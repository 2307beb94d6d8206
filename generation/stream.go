package generation

import (
	"errors"
	"io"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
)

var errGap = errors.New("token missing")

// stream delivers the attempt's tokens until it ends.
func (x *run) stream() string {
	a := x.last
	for {
		t, err := a.stream.Next()
		if err != nil {
			return x.streamEnded(a, err)
		}
		now := time.Now()
		a.watch.Token(now)
		a.begun(now)
		x.noteOutlived(a, now)
		x.tendCopy(a, now)
		switch x.acc.offer(a.place.Attempt, t.Index) {
		case late:
			x.m.droppedLate.Inc()
			continue
		case repeated:
			x.m.droppedRepeat.Inc()
			continue
		case gap:
			x.m.droppedGap.Inc()
			return x.lost(a, Error.New("%w: got index %d, want %d", errGap, t.Index, x.acc.next))
		}
		if err := x.deliver(a, t, now); err != nil {
			return x.callerGone(err)
		}
		if t.Finish != "" {
			return x.whole(a)
		}
	}
}

func (x *run) deliver(a *attempt, t backend.Token, now time.Time) error {
	if x.lossCause != "" {
		x.m.resumed(x.lossCause, now.Sub(x.lastToken))
		x.opts.Log.Emit(event.AttemptResumed, "request", x.req.ID, "attempt", a.place.Attempt,
			"backend", a.backend.ID, "from", t.Index, "gap_ms", now.Sub(x.lastToken).Milliseconds())
		x.lossCause = ""
	}
	x.measure(now)
	if sinceBoth(now, x.lastToken) > x.opts.PauseGap {
		x.awoke = now
	}
	x.lastToken = now
	x.tries = 0
	a.accepted++
	x.res.Tokens++
	x.m.tokens.Inc()
	if x.holdsText {
		x.text = append(x.text, t.Text...)
		x.meterText()
	}
	silent := a.ctx.Err() != nil
	if err := x.sink.Token(t.Index, t.Text, t.Finish); err != nil {
		return err
	}
	if a.stream.Buffered() {
		return nil
	}
	// A caller that reads slowly keeps this goroutine from reading tokens.
	// Unless the failure detector knows, a healthy engine seems silent to it, and
	// is given up at this router for all its streams.
	a.watch.SetBlocked(true, now)
	err := x.sink.Flush()
	a.watch.SetBlocked(false, time.Now())
	// The other waits of a write, within Token, are rare. After one, the engine
	// isn't at fault either and still holds the stream: take it up there instead
	// of paying for a new prefill.
	x.callerSlow = !silent && a.ctx.Err() != nil
	return err
}

// measure notes how late a token is. lastToken is the start before the first.
func (x *run) measure(now time.Time) {
	wait := now.Sub(x.lastToken)
	if x.res.Tokens == 0 {
		x.res.TimeToFirstToken = wait
		return
	}
	x.res.LongestPause = max(x.res.LongestPause, wait)
}

// whole ends an attempt after its last token: nothing is left to cancel. The
// end mark is read when at hand, so that the connection can be used again.
func (x *run) whole(a *attempt) string {
	if a.stream.Buffered() {
		a.stream.Next()
	}
	x.followed.Answered()
	x.leave()
	return "done"
}

// streamEnded judges the end of a stream before the last token. An end mark
// alone doesn't make an answer whole: an engine that ended the attempt itself
// sends it too.
func (x *run) streamEnded(a *attempt, err error) string {
	if errors.Is(err, io.EOF) && (x.req.Opaque != nil || x.acc.next >= x.req.MaxTokens) {
		x.dropCopy(a)
		if a.accepted > 0 {
			x.followed.Answered()
		}
		x.leave()
		return "done"
	}
	if errors.Is(err, backend.ErrMismatch) {
		x.m.droppedMismatch.Inc()
	}
	return x.lost(a, err)
}
