package generation

import (
	"context"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
)

const (
	// runQueryDelay is how long an attempt waits for its first chunk before the router queries
	// the backend server for the run. Most prompts are read in less time.
	runQueryDelay = 1800 * time.Millisecond
	// runQueryInterval is the time between further queries. runQueryTimeout bounds each query.
	runQueryInterval = 700 * time.Millisecond
	// runQueryConfirm is the time after which a report without the run is confirmed by another one: a server that
	// was silent may read the query before the request.
	runQueryConfirm = 300 * time.Millisecond
	runQueryTimeout = 300 * time.Millisecond
)

// RunQuerier queries a backend server for its runs.
type RunQuerier interface {
	Runs(ctx context.Context, b fleet.Backend) (RunReport, error)
}

// RunReport is what a backend server reports about its runs.
type RunReport struct {
	Queued int // requests that wait for a slot
	Active int // runs, including requests whose prompts are being read
	// ChunksMade maps the request ids of runs to the number of chunks that each run has
	// produced. Only runs that have produced at least one chunk are listed.
	ChunksMade map[string]int
	// Restarted reports that the backend server was restarted, so that it has none of its earlier
	// runs.
	Restarted bool
	// StartUnstated reports that the backend server doesn't state when it started: it may have restarted.
	StartUnstated bool
}

// mayHave reports whether the backend server may have a run of the request. A request that
// isn't listed may still be in the queue, or its prompt may be being read, as long as the
// report counts more requests than it lists.
func (r RunReport) mayHave(request string) bool {
	if r.Restarted {
		return false
	}
	_, named := r.ChunksMade[request]
	return named || r.Queued > 0 || r.Active > len(r.ChunksMade)
}

// HasRun implements the report interface of package health. It reports false for a run that
// has produced more chunks than were received: the run exists, but its connection no longer
// delivers.
func (r RunReport) HasRun(request string, received int) bool {
	if made, named := r.ChunksMade[request]; named {
		return made <= received
	}
	return r.mayHave(request)
}

// runNotFound is the cause reported for an attempt whose backend server states that it doesn't have the run. One
// report may be a mere silence, two in a row are certain.
type runNotFound struct{ confirmed bool }

// Silent implements silenceReport.
func (r runNotFound) Silent() bool { return !r.confirmed }

func (runNotFound) Error() string { return "the backend server has no such run" }

// Resume reports that the answer is to be continued on another backend server.
func (runNotFound) Resume() bool { return true }

// pollRun starts to query the backend server at intervals whether it has the run of an attempt
// that waits long for its first chunk. If the backend server doesn't have the run, the attempt
// is cancelled so that the answer is continued elsewhere. The queries end when stop is called.
//
// It detects a backend server that loses an answer, or accepts requests and never works on
// them, while its other streams continue. From the silence alone, the router can't distinguish
// such a fault from a queue. Therefore the time limit for the first chunk is long, and without
// the queries the answer would be late by many times the duration of the run.
func (x *run) pollRun(a *attempt) (stop func()) {
	if x.RunQuerier == nil || x.req.Opaque == nil || !x.req.Opaque.Streaming || x.isLastAttempt() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(a.ctx)
	b := a.backend
	go func() {
		wait, missing := runQueryDelay, false
		for clock.Sleep(ctx, wait) {
			running, err := x.queryRun(ctx, b)
			if ctx.Err() != nil {
				return
			}
			x.opts.Log.Emit(event.RunInquired, "request", x.req.ID, "attempt", a.origin.Attempt,
				"backend", b.ID, "running", running, "err", err)
			wait = runQueryInterval
			if err != nil || running {
				missing = false
				continue
			}
			a.reportLoss(runNotFound{confirmed: missing})
			wait, missing = runQueryConfirm, true
		}
	}()
	return cancel
}

func (x *run) queryRun(ctx context.Context, b fleet.Backend) (bool, error) {
	ctx, stop := context.WithTimeout(ctx, runQueryTimeout)
	defer stop()
	report, err := x.RunQuerier.Runs(ctx, b)
	return report.mayHave(x.req.ID), err
}
