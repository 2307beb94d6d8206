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

// triedSet is which backend servers were sent a call, perhaps two at once, and
// what came of it.
//
// What goes wrong without it: a backend server reads a call and breaks off, the
// next one can't be reached, and the caller is told by the last error alone
// that the call was not run. So an error after which it may have run stands.
type triedSet struct {
	mu  sync.Mutex
	ids map[string]bool
	ran error // the first error of a try that may have run
}

func (t *triedSet) note(err error) {
	if err == nil || errors.Is(err, backend.ErrNotSent) {
		return
	}
	if _, none := errors.AsType[*generation.Unavailable](err); none {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ran == nil {
		t.ran = err
	}
}

func (t *triedSet) failure(call callerapi.ServiceCall, last error) *callerapi.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ran != nil {
		return lost(call, t.ran)
	}
	if none, ok := errors.AsType[*generation.Unavailable](last); ok {
		return refusal(http.StatusServiceUnavailable, none)
	}
	return lost(call, last)
}

func (t *triedSet) add(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ids = placement.WithID(t.ids, id) // a copy: the old map may be in use
}

func (t *triedSet) all() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ids
}

func (t *triedSet) len() int { return len(t.all()) }
