package quarantine

import "time"

// lifts remembers when holds were lifted, so that a report of a hold that began before doesn't restore it. When it
// is full, each new entry replaces the oldest.
type lifts struct {
	at    map[Digest]time.Duration
	order []Digest
	next  int // index in order of the entry to be replaced next
}

func (l *lifts) add(d Digest, at time.Duration) {
	before, known := l.at[d]
	if !known {
		l.keep(d)
	}
	l.at[d] = max(at, before)
}

func (l *lifts) keep(d Digest) {
	if len(l.order) < maxSuspects {
		l.order = append(l.order, d)
		return
	}
	delete(l.at, l.order[l.next])
	l.order[l.next] = d
	l.next = (l.next + 1) % maxSuspects
}

// covers reports whether a hold that began at the time began was lifted later.
func (l *lifts) covers(d Digest, began time.Duration) bool {
	at, known := l.at[d]
	return known && began <= at
}
