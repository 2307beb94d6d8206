package health

import (
	"context"
	"errors"
	"time"

	"wigeondale/event"
)

// A server that was silent for a moment and is well would get no work until its backoff ends. So
// servers that were ejected for their silence are queried again during their backoff. A report ends
// the backoff, and the next request is the probe: a report doesn't show that the server delivers
// tokens.

const (
	// recheckInterval is how often an ejected server is queried.
	recheckInterval = time.Second
	// workWindow is how long after the start of its last attempt here a server counts as used by
	// this router. A router queries only ejected servers that it used, so that the number of queries
	// that a server gets follows its work and not the number of routers.
	workWindow = 5 * time.Second
)

// recheckKind is how a router finds out that an ejected server answers again.
type recheckKind uint8

const (
	// noRecheck: the backoff stands. The server refused connections, or it answers queries and
	// has failed its probe.
	noRecheck recheckKind = iota
	// recheckAlone: this router used the server and queries it.
	recheckAlone
	// recheckWithDomain: the server was ejected with its failure domain, without work of this
	// router. The answers of other members decide.
	recheckWithDomain
)

// recheckKindAt returns how e, ejected for silence at t, is to be rechecked. The caller holds e.mu.
func (m *Monitor) recheckKindAt(e *engine, t int64) recheckKind {
	switch {
	case m.RunQuerier == nil:
		return noRecheck
	case e.usedRecently(t):
		return recheckAlone
	}
	return recheckWithDomain
}

// usedRecently reports whether this router has sent e work recently. The caller holds e.mu.
func (e *engine) usedRecently(t int64) bool {
	return len(e.streams) > 0 || (e.usedAt != 0 && t-e.usedAt < int64(workWindow))
}

// used is usedRecently for callers that don't hold e.mu.
func (e *engine) used(t int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedRecently(t)
}

// isMute reports whether e has just answered a query: then its silence on its streams is not that
// of the whole server. The caller holds e.mu.
func (e *engine) isMute(t int64) bool {
	q := &e.query
	return q.sentAt != 0 && !q.open && !q.failed && t-q.sentAt < int64(2*runReportTTL)
}

// inBackoff reports whether e is suspected, and gets no work at t. The caller holds e.mu.
func (e *engine) inBackoff(t int64) bool { return e.state == Suspect && t < e.retryAt }

// startRecheck starts the queries of an ejected engine, unless they run already.
func (m *Monitor) startRecheck(e *engine) {
	e.mu.Lock()
	start := e.recheck == recheckAlone && !e.rechecking
	e.rechecking = e.rechecking || start
	e.mu.Unlock()
	if start {
		time.AfterFunc(recheckInterval, func() { m.recheckEngine(e) })
	}
}

// recheckEngine queries e once, and again after recheckInterval while its silence lasts.
func (m *Monitor) recheckEngine(e *engine) {
	t := m.sinceEpoch(time.Now())
	e.mu.Lock()
	due := e.recheck == recheckAlone && e.inBackoff(t)
	e.rechecking = due
	e.mu.Unlock()
	if !due {
		return
	}
	m.recheck(e)
	time.AfterFunc(recheckInterval, func() { m.recheckEngine(e) })
}

// recheck queries e, and reports whether e answers. An answer ends the backoff. Any error but a
// timeout ends the queries: the process doesn't run, or another one runs at its address.
func (m *Monitor) recheck(e *engine) bool {
	ctx, stop := context.WithTimeout(context.Background(), queryTimeout)
	defer stop()
	m.queries.Inc()
	_, err := m.RunQuerier.QueryRuns(ctx, e.id)
	m.log.Emit(event.EngineAsked, "backend", e.id, "lost", 0, "err", err)
	switch {
	case err == nil:
		m.recordConfirmed([]*engine{e})
		e.endBackoff(m.sinceEpoch(time.Now()))
		return true
	case ctx.Err() == nil && !errors.Is(err, ErrQueryWithheld):
		e.mu.Lock()
		e.recheck = noRecheck
		e.mu.Unlock()
	}
	return false
}

// endBackoff allows a probe of e at t, if e is suspected for its silence.
func (e *engine) endBackoff(t int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recheck != noRecheck && e.inBackoff(t) {
		e.retryAt = t
	}
}
