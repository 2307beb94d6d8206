// Package placement chooses the backend server for an attempt: it combines the choice among
// backend servers (routing), their known state (directory) and their health (health).
//
// Between the choice and the sending, a backend server may start leaving, or another attempt
// may be sent to it as its only probe; the request would then reach a backend server that must
// not get any request. Both conditions are therefore checked once more at the moment of
// sending, and if one of them holds, the choice is repeated without that backend server.
package placement

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/routing"
)

// maxTries is the largest number of choices for one attempt. Each chosen backend server is
// checked before the sending. The choice is repeated if the backend server has started leaving
// by then, or may get no attempt because of its health.
const maxTries = 4

// Chooser chooses a backend server for an attempt among candidates, and checks again before
// the sending that the backend server may get the attempt.
type Chooser struct {
	Dir *directory.Directory
	Mon *health.Monitor
	// Pressure holds what backend servers ask of the routers. Nil means that they ask nothing.
	Pressure *backpressure.Tracker
	// RetryAfter is the time to come back that is returned when a backend server is expected
	// to be available soon.
	RetryAfter time.Duration
}

// Pick chooses a backend server with the router, and adds the attempt's load to the load of
// that backend server. The load is removed when the caller ends the returned share. If no
// backend server can be chosen, the error is a *generation.Unavailable.
func (c Chooser) Pick(router *routing.Router, candidates []routing.Candidate, req routing.PickRequest, load directory.Load) (b fleet.Backend, s generation.LoadShare, err error) {
	for range maxTries {
		req.Now = time.Now()
		req.Accepts = c.Pressure.Filter(req.Now)
		chosen, _, err := router.Pick(candidates, req)
		if err != nil {
			return fleet.Backend{}, nil, c.unavailable(err, candidates, req.Now)
		}
		id := chosen.Backend.ID
		if !c.Dir.Leaving(id) && c.Pressure.Accepts(id, req.Now) && c.Mon.Allow(id) {
			return *chosen.Backend, c.Dir.Begin(id, load), nil
		}
		req.Exclude = WithID(req.Exclude, id)
	}
	return fleet.Backend{}, nil, &generation.Unavailable{Retryable: true, RetryAfter: c.RetryAfter}
}

// CodeWithheld is the code of the refusal of a request for which all backend servers ask for
// fewer requests.
const CodeWithheld = "backends_limited"

func (c Chooser) unavailable(err error, candidates []routing.Candidate, now time.Time) error {
	none, ok := errors.AsType[*routing.NoCandidate](err)
	if !ok {
		return &generation.Unavailable{Err: err}
	}
	if none.Reason != routing.NoneAccepts {
		return &generation.Unavailable{Retryable: none.Retryable, RetryAfter: c.RetryAfter, Err: err}
	}
	ids := make([]string, 0, len(candidates))
	for i := range candidates {
		ids = append(ids, candidates[i].Backend.ID)
	}
	return &generation.Unavailable{Code: CodeWithheld, Retryable: true, RetryAfter: c.Pressure.Wait(ids, now), Err: err}
}

// WithID returns a copy of set with one more id; set itself is not changed.
func WithID(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k, v := range set {
		out[k] = v
	}
	out[id] = true
	return out
}

// Watcher registers attempts and their results with the failure detector, and marks a backend
// server as leaving in the directory if a refusal shows that it is.
type Watcher struct {
	*health.Monitor
	Dir *directory.Directory
	// LeavingCode is the code of the refusal with which a backend server reports that it
	// accepts no more work.
	LeavingCode string
}

// Watch registers one attempt with the failure detector.
func (w Watcher) Watch(id string, work health.Work, cancel context.CancelCauseFunc) generation.Watch {
	return w.Monitor.Watch(id, work, cancel)
}

// Result reports how an attempt started. Only a connection error counts against a backend
// server: a refusal shows that the backend server is alive. A backend server that refuses
// because it is leaving gets no more requests.
func (w Watcher) Result(id string, err error) {
	refused, ok := errors.AsType[*backend.Refused](err)
	if !ok {
		w.Monitor.Result(id, err)
		return
	}
	if refused.Code == w.LeavingCode {
		w.Dir.MarkLeaving(id, "", directory.FromRefusal)
	}
	w.Monitor.Result(id, nil)
}
