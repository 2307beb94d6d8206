package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wigeondale/event"
)

// Intervals as shares or multiples of the heartbeat interval.
const (
	ticksPerBeat    = 4
	beatsPerProbe   = 30 // dial of a random member without a link
	beatsPerRevival = 8  // dial of a random dead member
)

// schedule holds when each periodic job is next due.
type schedule struct {
	last                               time.Time
	beat, sync, revisions, probe, dead time.Time
}

// due says whether the moment has come and sets the next, with jitter so that
// nodes started together spread out.
func due(now time.Time, next *time.Time, every time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(every - every/8 + rand.N(every/4+1))
	return true
}

func (m *Mesh) tickUntil(ctx context.Context) {
	t := time.NewTicker(max(m.cfg.Heartbeat/ticksPerBeat, time.Millisecond))
	defer t.Stop()
	s := &schedule{last: time.Now()}
	s.probe = s.last.Add(beatsPerProbe * m.cfg.Heartbeat)
	for {
		m.tick(time.Now(), s)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-m.kick:
		}
	}
}

func (m *Mesh) tick(now time.Time, s *schedule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notePause(now, s.last)
	s.last = now
	m.closeSilent(now)
	m.judgeAll(now)
	if m.rewire {
		m.chooseNeighbours(now)
	}
	m.pushRecords()
	if due(now, &s.beat, m.cfg.Heartbeat) {
		m.sendHeartbeats()
		m.closeIdle(now)
	}
	if due(now, &s.sync, m.cfg.SyncInterval) {
		m.sendDigest()
	}
	if due(now, &s.revisions, m.cfg.Heartbeat) {
		m.sendRevisions()
	}
	m.dialWanted(now)
	if due(now, &s.probe, beatsPerProbe*m.cfg.Heartbeat) {
		m.probe(now)
	}
	if due(now, &s.dead, beatsPerRevival*m.cfg.Heartbeat) {
		m.revive(now)
	}
}

// notePause notices that this process stood still: by the ticks that did not
// come. It then heard nobody, which says nothing about the others.
func (m *Mesh) notePause(now, last time.Time) {
	gap := now.Sub(last)
	if gap <= m.cfg.Policy.LinkTimeout/2 {
		return
	}
	m.pauseEnd = now
	m.log.Emit(event.PeerPaused, "for", gap.String())
}

// closeSilent ends links on which nothing came for the timeout: the other side
// is frozen, cut off, or the connection passes bytes in one direction only.
func (m *Mesh) closeSilent(now time.Time) {
	for _, l := range m.links {
		if now.Sub(latest(l.heard(), m.pauseEnd)) > m.cfg.Policy.LinkTimeout {
			l.close(lostSilent)
		}
	}
}

func (m *Mesh) judgeAll(now time.Time) {
	for id, e := range m.table.byID {
		if id == m.cfg.ID {
			continue
		}
		ev := Evidence{
			Status:         e.rec.Status,
			StatusSince:    e.statusSince,
			Neighbour:      e.neighbour,
			NeighbourSince: e.wantedSince,
			LastReceived:   e.lastHeard,
			PauseEnd:       m.pauseEnd,
		}
		if l, ok := m.links[id]; ok {
			ev.LastReceived = l.heard()
		}
		m.apply(now, e, Evaluate(now, ev, m.cfg.Policy))
	}
}

func (m *Mesh) apply(now time.Time, e *entry, v Decision) {
	switch v {
	case MakeSuspect:
		m.suspect(now, e)
	case MakeDead:
		m.log.Emit(event.PeerDead, "peer", e.rec.ID, "incarnation", e.rec.Incarnation)
		m.recordStatus(now, e, Dead)
	case Forget:
		m.table.drop(e.rec.ID)
		m.rewire = true
	}
}

func (m *Mesh) suspect(now time.Time, e *entry) {
	if e.rec.Status != Alive {
		return
	}
	m.log.Emit(event.PeerSuspected, "peer", e.rec.ID)
	m.recordStatus(now, e, Suspect)
}

// recordStatus stores the status that this node gives another one. A suspicion
// is also pushed to the neighbours.
func (m *Mesh) recordStatus(now time.Time, e *entry, s Status) {
	r := e.rec
	r.Status = s
	m.table.merge(now, r)
	m.rewire = true
	if s == Suspect {
		m.dirty[r.ID] = struct{}{}
	}
}

// chooseNeighbours follows a change of the membership.
func (m *Mesh) chooseNeighbours(now time.Time) {
	m.rewire = false
	others := make([]Record, 0, len(m.table.byID))
	for id, e := range m.table.byID {
		if id != m.cfg.ID && e.rec.Status != Dead {
			others = append(others, e.rec)
		}
	}
	chosen := neighbours(m.self, others, m.cfg.Topology)
	for id, e := range m.table.byID {
		if chosen[id] && !e.neighbour {
			e.wantedSince = now
		}
		e.neighbour = chosen[id]
	}
	signal(m.news)
}

// pushRecords sends the news of this tick to all neighbours. What does not fit
// waits for the next tick or for a digest.
func (m *Mesh) pushRecords() {
	if len(m.dirty) == 0 {
		return
	}
	var batch recordBatch
	for id := range m.dirty {
		if len(batch.Records) == maxSyncRecords {
			break
		}
		delete(m.dirty, id)
		if e, ok := m.table.byID[id]; ok {
			batch.Records = append(batch.Records, e.rec)
		}
	}
	m.sendAll(typeRecords, batch)
}

func (m *Mesh) sendAll(kind frameType, body any) {
	b, err := encodeFrame(frame{Type: kind}, body)
	if err != nil {
		return // bodies of control messages are our own types
	}
	for _, l := range m.links {
		l.send(kind, b)
	}
}

func (m *Mesh) sendHeartbeats() {
	for _, l := range m.links {
		l.sendBody(typeHeartbeat, m.heartbeatFor(l))
	}
}

// heartbeatFor takes a bounded part of the demand that the link has not seen.
func (m *Mesh) heartbeatFor(l *link) heartbeat {
	h := heartbeat{Revision: m.table.byID[m.cfg.ID].revision}
	for account := range l.pending {
		if len(h.Demand) == maxDemandPerBeat {
			break
		}
		if h.Demand == nil {
			h.Demand = make(map[string]float64)
		}
		h.Demand[account] = m.demand[account]
		delete(l.pending, account)
	}
	return h
}

func (m *Mesh) randomLink() *link {
	if len(m.links) == 0 {
		return nil
	}
	n := rand.IntN(len(m.links))
	for _, l := range m.links {
		if n == 0 {
			return l
		}
		n--
	}
	return nil
}

func (m *Mesh) sendDigest() {
	if l := m.randomLink(); l != nil {
		l.sendBody(typeSync, m.digest(false))
	}
}

// sendRevisions is left out where every member is heard directly.
func (m *Mesh) sendRevisions() {
	ids, _ := m.table.live()
	if len(ids) <= len(m.links)+1 {
		return
	}
	if l := m.randomLink(); l != nil {
		l.sendBody(typeRevisions, m.table.revisionDigestOf(false))
	}
}

// closeIdle ends links that this node dialled for a call and no longer uses.
func (m *Mesh) closeIdle(now time.Time) {
	for _, l := range m.callLinks() {
		if now.Sub(time.Unix(0, l.lastUsed.Load())) > m.cfg.IdleTimeout {
			l.close(lostIdle)
		}
	}
}

// callLinks returns the links that this node dialled and does not keep as a
// neighbour, longest unused first.
func (m *Mesh) callLinks() []*link {
	var out []*link
	for id, l := range m.links {
		e, ok := m.table.byID[id]
		if l.dialer == m.cfg.ID && !(ok && e.neighbour) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *link) int {
		return int(a.lastUsed.Load() - b.lastUsed.Load())
	})
	return out
}
