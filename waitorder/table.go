package waitorder

import (
	"sync"
	"time"
)

// Config configures a Table.
type Config struct {
	// Origin is a random number of this process.
	Origin uint32
	// Least returns the least urgent priority of the requests of a service. The bool is false if
	// all of them have the same priority: then nothing is sent about the service, and no
	// request yields. Statements about services that the configuration doesn't name are ignored,
	// which bounds the table.
	Least func(service string) (int, bool)
	// Rand returns a random number in [0, 1).
	Rand func() float64
}

// Table is what a router knows of the requests that wait at all routers.
type Table struct {
	cfg Config

	mu      sync.Mutex
	number  uint64 // of this router's last statement
	states  map[key]*state
	budget  budget
	refresh time.Duration // refreshAfter with its random part, drawn for each statement
}

type key struct {
	service  string
	priority int
}

// state is what is known about one priority of one service.
type state struct {
	waits slot // entryWaits or entryStopped
	turns slot

	first     time.Time // when the first request that waits here began to wait; zero if none waits
	lastGrant time.Time

	// holdSince is when requests of this priority began to yield here; lastHeld is when one
	// yielded last, and turnAfter the time of yielding that entitles to a turn, from turnBase on.
	holdSince, lastHeld, turnBase time.Time
	turnAfter                     time.Duration
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, states: map[key]*state{}, refresh: refreshAfter}
}

func (t *Table) of(k key) *state {
	s := t.states[k]
	if s == nil {
		s = &state{}
		t.states[k] = s
	}
	return s
}

// reports reports whether routers tell each other about requests of a service and priority: others
// can be less urgent.
func (t *Table) reports(service string, priority int) bool {
	least, differ := t.cfg.Least(service)
	return differ && priority >= 0 && priority < least
}

// SetLocal records which requests wait at this router. It replaces what was recorded before.
func (t *Table) SetLocal(local []Waiting, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		s.first = time.Time{}
	}
	for _, w := range local {
		if w.Count > 0 && t.reports(w.Service, w.Priority) {
			t.of(key{w.Service, w.Priority}).first = now.Add(-w.Oldest)
		}
	}
}

// RecordGrant records that a request of this router was granted a slot; yielded reports that MayTake
// returned false, and the request left room for a more urgent one. It reports whether the priority had
// a turn or got a slot while it yielded: then no other router gives it one soon.
func (t *Table) RecordGrant(service string, priority int, started, yielded bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, differ := t.cfg.Least(service); !differ || started {
		return false
	}
	s := t.of(key{service, priority})
	s.lastGrant = now
	if !yielded && t.urgentWait(service, priority, now) < UrgentAfter {
		return false
	}
	t.state(&s.turns, entryTurn, now, now)
	return true
}

// UrgentWait returns how long the first more urgent request that is known has waited, at any router.
func (t *Table) UrgentWait(service string, priority int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.urgentWait(service, priority, now)
}

// state makes a statement of this router.
func (t *Table) state(s *slot, kind uint8, since, now time.Time) {
	t.number++
	s.set(statement{origin: t.cfg.Origin, number: t.number, kind: kind, at: now, since: since}, now)
}

// Merge takes in a message of another router, and reports whether it contains something that is to be
// passed on.
func (t *Table) Merge(m *Message, now time.Time) (bool, error) {
	if err := m.Validate(); err != nil {
		return false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	news := false
	for i := range m.Entries {
		e := &m.Entries[i]
		least, differ := t.cfg.Least(e.Service)
		if !differ || int(e.Priority) > least || e.Origin == t.cfg.Origin {
			continue
		}
		s := t.of(key{e.Service, int(e.Priority)})
		sl := &s.waits
		if e.Kind == entryTurn {
			sl = &s.turns
		}
		at := now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
		st := statement{origin: e.Origin, number: e.Stated, kind: e.Kind, at: at, since: at.Add(-time.Duration(e.WaitedMS) * time.Millisecond)}
		news = (sl.accept(st, now) && sl.news(now)) || news
	}
	return news, nil
}

// urgentWait returns how long the first known request that is more urgent has waited, here or elsewhere.
func (t *Table) urgentWait(service string, priority int, now time.Time) time.Duration {
	var longest time.Duration
	for p := range priority {
		s := t.states[key{service, p}]
		if s == nil {
			continue
		}
		if s.waits.holds(now) {
			longest = max(longest, now.Sub(s.waits.since))
		}
		if s.ripe(now, UrgentAfter) {
			longest = max(longest, now.Sub(s.first))
		}
	}
	return longest
}

// ripe reports whether a request has waited here for that long, and requests of its priority can use
// the capacity that others leave (see stuckAfter).
func (s *state) ripe(now time.Time, after time.Duration) bool {
	if s.first.IsZero() || now.Sub(s.first) < after {
		return false
	}
	progress := s.first
	if s.lastGrant.After(progress) {
		progress = s.lastGrant
	}
	return now.Sub(progress) < stuckAfter
}

// MayTake reports whether a request of this router may take a slot now; see the function MayTake.
func (t *Table) MayTake(service string, priority int, started bool, now time.Time) bool {
	may, _ := t.MayTakeInTurn(service, priority, started, now)
	return may
}

// MayTakeInTurn is MayTake. turn reports that more urgent requests wait, and the priority has a turn.
func (t *Table) MayTakeInTurn(service string, priority int, started bool, now time.Time) (may, turn bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, differ := t.cfg.Least(service); !differ || started {
		return true, false
	}
	urgent := t.urgentWait(service, priority, now)
	if urgent < UrgentAfter {
		return true, false
	}
	s := t.of(key{service, priority})
	turn = MayTake(Choice{UrgentWait: urgent, HeldFor: t.heldFor(s, now), TurnAfter: s.turnAfter})
	return turn, turn
}

// RecordWaiting records that a request waits, also one that is too far back in its queue to ask for a slot: if more urgent
// requests wait, its priority is held back from now on.
func (t *Table) RecordWaiting(service string, priority int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, differ := t.cfg.Least(service); differ && t.urgentWait(service, priority, now) >= UrgentAfter {
		t.heldFor(t.of(key{service, priority}), now)
	}
}

// heldFor records that a request asks for a slot and would have to yield, and returns Choice.HeldFor.
func (t *Table) heldFor(s *state, now time.Time) time.Duration {
	if now.Sub(s.lastHeld) > holdGap {
		s.holdSince = now
	}
	s.lastHeld = now
	base := s.holdSince
	if s.turns.at.After(base) {
		base = s.turns.at
	}
	if !base.Equal(s.turnBase) {
		s.turnBase = base
		s.turnAfter = turnAfter + time.Duration(t.cfg.Rand()*float64(turnSpread))
	}
	return now.Sub(base)
}
