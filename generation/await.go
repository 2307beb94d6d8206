package generation

import (
	"context"
	"io"
	"time"

	"wigeondale/backend"
)

// acceptedWait bounds the time for which a silent attempt is read beside one that was accepted and has sent no chunk. An empty answer ends
// together with its head. Any other answer may begin only after the prefill, and both backend servers would work until then.
const acceptedWait = 200 * time.Millisecond

// awaitAnswer waits until the answer of a begins or fails, and for acceptedWait until it delivers if another attempt is kept. If the kept
// attempt delivers before, or a is silent, it returns the event that follows instead.
func (x *run) awaitAnswer(a *attempt) (s Stream, ev string, err error) {
	r, ev, _ := x.awaitEither(a, nil)
	if ev != "" || r.err != nil {
		return nil, ev, r.err
	}
	s = r.stream
	if err := x.checkHead(s.Head()); err != nil || x.kept == nil {
		return s, "", err
	}
	// An accepted request need not bring a chunk, and only the kept attempt is known to have the rest of the answer.
	a.stream = s
	a.reading.wanted <- struct{}{}
	a.awaitsResult = true
	late := time.NewTimer(acceptedWait)
	defer late.Stop()
	r, ev, isLate := x.awaitEither(a, late.C)
	switch {
	case ev != "":
		return nil, ev, nil
	case isLate:
		return s, "", nil
	}
	if r.err == io.EOF {
		err = x.unprovenEnd(a)
	} else {
		err = r.err
	}
	a.early = &r
	return s, "", err
}

// awaitEither waits for the next result of a. If the kept attempt delivers before, or a is silent, it returns the event that follows, and if
// late delivers before, isLate.
func (x *run) awaitEither(a *attempt, late <-chan time.Time) (r readResult, ev string, isLate bool) {
	var ended <-chan struct{}
	if a.stream != nil {
		ended = a.ctx.Done() // a reader that has opened its stream may end without a result
	}
	for {
		select {
		case r := <-a.reading.results:
			a.awaitsResult = false
			if r.err == nil {
				x.dropOvertakenReport(a)
			}
			return r, "", false
		case <-late:
			return readResult{}, "", true
		case <-ended:
			return readResult{err: Error.New("%w: %w", backend.ErrBroken, context.Cause(a.ctx))}, "", false
		case cause := <-a.silent:
			if ev := x.silentBeforeAnswer(a, cause); ev != "" {
				return readResult{}, ev, false
			}
		case r := <-x.keptResults():
			r = x.checkKeptResult(r)
			if r.err == nil || r.err == io.EOF {
				x.abandonAttempt(a)
			}
			if ev, goesOn := x.handleKept(r); goesOn {
				return readResult{}, ev, false
			}
		}
	}
}

// silentBeforeAnswer handles the silence of an attempt whose answer has not begun. It returns an empty event if
// the result of the attempt is to be awaited.
func (x *run) silentBeforeAnswer(a *attempt, cause error) string {
	replaceable := x.canContinueElsewhere()
	switch {
	case len(a.reading.results) > 0:
		x.watchAgain(a) // the answer has begun
	case replaceable && x.kept == nil:
		return x.keep(a, cause)
	case replaceable && x.kept != nil, x.req.Opaque == nil:
		a.cancel(cause) // one attempt is kept at a time; a run that can't be replaced is attached to again
	}
	return ""
}
