// Package placement places attempts: it joins the choice among backend servers
// (routing), what is known of them (directory) and whether they work (health).
//
// Failure story: between the choice and the sending a backend server turns out to
// be leaving, or another attempt has just been given to it as its only probe. The
// request would reach a server that is to get nothing. So both are looked up once
// more at the moment of sending, and the choice is repeated without it.
package placement

import (
	"context"
	"errors"
	"time"

	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/routing"
)

// tries bounds choices repeated because the chosen one was just taken away.
const tries = 4

// Chooser chooses among candidates.
type Chooser struct {
	Dir *directory.Directory
	Mon *health.Monitor
	// RetryAfter is told when a backend server is expected back soon.
	RetryAfter time.Duration
}

// Pick chooses by router and counts the attempt, with its load, until its share
// ends. Without a choice the error is a *generation.Unavailable.
func (c Chooser) Pick(router *routing.Router, candidates []routing.Candidate, ask routing.PickRequest, load directory.Load) (b fleet.Backend, s generation.LoadShare, err error) {
	for range tries {
		ask.Now = time.Now()
		chosen, _, err := router.Pick(candidates, ask)
		if err != nil {
			return fleet.Backend{}, nil, c.none(err)
		}
		id := chosen.Backend.ID
		if !c.Dir.Leaving(id) && c.Mon.Allow(id) {
			return chosen.Backend, c.Dir.Begin(id, load), nil
		}
		ask.Exclude = WithID(ask.Exclude, id)
	}
	return fleet.Backend{}, nil, &generation.Unavailable{Retryable: true, RetryAfter: c.RetryAfter}
}

func (c Chooser) none(err error) error {
	none, ok := errors.AsType[*routing.NoCandidate](err)
	if !ok {
		return &generation.Unavailable{Err: err}
	}
	return &generation.Unavailable{Retryable: none.Retryable, RetryAfter: c.RetryAfter, Err: err}
}

// WithID returns the set with one more id; set is not changed.
func WithID(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k, v := range set {
		out[k] = v
	}
	out[id] = true
	return out
}

// Watcher puts attempts under the failure detector.
type Watcher struct {
	*health.Monitor
	Dir *directory.Directory
	// LeavingCode is the code of the refusal by which a backend server says that it
	// takes no more work.
	LeavingCode string
}

// Watch begins to watch one attempt.
func (w Watcher) Watch(id string, work health.Work, cancel context.CancelCauseFunc) generation.Watch {
	return w.Monitor.Watch(id, work, cancel)
}

// Result reports how an attempt began. Only a connection error counts against a
// backend server: a refusal shows that it is alive. One that refuses because it
// is leaving gets nothing more.
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
