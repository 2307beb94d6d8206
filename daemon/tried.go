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

// triedSet records the backend servers to which a call was sent, possibly two at once, and how many tries may have run it.
//
// A try may have run the call from before the call is sent until a proof that nothing was sent.
// Suppose that one server reads the call and disconnects, and that the next one can't be reached. The last error says that
// the call did not run, but the first server may have run it.
type triedSet struct {
	mu         sync.Mutex
	ids        map[string]bool
	mayHaveRun int // tries without a proof that nothing was sent
}

// sending records that the call is about to be sent to a backend server.
func (t *triedSet) sending(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids = placement.WithID(t.ids, id) // a copy, since the old map may be in use
	t.mayHaveRun++
}

// settle records the error of one try.
func (t *triedSet) settle(err error) {
	if !errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrBroken) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mayHaveRun--
}

// failure returns the answer to a call that no backend server has answered. last is the error of its last try.
func (t *triedSet) failure(call callerapi.ServiceCall, last error) *callerapi.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mayHaveRun > 0 {
		return lostFailure(call)
	}
	if unavailable, ok := errors.AsType[*generation.Unavailable](last); ok {
		return refusalFailure(http.StatusServiceUnavailable, unavailable)
	}
	return unreachableFailure()
}

func (t *triedSet) all() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ids
}

func (t *triedSet) len() int { return len(t.all()) }
