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

// triedSet records the backend servers to which a call was sent, possibly two at once, and
// the first error after which the call may have run.
//
// That error is kept for calls that are sent to several servers. Suppose that one server
// reads the call and disconnects, and that the next server can't be reached. The last error
// says that the call did not run. Without the first error, the caller would get this last
// one, although the first server may have run the call.
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
