package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// timeline records periods by what they concern, such as a router's incarnation or a replica.
type timeline struct {
	mu      sync.Mutex
	periods map[any][]*timePeriod
}

type timePeriod struct{ from, to time.Time }

// begin records a period that begins now and lasts until the returned function is called.
func (t *timeline) begin(of any) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.periods == nil {
		t.periods = map[any][]*timePeriod{}
	}
	p := &timePeriod{from: time.Now()}
	t.periods[of] = append(t.periods[of], p)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		p.to = time.Now()
	}
}

// overlaps reports whether a period of something has a part between two moments.
func (t *timeline) overlaps(of any, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.periods[of] {
		if p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) {
			return true
		}
	}
	return false
}

// endRecord holds the requests that ended without a complete answer and without a refusal, and what may
// excuse such an end.
type endRecord struct {
	// trouble is everything but a silence that affects a router's incarnation or a *fakes.Replica.
	trouble  timeline
	silences timeline // of a *fakes.Replica

	mu    sync.Mutex
	ended []result
}

const (
	// troubleDelay is how long after its first effect trouble may be recorded.
	troubleDelay = 200 * time.Millisecond
	// refusalDelay is how long after the refusal that ends a request the client may have its final answer. It covers
	// a wait for retry budget.
	refusalDelay = 200 * time.Millisecond
)

// visit is the arrival of a request at a replica.
type visit struct {
	replica *fakes.Replica
	at      time.Time
	refused bool   // with the statement that the request has not run
	unfit   string // the one of fakes.UnfitAnswers that it got, if any
}

// add keeps a result for check if its end needs an excuse.
func (e *endRecord) add(r result) {
	if r.abandoned || r.err == nil && r.status != http.StatusBadGateway {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = append(e.ended, r)
}

// brokenPromise returns the promise that the end of a request breaks, or "". visits are its arrivals at replicas.
func (e *endRecord) brokenPromise(r *result, visits []visit) string {
	from, to := r.startedAt, r.startedAt.Add(r.duration)
	endedBefore := r.connection != "" && r.connection != r.incarnation // an idle connection to a process that has ended
	routerFailed := r.incarnation == "" || endedBefore || e.trouble.overlaps(r.incarnation, from, to.Add(troubleDelay))
	if routerFailed || errors.Is(r.err, syscall.ECONNREFUSED) {
		return ""
	}
	if r.status == 0 && !errors.Is(r.err, context.DeadlineExceeded) { // which checkDuration judges
		return "no connection of a router that runs ends without an answer"
	}
	if r.duration >= r.timeLimit() {
		return ""
	}
	var silent []visit
	for _, v := range visits {
		if e.trouble.overlaps(v.replica, from, to.Add(troubleDelay)) {
			return ""
		}
		if e.silences.overlaps(v.replica, from, to) {
			silent = append(silent, v)
		}
	}
	switch {
	case r.err != nil:
		return "an answer that sound replicas began is a complete answer"
	case len(silent) > 0 && !endedByRefusal(silent, to):
		return "no request is left without an answer because its replica is silent"
	}
	return ""
}

// endedByRefusal reports whether a request that ended at a moment was ended by a refusal and not by a silence: each of the
// replicas that were silent had refused it by then, the last one just before.
func endedByRefusal(silent []visit, end time.Time) bool {
	var last time.Time
	for _, v := range silent {
		if !v.refused || v.at.After(end) {
			return false
		}
		if v.at.After(last) {
			last = v.at
		}
	}
	return end.Sub(last) <= refusalDelay
}

// timeLimit returns when the router may end the request for want of time.
func (r *result) timeLimit() time.Duration {
	if r.budget == 0 {
		return routeTimeout
	}
	return min(r.budget.Truncate(time.Millisecond), routeTimeout) // as it is stated
}

// checkEnds records a violation for each request that should have got a complete answer or a refusal, and
// got neither.
func (c *checks) checkEnds(visits map[string][]visit) {
	for _, r := range c.ends.ended {
		promise := c.ends.brokenPromise(&r, visits[r.id])
		if promise == "" {
			continue
		}
		var at []string
		for _, v := range visits[r.id] {
			at = append(at, v.replica.ID)
		}
		detail := fmt.Sprintf("%s through %s (connection of %q): status %d, cut %v, %d bytes, after %v, at replicas %v", r.kind, r.incarnation, r.connection, r.status, r.err, len(r.body), r.duration, at)
		c.violated(promise, r.id, detail)
	}
}
