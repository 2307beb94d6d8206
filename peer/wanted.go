package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// dialWanted dials the neighbours and seeds that have no link.
func (m *Mesh) dialWanted(now time.Time) {
	known := map[string]bool{m.self.Addr: true}
	for id, e := range m.table.byID {
		if e.rec.Status != Dead {
			known[e.rec.Addr] = true
		}
		if e.neighbour && m.links[id] == nil && m.myTurn(now, e) {
			m.dialLater(now, e.rec.Addr, id, nil)
		}
	}
	m.dialSeeds(now, known)
	for addr, s := range m.dials {
		if !s.busy && now.Sub(s.next) > 2*m.cfg.MaxBackoff {
			delete(m.dials, addr)
		}
	}
}

// dialSeeds dials seeds at which no live member is known: several at once while
// this node is alone, then one at random each heartbeat, which joins islands
// that formed apart. The VM list may name the whole fleet: a starting node that
// dialled all of it would cost every node a handshake.
func (m *Mesh) dialSeeds(now time.Time, known map[string]bool) {
	if len(m.links) > 0 && !due(now, &m.seedDue, m.cfg.Heartbeat) {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(m.seeds), func(a string) bool { return known[a] })
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	limit := seedsAtOnce
	if len(m.links) > 0 {
		limit = 1
	}
	for _, addr := range unknown[:min(limit, len(unknown))] {
		m.dialLater(now, addr, "", nil)
	}
}

// myTurn lets the lower id dial first, so that the two ends of a link that both
// want seldom dial at once.
func (m *Mesh) myTurn(now time.Time, e *entry) bool {
	if m.cfg.ID < e.rec.ID {
		return true
	}
	return now.Sub(latest(e.wantedSince, e.lastHeard)) > 2*m.cfg.Heartbeat
}

// dialLater dials in the background unless the address is being dialled, waits
// for its backoff, or too many dials are under way. unreachable is called when
// nothing answers there; it may be nil.
func (m *Mesh) dialLater(now time.Time, addr, want string, unreachable func()) {
	s := m.dials[addr]
	if s == nil {
		s = &dialState{}
		m.dials[addr] = s
	}
	if s.busy || now.Before(s.next) || m.dialsBusy() >= maxDialsAtOnce {
		return
	}
	s.busy = true
	started := m.startLocked(func() {
		_, err := m.dial(m.life, addr, want)
		m.dialDone(s, err)
		if unreachable != nil && errors.Is(err, errUnreachable) {
			unreachable()
		}
	})
	if !started {
		s.busy = false
	}
}

func (m *Mesh) dialsBusy() int {
	n := 0
	for _, s := range m.dials {
		if s.busy {
			n++
		}
	}
	return n
}

func (m *Mesh) dialDone(s *dialState, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.busy = false
	if err == nil {
		s.delay = 0
	}
	s.backoff(time.Now(), m.cfg.Heartbeat/firstBackoffShare, m.cfg.MaxBackoff)
}

// probe dials a random member that has no link. A member that no one happens to
// have chosen as a neighbour would otherwise never be found dead.
func (m *Mesh) probe(now time.Time) {
	e := m.randomEntry(func(e *entry) bool {
		return e.rec.Status == Alive && m.links[e.rec.ID] == nil
	})
	if e == nil || len(m.callLinks()) >= m.cfg.MaxCallLinks {
		return
	}
	id, inc := e.rec.ID, e.rec.Incarnation
	m.dialLater(now, e.rec.Addr, id, func() { m.probeFailed(id, inc) })
}

func (m *Mesh) probeFailed(id string, inc uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.table.byID[id]
	if ok && e.rec.Incarnation == inc && m.links[id] == nil {
		m.suspect(time.Now(), e)
	}
}

// revive dials a random dead member: after a partition each side holds the
// other for dead, and nobody would ever dial again.
func (m *Mesh) revive(now time.Time) {
	e := m.randomEntry(func(e *entry) bool { return e.rec.Status == Dead })
	if e != nil {
		m.dialLater(now, e.rec.Addr, e.rec.ID, nil)
	}
}

func (m *Mesh) randomEntry(fits func(*entry) bool) *entry {
	var out *entry
	n := 0
	for id, e := range m.table.byID {
		if id == m.cfg.ID || !fits(e) {
			continue
		}
		n++
		if rand.IntN(n) == 0 {
			out = e
		}
	}
	return out
}

// route returns a link to a node for a call, dialling one if need be. Errors:
// ErrNoRoute, ErrStopped.
func (m *Mesh) route(ctx context.Context, node string) (*link, error) {
	m.mu.Lock()
	if !m.running {
		m.mu.Unlock()
		return nil, ErrStopped
	}
	if l, ok := m.links[node]; ok {
		m.mu.Unlock()
		return l, nil
	}
	e, ok := m.table.byID[node]
	if !ok || !m.makeRoom() {
		m.mu.Unlock()
		return nil, fmt.Errorf("%w %s", ErrNoRoute, node)
	}
	addr := e.rec.Addr
	m.mu.Unlock()
	return m.dial(ctx, addr, node)
}

// makeRoom keeps the links that were made for calls within their bound by
// ending the one that is longest unused and carries no call.
func (m *Mesh) makeRoom() bool {
	links := m.callLinks()
	if len(links) < m.cfg.MaxCallLinks {
		return true
	}
	for _, l := range links {
		l.mu.Lock()
		idle := len(l.calls) == 0
		l.mu.Unlock()
		if idle {
			l.close(lostIdle)
			return true
		}
	}
	return false
}
