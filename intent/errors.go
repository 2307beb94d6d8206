package intent

import (
	"errors"
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("intent")

var (
	// ErrUnavailable means that the log could not be reached and that this call
	// certainly changed nothing.
	ErrUnavailable = errors.New("configuration log unavailable; nothing was changed by this call")
	// ErrUnsettled means that it isn't known whether the plan was accepted. The same
	// plan may be confirmed again at any node; it takes effect once.
	ErrUnsettled = errors.New("not known whether the plan was accepted; confirm the same plan again")
	// ErrTruncated means that the log no longer has the entry, because a snapshot
	// replaced it.
	ErrTruncated = errors.New("log entry replaced by a snapshot")
	// ErrStaleSnapshot means that the log already has a snapshot of the same or a later
	// revision.
	ErrStaleSnapshot = errors.New("a snapshot as new is in place")
	// ErrGap means that the number of a revision isn't the state's revision plus 1, so the
	// revision can't be applied to the state.
	ErrGap = errors.New("revision doesn't follow the state")
	// ErrNotReady means that the node has no state that it may act on: it has loaded none,
	// has not confirmed the state since a start or pause, or has had no recent contact with
	// the service or a peer.
	ErrNotReady = errors.New("no confirmed state")
)

// Conflict states why one object of a plan can't be changed as planned.
type Conflict struct {
	Object   string `json:"object"`
	Revision uint64 `json:"revision,omitempty"` // revision that changed the object after the plan's base
	Reason   string `json:"reason"`
}

// ConflictError reports that a plan was refused and that nothing was changed.
type ConflictError struct {
	Base, Head uint64
	Conflicts  []Conflict
}

// Error returns the revisions and the list of conflicts.
func (e *ConflictError) Error() string {
	parts := make([]string, 0, len(e.Conflicts))
	for _, c := range e.Conflicts {
		parts = append(parts, c.Object+": "+c.Reason)
	}
	return fmt.Sprintf("plan made at revision %d conflicts at revision %d: %s", e.Base, e.Head, strings.Join(parts, "; "))
}

// InvalidError reports a change that is not valid in the state that the change applies to.
type InvalidError struct {
	Object string
	Reason string
}

// Error returns the object and the reason.
func (e *InvalidError) Error() string { return e.Object + ": " + e.Reason }
