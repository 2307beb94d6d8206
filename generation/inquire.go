package generation

import (
	"context"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
)

const (
	// inquireAfter is how long an attempt waits for its first piece before its
	// backend server is asked about it: longer than most prompts take to be read.
	inquireAfter = 1800 * time.Millisecond
	// inquireAgain is the time to the next question, and inquireTimeout bounds one.
	inquireAgain   = 700 * time.Millisecond
	inquireTimeout = 300 * time.Millisecond
)

// RunQuerier asks a backend server about its runs.
type RunQuerier interface {
	Runs(ctx context.Context, b fleet.Backend) (RunReport, error)
}

// RunReport is what a backend server says of its runs.
type RunReport struct {
	Queued int // requests that wait for a place
	Active int // runs, and requests whose prompts are read
	// ChunksMade is how many pieces each run has made, by request. It names only those
	// that have made one.
	ChunksMade map[string]int
	// Restarted tells that the backend server has started again and holds no run of before.
	Restarted bool
}

// mayHave tells whether the backend server may have a run of the request. One that
// isn't named may wait or have its prompt read, as long as there are such requests.
func (r RunReport) mayHave(request string) bool {
	if r.Restarted {
		return false
	}
	_, named := r.ChunksMade[request]
	return named || r.Queued > 0 || r.Active > len(r.ChunksMade)
}

// HasRun implements health.Word. A run whose latest pieces were not received is there,
// but its connection has fallen silent.
func (r RunReport) HasRun(request string, received int) bool {
	if made, named := r.ChunksMade[request]; named {
		return made <= received
	}
	return r.mayHave(request)
}

// runGone is the cause with which an attempt ends whose backend server says that
// it has no such run.
type runGone struct{}

func (runGone) Error() string { return "the backend server has no such run" }

// Resume tells that the answer goes on elsewhere.
func (runGone) Resume() bool { return true }

// inquire asks about an attempt that waits long for its first piece, until stop is
// called.
//
// What goes wrong without it: a backend server loses an answer, or takes requests
// and never works on them, while its other streams go on. Silence alone can't tell
// that from a queue, so that the bound on the first piece is long, and the answer
// late by many times what the run would take.
func (x *run) inquire(a *attempt) (stop func()) {
	if x.RunQuerier == nil || x.req.Opaque == nil || !x.req.Opaque.Streaming || x.lastChance() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(a.ctx)
	b := a.backend
	go func() {
		for wait := inquireAfter; clock.Sleep(ctx, wait); wait = inquireAgain {
			running, err := x.askOnce(ctx, b)
			if ctx.Err() != nil {
				return
			}
			x.opts.Log.Emit(event.RunInquired, "request", x.req.ID, "attempt", a.place.Attempt,
				"backend", b.ID, "running", running, "err", err)
			if err == nil && !running {
				a.cancel(runGone{})
				return
			}
		}
	}()
	return cancel
}

func (x *run) askOnce(ctx context.Context, b fleet.Backend) (bool, error) {
	ctx, stop := context.WithTimeout(ctx, inquireTimeout)
	defer stop()
	report, err := x.RunQuerier.Runs(ctx, b)
	return report.mayHave(x.req.ID), err
}
