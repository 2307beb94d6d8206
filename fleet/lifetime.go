package fleet

import "strconv"

// Incarnation is one start of a backend server. A backend server may start again under
// the name that it had; it then holds and knows nothing of before.
//
// What goes wrong when a name stands for all of its starts: a draft waits for a run
// that ended with the earlier start, copies are counted on that are gone, and a mark
// of leaving or a suspicion of before keeps a sound backend server without work. So
// whatever is known of a backend server is kept by ID, which has both parts.
type Incarnation struct {
	Name      string // under which the backend server is addressed
	StartedAt int64  // Unix milliseconds of its start by its own clock; 0 when it does not say
}

// ID is unique to the lifetime. It is the name alone where no start is known.
func (l Incarnation) ID() string {
	if l.StartedAt == 0 {
		return l.Name
	}
	return l.Name + "@" + strconv.FormatInt(l.StartedAt, 10)
}

// SameAs tells whether a backend server that says born of itself is in this lifetime.
// One of which either is unknown can't be told apart.
func (l Incarnation) SameAs(born int64) bool {
	return l.StartedAt == 0 || born == 0 || l.StartedAt == born
}
