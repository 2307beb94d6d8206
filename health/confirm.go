package health

import (
	"context"
	"slices"
	"time"

	"wigeondale/event"
)

// reasonCommonSilence is the reason logged when a failure domain is suspected because its
// members are silent together. Where engines can be queried, the domain is suspected only
// after its members were queried: what looks like a crash of all members may be pauses of slow
// engines, or resets of some connections.

const reasonCommonSilence = "common silence"

// queryDue reports whether the members are to be queried about their common silence at t, and
// if so records t as the time of the query. No query is due within runReportTTL of the last
// one, since the reports of the members still count.
func (d *domain) queryDue(t int64) bool { return d.due(&d.queriedAt, t, runReportTTL) }

// confirmSilence queries the silent members before their domain is suspected. The domain is
// suspected only if most of the silent members give no answer.
//
// Without the query, domains of slow engines would be suspected although the engines work. The
// Monitor estimates from the gaps seen so far how probable it is that a common silence is
// chance. Engines that read prompts slowly pause their runs for longer than any gap before,
// and several engines pause at once when several prompts arrive. The runs of these engines
// would be started again elsewhere, and the engines would get no work for some seconds. Where
// the domain is down, the query delays the detection by its duration.
func (m *Monitor) confirmSilence(d *domain, silent []*engine) {
	answered := m.queryAlive(silent)
	noAnswer := len(silent) - len(answered)
	if noAnswer < minDomainFailures || noAnswer <= len(answered) {
		return
	}
	m.recordConfirmed(answered)
	m.domainCrashed(d, m.sinceEpoch(time.Now()), reasonCommonSilence, "")
}

// confirmCrash queries the members that failed before their domain is suspected.
//
// Without this query, a domain would be taken for crashed as soon as two of its engines reset
// some of their connections at the same moment. All routers would send the domain no work for
// some seconds and start its runs again elsewhere, so that a third of the engines would have
// no work while all of them are healthy.
//
// Members that did not fail are queried too, and the domain is not suspected if most of the
// members that failed or were queried work. A few engines that crashed, each while it ran a
// different request, or all in one rack, don't show that the domain is down.
func (m *Monitor) confirmCrash(d *domain, t int64) {
	defer d.endConfirmation()
	witnesses := d.sampleOthers(t)
	results := m.queryAll(witnesses)
	queried := map[*engine]bool{}
	for {
		failed := d.recentFailures(t)
		failed = slices.DeleteFunc(failed, func(e *engine) bool { return queried[e] })
		if len(failed) == 0 {
			break
		}
		for _, e := range failed {
			queried[e] = true
		}
		m.clearAlive(d, failed)
	}
	down := len(d.recentFailures(t))
	if down < minDomainFailures {
		return
	}
	if !m.majorityWorks(results, down, len(witnesses)) {
		m.domainCrashed(d, m.sinceEpoch(time.Now()), "members failed together", "")
	}
}

// majorityWorks reports whether most of the members that failed or were queried work. down is
// the number of members that failed, and queried is the number of results that the channel
// will deliver. The method returns as soon as the remaining results can't change the answer.
func (m *Monitor) majorityWorks(results <-chan queryResult, down, queried int) bool {
	all, working := down+queried, 0
	for 2*down < all && 2*working <= all {
		r := <-results
		if r.err != nil {
			down++
			continue
		}
		working++
		m.recordConfirmed([]*engine{r.from})
	}
	return 2*working > all
}

// recordConfirmed records that engines have just answered a query, which exempts them from the
// suspicion of their domain for activityWindow.
func (m *Monitor) recordConfirmed(answered []*engine) {
	t := m.sinceEpoch(time.Now())
	for _, e := range answered {
		e.lastConfirmedAt.Store(t)
	}
}

// clearAlive clears the failures of those members that answer a query.
func (m *Monitor) clearAlive(d *domain, failed []*engine) {
	for _, e := range m.queryAlive(failed) {
		d.clearFailure(e)
	}
}

// queryAlive queries engines and returns those that answer in time.
func (m *Monitor) queryAlive(queried []*engine) []*engine {
	results := m.queryAll(queried)
	var answered []*engine
	for range queried {
		if r := <-results; r.err == nil {
			answered = append(answered, r.from)
		}
	}
	return answered
}

// queryResult is the result of querying one engine; err is set if the engine gave no answer in
// time.
type queryResult struct {
	from *engine
	err  error
}

// queryAll queries engines concurrently. The channel delivers one result for each engine.
func (m *Monitor) queryAll(queried []*engine) <-chan queryResult {
	results := make(chan queryResult, len(queried))
	for _, e := range queried {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), queryTimeout)
			defer stop()
			m.queries.Inc()
			_, err := m.RunQuerier.QueryRuns(ctx, e.id)
			m.log.Emit(event.EngineAsked, "backend", e.id, "lost", 0, "err", err)
			results <- queryResult{e, err}
		}()
	}
	return results
}
