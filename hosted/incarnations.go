package hosted

import (
	"slices"

	"wigeondale/fleet"
)

// incarnations decides which of two reports about a replica's name is newer.
//
// Reports arrive late and out of order: an old page of the store, an update from a neighbour,
// or a heartbeat that was in flight when the replica crashed. Start times don't show the order
// of reports, since the clock of a machine may be set back between two starts. So the rule is
// that the report received last counts; reports from the store are received in the order of
// their revisions. Exception: an incarnation that another incarnation has replaced never
// becomes current again, even if a late report names it.
type incarnations struct {
	current  map[string]fleet.Incarnation   // current incarnation by name
	replaced map[string][]fleet.Incarnation // replaced incarnations by name, the latest last
}

// maxReplaced is the number of replaced incarnations that are remembered for a name. No more
// are needed: the history of the store covers fewer than maxReplaced starts, so no report of
// an older incarnation arrives any more.
const maxReplaced = 16

func newIncarnations() incarnations {
	return incarnations{current: map[string]fleet.Incarnation{}, replaced: map[string][]fleet.Incarnation{}}
}

// relation is the relation of a reported incarnation to the current incarnation of the same
// name.
type relation uint8

const (
	firstSeen relation = iota // the name was not known
	unchanged                 // the current incarnation
	restarted                 // a later incarnation
	outdated                  // an earlier incarnation
)

// update records a reported incarnation. It returns the incarnation of the same name that was
// current before (the zero value if the name was not known), and how the reported incarnation
// relates to that one. An outdated incarnation does not become current.
func (l *incarnations) update(reported fleet.Incarnation) (before fleet.Incarnation, rel relation) {
	known, ok := l.current[reported.Name]
	switch {
	case !ok:
		l.current[reported.Name] = reported
		return known, firstSeen
	case known == reported:
		return known, unchanged
	case slices.Contains(l.replaced[reported.Name], reported):
		return known, outdated
	}
	l.current[reported.Name] = reported
	l.markReplaced(known)
	return known, restarted
}

func (l *incarnations) markReplaced(inc fleet.Incarnation) {
	kept := append(l.replaced[inc.Name], inc)
	if len(kept) > maxReplaced {
		kept = kept[len(kept)-maxReplaced:]
	}
	l.replaced[inc.Name] = kept
}

// get returns the current incarnation of a name, and false if the name is not known.
func (l *incarnations) get(name string) (fleet.Incarnation, bool) {
	inc, ok := l.current[name]
	return inc, ok
}

// forget drops a name whose entry was removed from the store, with all incarnations of the
// name.
func (l *incarnations) forget(name string) {
	delete(l.current, name)
	delete(l.replaced, name)
}
