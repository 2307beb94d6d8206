package backend

import "wigeondale/fleet"

// enginePriority is the number by which an engine orders the requests that wait
// there: the higher first, equal ones by arrival.
type enginePriority int

const (
	newBatch enginePriority = iota
	newInteractive
	resumedBatch
	resumedInteractive
)

// priorityOf puts an answer that goes on ahead of all new work.
//
// What goes wrong without it: the engines of a failure domain die, and their
// drafts queue at survivors that are full, behind new drafts and new lookups;
// their callers see answers that stand still for a second and more. The streams
// that are resumed at one engine are few, so that lookups wait little longer.
func priorityOf(r StartRequest) enginePriority {
	p := newBatch
	if r.Priority == fleet.Interactive {
		p = newInteractive
	}
	if r.Resume {
		p += resumedBatch
	}
	return p
}
