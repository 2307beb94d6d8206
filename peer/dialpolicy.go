package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// dialMissing dials the neighbours and seeds that have no link.
func (m *Mesh) dialMissing(now time.Time) {
	known := map[string]bool{m.self.Addr: true}
	for id, e := range m.table.byID {
		if e.rec.Status != Dead {
			known[e.rec.Addr] = true
		}
		if e.neighbour && m.links[id] == nil && m.mayDial(now, e) {
			m.dialAsync(now, e.rec.Addr, id, nil)
		}
	}
	m.dialSeeds(now, known)
	for addr, s := range m.dials {
		if !s.busy && now.Sub(s.next) > 2*m.cfg.MaxBackoff {
			delete(m.dials, addr)
		}
	}
}

// dialSeeds dials seeds whose address is not the address of a live member. While this
// node has no link, it dials several seeds at once. After that it dials one random seed
// per heartbeat, so that parts of the fleet that have started separately are joined.
// The VM list may name the whole fleet; if a starting node dialled all listed VMs,
// every node of the fleet would have to perform a handshake with it.
func (m *Mesh) dialSeeds(now time.Time, known map[string]bool) {
	if len(m.links) > 0 && !due(now, &m.nextSeedDial, m.cfg.Heartbeat) {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(m.seeds), func(a string) bool { return known[a] })
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	limit := maxConcurrentSeedDials
	if len(m.links) > 0 {
		limit = 1
	}
	for _, addr := range unknown[:min(limit, len(unknown))] {
		m.dialAsync(now, addr, "", nil)
	}
}

// mayDial reports whether this node may dial a neighbour now. The node with the lower
// id dials first, and the node with the higher id waits for two heartbeats, so that the
// two nodes rarely dial each other at the same time.
func (m *Mesh) mayDial(now time.Time, e *entry) bool {
	if m.cfg.ID < e.rec.ID {
		return true
	}
	return now.Sub(latest(e.neighbourSince, e.lastReceived)) > 2*m.cfg.Heartbeat
}

// dialAsync dials in the background unless the address is being dialled or in backoff,
// or too many dials are in progress. If there is no answer at the address, dialAsync
// calls unreachable, unless unreachable is nil.
func (m *Mesh) dialAsync(now time.Time, addr, wantID string, unreachable func()) {
	s := m.dials[addr]
	if s == nil {
		s = &dialState{}
		m.dials[addr] = s
	}
	if s.busy || now.Before(s.next) || m.dialsInProgress() >= maxConcurrentDials {
		return
	}
	s.busy = true
	started := m.startLocked(func() {
		_, err := m.dial(m.runCtx, addr, wantID)
		m.dialDone(s, err)
		if unreachable != nil && errors.Is(err, errUnreachable) {
			unreachable()
		}
	})
	if !started {
		s.busy = false
	}
}

func (m *Mesh) dialsInProgress() int {
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
	s.backoff(time.Now(), m.cfg.Heartbeat/initialBackoffDivisor, m.cfg.MaxBackoff)
}

// probe dials a random member that has no link. If there is no answer, the member
// becomes suspect. Without these probes, the crash of a member that no node has chosen
// as a neighbour would never be detected.
func (m *Mesh) probe(now time.Time) {
	e := m.randomEntry(func(e *entry) bool {
		return e.rec.Status == Alive && m.links[e.rec.ID] == nil
	})
	if e == nil || len(m.callLinks()) >= m.cfg.MaxCallLinks {
		return
	}
	id, incarnation := e.rec.ID, e.rec.Incarnation
	m.dialAsync(now, e.rec.Addr, id, func() { m.probeFailed(id, incarnation) })
}

func (m *Mesh) probeFailed(id string, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.table.byID[id]
	if ok && e.rec.Incarnation == incarnation && m.links[id] == nil {
		m.suspect(time.Now(), e)
	}
}

// dialDead dials a random dead member. After a partition the nodes on each side
// consider the nodes on the other side dead, and without these dials no node would dial
// the other side again.
func (m *Mesh) dialDead(now time.Time) {
	e := m.randomEntry(func(e *entry) bool { return e.rec.Status == Dead })
	if e != nil {
		m.dialAsync(now, e.rec.Addr, e.rec.ID, nil)
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

// linkTo returns a link to a node for a call and dials the node if needed. linkTo returns
// ErrNoRoute if it can't get a link to the node, and ErrStopped if the mesh is not
// running.
func (m *Mesh) linkTo(ctx context.Context, node string) (*link, error) {
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
	if !ok || !m.freeCallLink() {
		m.mu.Unlock()
		return nil, fmt.Errorf("%w %s", ErrNoRoute, node)
	}
	addr := e.rec.Addr
	m.mu.Unlock()
	return m.dial(ctx, addr, node)
}

// freeCallLink reports whether another link may be dialled for a call. If the limit on
// links dialled for calls is reached, freeCallLink closes the link that has been unused
// for longest among those on which no call waits for a reply. It returns false if calls
// wait on all of these links.
func (m *Mesh) freeCallLink() bool {
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
