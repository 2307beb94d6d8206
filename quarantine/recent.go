package quarantine

import "time"

// maxAnswers is the least number of requests whose latest answers are remembered: the time of
// the latest answer is kept for at least the maxAnswers requests that were answered last.
const maxAnswers = 1024

// answerTimes remembers when requests were last answered. It has two generations, current and
// previous, of at most limit entries each, so that its memory is bounded at any rate of
// answers. When current is full, the entries of previous are forgotten, current becomes
// previous, and a new current starts empty.
type answerTimes struct {
	limit             int
	current, previous map[Digest]time.Duration
}

func newAnswerTimes(limit int) *answerTimes {
	return &answerTimes{limit: limit, current: map[Digest]time.Duration{}}
}

func (r *answerTimes) add(d Digest, at time.Duration) {
	if before, ok := r.at(d); ok {
		at = max(at, before)
	}
	if _, ok := r.current[d]; !ok && len(r.current) >= r.limit {
		r.previous, r.current = r.current, make(map[Digest]time.Duration, r.limit)
	}
	r.current[d] = at
}

func (r *answerTimes) at(d Digest) (time.Duration, bool) {
	if at, ok := r.current[d]; ok {
		return at, true
	}
	at, ok := r.previous[d]
	return at, ok
}

// exitTimes remembers when backend servers exited. When it is full, each new entry replaces the
// oldest.
type exitTimes struct {
	at    map[string]time.Duration
	order []string
	next  int // index in order of the entry to be replaced next
}

// add records the exit of an incarnation and reports whether the exit was new.
func (e *exitTimes) add(incarnation string, at time.Duration) bool {
	if _, known := e.at[incarnation]; known {
		return false
	}
	e.at[incarnation] = at
	if len(e.order) < maxExits {
		e.order = append(e.order, incarnation)
		return true
	}
	delete(e.at, e.order[e.next])
	e.order[e.next] = incarnation
	e.next = (e.next + 1) % maxExits
	return true
}
