package daemon

import (
	"errors"
	"net/http"
	"sync"

	"wigeondale/backend"
	"wigeondale/callerapi"
	"wigeondale/generation"
	"wigeondale/placement"
)

// triedSet records the backend servers to which a call was sent, possibly two at once,
// and the outcome.
//
// The set keeps the first error after which the call may have run. Without that error, if
// one backend server reads a call and disconnects and the next server can't be reached, the
// caller would get the last error, which says that the call did not run.
type triedSet struct {
	mu         sync.Mutex
	ids        map[string]bool
	mayHaveRun error // first error of a try that may have run
}

func (t *triedSet) recordError(err error) {
	if err == nil || errors.Is(err, backend.ErrNotSent) {
		return
	}
	if _, notSent := errors.AsType[*generation.Unavailable](err); notSent {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mayHaveRun == nil {
		t.mayHaveRun = err
	}
}

func (t *triedSet) failure(call callerapi.ServiceCall, last error) *callerapi.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mayHaveRun != nil {
		return lostFailure(call, t.mayHaveRun)
	}
	if unavailable, ok := errors.AsType[*generation.Unavailable](last); ok {
		return refusalFailure(http.StatusServiceUnavailable, unavailable)
	}
	return lostFailure(call, last)
}

func (t *triedSet) add(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids = placement.WithID(t.ids, id) // a copy, since the old map may be in use
}

func (t *triedSet) all() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ids
}

func (t *triedSet) len() int { return len(t.all()) }
