package health

import (
	"context"
	"errors"
	"math"
	"time"

	"wigeondale/event"
)

// Before an engine is suspected for its silence, it is queried about its runs.
//
// Engines that have more work than they can do pause between the tokens of a stream: they read
// prompts, or preempt a run for lack of memory. If they were taken for dead, their runs would
// be started again elsewhere, where the prompt of each run is read once more, so that the
// fleet has even more work: after a burst of requests most answers would be slow long after
// the burst has passed. A dead engine doesn't answer, so that the query delays its detection
// only by queryTimeout.

const (
	// queryTimeout bounds the wait for an engine's report. It is shorter than the time after
	// which the kernel sends a lost packet again.
	queryTimeout = 100 * time.Millisecond
	// runReportTTL is how long an engine's report counts before it is queried again.
	runReportTTL = 500 * time.Millisecond
	// maxConfirmedSilence is the longest silence that is accepted of an engine that answers
	// queries. It has to be this long since a preempted run continues only when its prompt has
	// been read again.
	maxConfirmedSilence = 4 * time.Second
	// confirmedPrefillBounds limits the wait for a first token while the engine answers
	// queries: the longest wait is confirmedPrefillBounds times Policy.PrefillBound. Answers
	// to queries don't allow a longer wait, because an engine can't name the runs whose
	// prompts are still to be read, but only count them.
	confirmedPrefillBounds = 2
)

// ErrQueryWithheld means that a backend server was not queried, because it asks for fewer requests.
// That is no evidence against it: its silence is accepted as if it had answered.
var ErrQueryWithheld = errors.New("query withheld")

// RunQuerier queries backend servers about their runs.
type RunQuerier interface {
	// QueryRuns returns the report of one backend server; an error means that the backend
	// server gave no report.
	QueryRuns(ctx context.Context, backend string) (RunReport, error)
}

// RunReport is what a backend server reports about its runs.
type RunReport interface {
	// HasRun reports whether the backend server has a run of the request and has produced no
	// more than received tokens of it: tokens that were produced but not received were lost on
	// the way.
	HasRun(request string, received int) bool
}

// runQuery is the last query that an engine was sent. It may be read and written only while
// engine.mu is held.
type runQuery struct {
	sentAt int64 // 0 if the engine was never queried
	open   bool  // no report has arrived yet
	failed bool  // the query failed
}

// queryState is the state of the query about an engine's silence.
type queryState uint8

const (
	notQueried      queryState = iota
	queryPending               // the engine was queried and has some time left to answer
	queryAnswered              // the engine has answered
	queryUnanswered            // the engine has not answered in time
)

// queryState returns the state of the query of the engine at t. The caller holds e.mu.
func (e *engine) queryState(t int64) queryState {
	q := &e.query
	age := t - q.sentAt
	switch {
	case q.sentAt == 0:
		return notQueried
	case q.open && age < int64(queryTimeout):
		return queryPending
	case q.open || q.failed:
		if age < int64(runReportTTL) {
			return queryUnanswered
		}
		return notQueried
	case age < int64(runReportTTL):
		return queryAnswered
	}
	return notQueried
}

// silenceConfirmed reports whether a silence of e is to be acted on at t: engines can't be
// queried, e has not answered its query in time, or the silence has reached
// maxConfirmedSilence. If e was not queried within runReportTTL, silenceConfirmed starts a query
// and returns false; a later tick decides by the result of the query. The caller holds e.mu.
func (m *Monitor) silenceConfirmed(e *engine, silence time.Duration, t int64) bool {
	if m.RunQuerier == nil || silence >= maxConfirmedSilence {
		return true
	}
	switch e.queryState(t) {
	case queryUnanswered:
		return true
	case notQueried:
		e.query = runQuery{sentAt: t, open: true}
		m.queries.Inc()
		go m.queryRuns(e, t)
	}
	return false
}

// queryRuns queries e about its runs, records the report or the lack of one, and cancels the
// streams whose runs are lost according to the report.
func (m *Monitor) queryRuns(e *engine, sentAt int64) {
	ctx, stop := context.WithTimeout(context.Background(), queryTimeout)
	defer stop()
	r, err := m.RunQuerier.QueryRuns(ctx, e.id)
	lost := e.applyRunReport(r, err, sentAt)
	m.log.Emit(event.EngineAsked, "backend", e.id, "lost", len(lost.streams), "err", err)
	m.cancel(lost)
}

// applyRunReport applies the report of an engine, or the error of the query. It returns the
// streams that are to be cancelled: streams whose run the engine doesn't have, and streams of
// which tokens were lost on the way.
func (e *engine) applyRunReport(r RunReport, err error, sentAt int64) evaluation {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := evaluation{engine: e}
	if e.query.sentAt != sentAt {
		return v
	}
	e.query.open = false
	e.query.failed = err != nil && !errors.Is(err, ErrQueryWithheld)
	if err != nil {
		return v
	}
	for _, s := range e.streams {
		started := s.lastToken.Load() != 0 && s.lastToken.Load() < sentAt
		if !started || s.cancelled || s.blocked.Load() || r.HasRun(s.work.Request, s.received()) {
			continue
		}
		v.streams = append(v.streams, s)
		v.causes = append(v.causes, missingRunCause(r, s))
	}
	return v
}

// missingRunCause returns the cause for a stream whose run a report lacks, or of which tokens have not arrived. The
// latter may still arrive.
func missingRunCause(r RunReport, s *Stream) error {
	if r.HasRun(s.work.Request, math.MaxInt) {
		return ErrStalled
	}
	return ErrNoRun
}
