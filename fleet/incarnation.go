package fleet

import "strconv"

// Incarnation is one run of a backend server's process, from start to exit. A backend
// server may restart under the same name; the new process then has none of the state of
// the earlier process.
//
// If a name stood for all incarnations of a backend server, a generation would wait for a
// run that ended with the earlier process, routers would rely on copies that no longer
// exist, and a mark of leaving or a suspicion about the earlier process would keep a
// healthy backend server without work. So everything known of a backend server is recorded
// under ID, which consists of the name and the start time.
type Incarnation struct {
	Name      string // under which the backend server is addressed
	StartedAt int64  // Unix milliseconds of its start by its own clock; 0 when it does not report it
}

// ID returns an id that is unique to the incarnation. If the start time is unknown, the id is
// the name alone.
func (l Incarnation) ID() string {
	if l.StartedAt == 0 {
		return l.Name
	}
	return l.Name + "@" + strconv.FormatInt(l.StartedAt, 10)
}

// SameAs reports whether a backend server that reports the given start time is this
// incarnation. It returns true when either start time is unknown.
func (l Incarnation) SameAs(startedAt int64) bool {
	return l.StartedAt == 0 || startedAt == 0 || l.StartedAt == startedAt
}
