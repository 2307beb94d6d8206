package waitorder

import (
	"cmp"
	"slices"
	"time"
)

// Next returns the message that is to be sent now over all links, or false if none is. links, which is
// called only if there may be something to send, returns the number of links, and whether all routers are
// linked to each other: then each receives each statement from its origin, and none is passed on.
func (t *Table) Next(now time.Time, links func() (count int, full bool)) (Message, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateLocal(now)
	t.forget(now)
	if m, _ := t.news(now, true); len(m.Entries) == 0 {
		return Message{}, false
	}
	count, full := links()
	m, slots := t.news(now, !full)
	cost := costOf(&m, count)
	if len(slots) == 0 || count == 0 || !t.budget.allows(now, cost) {
		return Message{}, false
	}
	t.budget.spend(now, cost)
	for _, s := range slots {
		s.markSent()
	}
	return m, true
}

// stateLocal makes the statements that are due about the requests that wait here. Where other
// routers have such requests too, a router doesn't state that it has none any more: another one
// would have to contradict it at once, and both messages would go to all routers.
func (t *Table) stateLocal(now time.Time) {
	for k, s := range t.states {
		w := &s.waits
		own := w.origin == t.cfg.Origin
		switch ripe := s.ripe(now, stateAfter) && t.reports(k.service, k.priority); {
		case ripe && (!w.waits(now) || now.Sub(w.at) >= t.refresh):
			t.state(w, entryWaits, s.first, now)
			t.refresh = refreshAfter + time.Duration(t.cfg.Rand()*float64(refreshSpread))
		case !ripe && own && w.waits(now) && !w.heardOthers(now):
			t.state(w, entryStopped, w.since, now)
		}
	}
}

// news returns the statements that are to be sent, those of the most urgent priorities first.
func (t *Table) news(now time.Time, passOn bool) (Message, []*slot) {
	var m Message
	var slots []*slot
	for _, k := range t.keys() {
		s := t.states[k]
		for _, sl := range []*slot{&s.waits, &s.turns} {
			if !sl.news(now) || (!passOn && sl.origin != t.cfg.Origin) || len(m.Entries) == maxEntries {
				continue
			}
			m.Entries = append(m.Entries, entryOf(k, sl, now))
			slots = append(slots, sl)
		}
	}
	return m, slots
}

func entryOf(k key, s *slot, now time.Time) Entry {
	return Entry{
		Service: k.service, Priority: uint8(k.priority), Kind: s.kind, Origin: s.origin, Stated: s.number,
		WaitedMS: msOf(s.at.Sub(s.since), maxWaitedMS),
		AgeMS:    msOf(now.Sub(s.at), uint32(Lifetime.Milliseconds())),
	}
}

func (t *Table) keys() []key {
	out := make([]key, 0, len(t.states))
	for k := range t.states {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.service, b.service))
	})
	return out
}

// forget drops what is known about priorities of which no statement has arrived and no request has waited for some time.
func (t *Table) forget(now time.Time) {
	for k, s := range t.states {
		last := s.lastGrant
		for _, at := range []time.Time{s.waits.at, s.turns.at, s.lastHeld} {
			if at.After(last) {
				last = at
			}
		}
		if s.first.IsZero() && now.Sub(last) > forgetOrigins {
			delete(t.states, k)
		}
	}
}

// Known is what is known about one priority of one service, for the state dump.
type Known struct {
	Service  string
	Priority int
	Here     bool  // the newest statement is this router's own
	Waits    bool  // a request waits
	WaitedMS int64 // for which the first request had waited when the statement was made
	AgeMS    int64
}

// Known returns the statements that count.
func (t *Table) Known(now time.Time) []Known {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Known
	for _, k := range t.keys() {
		w := &t.states[k].waits
		if w.live(now) {
			out = append(out, Known{k.service, k.priority, w.origin == t.cfg.Origin, w.waits(now), w.at.Sub(w.since).Milliseconds(), now.Sub(w.at).Milliseconds()})
		}
	}
	return out
}
