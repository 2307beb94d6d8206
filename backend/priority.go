package backend

import "wigeondale/fleet"

// enginePriority is the number by which an engine orders its waiting requests:
// higher numbers first, equal numbers in order of arrival.
type enginePriority int

const (
	newBatch enginePriority = iota
	newInteractive
	resumedBatch
	resumedInteractive
)

// priorityOf ranks a resumed answer above all new requests.
//
// When the engines of a failure domain crash, their streams are resumed on the remaining
// engines, which have no free slot. Without this rank, the streams would queue there behind
// new generations and new short requests, and callers would see their answers stall for a
// second or more. Few streams are resumed on any one engine, so short requests wait only a
// little longer.
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
