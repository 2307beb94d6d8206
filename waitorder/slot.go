package waitorder

import "time"

// Bounds of what a slot remembers of origins whose statements it has accepted.
const (
	maxOrigins    = 32
	forgetOrigins = 5 * time.Second
	// passOnFor is the age up to which a statement is passed on. The next one about the same
	// matter comes before an older one would have reached more routers.
	passOnFor = refreshAfter
)

// statement is a statement of this router or of another one, in this router's time.
type statement struct {
	origin uint32
	number uint64
	kind   uint8
	at     time.Time // when it was made
	since  time.Time // when the first request began to wait that waits, or did until the statement
}

// live reports whether the statement counts.
func (s *statement) live(now time.Time) bool { return !s.at.IsZero() && now.Sub(s.at) < Lifetime }

// waits reports whether the statement counts and says that a request waits.
func (s *statement) waits(now time.Time) bool { return s.kind == entryWaits && s.live(now) }

// holds reports whether less urgent requests yield because of the statement.
func (s *statement) holds(now time.Time) bool {
	return s.waits(now) || (s.kind == entryStopped && s.live(now) && now.Sub(s.at) < stopGrace)
}

// slot holds the newest statement about one matter.
type slot struct {
	statement
	sentAt time.Time // when the statement that this router sent or passed on last was made
	// changed reports that the statement says something else than the one before. It is
	// to be sent even if this router had not passed on the one before: others had.
	changed bool
	// accepted holds the number of the last accepted statement of each origin. A statement that
	// comes again, over another path or from a slow link, is neither counted nor passed on again.
	accepted map[uint32]acceptance
}

type acceptance struct {
	number uint64
	at     time.Time
}

// accept takes in a statement of another router, and reports whether it replaces the one that is held.
//
// A message's transit time isn't part of the age of its entries, so that a statement that comes
// over several links seems younger than it is. The copy with the greatest age is right.
func (s *slot) accept(e statement, now time.Time) bool {
	if s.origin == e.origin && s.number == e.number && e.at.Before(s.at) {
		s.at = e.at
	}
	if last, known := s.accepted[e.origin]; known && e.number <= last.number {
		return false
	}
	s.remember(e, now)
	if !e.live(now) || (s.live(now) && !e.at.After(s.at) && !s.objection(e)) {
		return false
	}
	if e.kind == entryStopped && s.waits(now) && s.origin != e.origin {
		return false // another router has stated since then that its requests wait
	}
	s.set(e, now)
	return true
}

// objection reports whether a statement contradicts a router that has stated the end of its own wait. It
// counts although it seems to be older by the difference of the messages' transit times.
func (s *slot) objection(e statement) bool {
	return s.kind == entryStopped && e.kind == entryWaits && e.origin != s.origin && s.at.Sub(e.at) < stopGrace
}

func (s *slot) set(e statement, now time.Time) {
	s.changed = s.changed || !s.live(now) || s.kind != e.kind
	s.statement = e
}

// heardOthers reports whether a statement of another router has come recently.
func (s *slot) heardOthers(now time.Time) bool {
	for _, a := range s.accepted {
		if now.Sub(a.at) < Lifetime {
			return true
		}
	}
	return false
}

func (s *slot) remember(e statement, now time.Time) {
	if s.accepted == nil {
		s.accepted = map[uint32]acceptance{}
	}
	s.accepted[e.origin] = acceptance{e.number, now}
	if len(s.accepted) <= maxOrigins {
		return
	}
	oldest, oldestAt := e.origin, now
	for origin, a := range s.accepted {
		if now.Sub(a.at) > forgetOrigins {
			delete(s.accepted, origin)
			continue
		}
		if a.at.Before(oldestAt) {
			oldest, oldestAt = origin, a.at
		}
	}
	if len(s.accepted) > maxOrigins {
		delete(s.accepted, oldest)
	}
}

// news reports whether the statement is to be passed on: it is recent, and says something else than
// the one sent last, or is so much newer that it is a refresh and not another router's
// statement of the same moment.
func (s *slot) news(now time.Time) bool {
	if s.at.IsZero() || now.Sub(s.at) >= passOnFor {
		return false
	}
	sinceSent := s.at.Sub(s.sentAt)
	if s.kind == entryTurn {
		return sinceSent >= turnAfter/2
	}
	return s.changed || sinceSent >= refreshAfter/2
}

func (s *slot) markSent() { s.sentAt, s.changed = s.at, false }
