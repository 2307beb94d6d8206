package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"wigeondale/event"
)

// These constants define intervals relative to the heartbeat interval.
const (
	ticksPerHeartbeat     = 4
	heartbeatsPerProbe    = 30 // heartbeats between dials of a random member without a link
	heartbeatsPerDeadDial = 8  // heartbeats between dials of a random dead member
)

// schedule holds the time of the last tick and the next due time of each periodic
// task.
type schedule struct {
	lastTick                                    time.Time
	heartbeat, sync, revisions, probe, dialDead time.Time
}

// due reports whether the time next has passed. If so, it advances next by the
// interval with jitter, so that nodes that started together do not act in step.
func due(now time.Time, next *time.Time, every time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = now.Add(every - every/8 + rand.N(every/4+1))
	return true
}

func (m *Mesh) tickUntil(ctx context.Context) {
	t := time.NewTicker(max(m.cfg.Heartbeat/ticksPerHeartbeat, time.Millisecond))
	defer t.Stop()
	s := &schedule{lastTick: time.Now()}
	s.probe = s.lastTick.Add(heartbeatsPerProbe * m.cfg.Heartbeat)
	for {
		m.tick(time.Now(), s)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-m.tickRequested:
		}
	}
}

func (m *Mesh) tick(now time.Time, s *schedule) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detectPause(now, s.lastTick)
	s.lastTick = now
	m.closeSilent(now)
	m.evaluateMembers(now)
	if m.neighboursOutdated {
		m.chooseNeighbours(now)
	}
	m.pushRecords()
	if due(now, &s.heartbeat, m.cfg.Heartbeat) {
		m.sendHeartbeats()
		m.closeIdle(now)
	}
	if due(now, &s.sync, m.cfg.SyncInterval) {
		m.sendDigest()
	}
	if due(now, &s.revisions, m.cfg.Heartbeat) {
		m.sendRevisions()
	}
	m.dialMissing(now)
	if due(now, &s.probe, heartbeatsPerProbe*m.cfg.Heartbeat) {
		m.probe(now)
	}
	if due(now, &s.dialDead, heartbeatsPerDeadDial*m.cfg.Heartbeat) {
		m.dialDead(now)
	}
}

// detectPause records a pause of this process if too much time has passed since the
// last tick. During the pause this node received nothing, so its timeouts start again
// from the end of the pause: the silence is no evidence against the other nodes.
func (m *Mesh) detectPause(now, lastTick time.Time) {
	gap := now.Sub(lastTick)
	if gap <= m.cfg.Policy.LinkTimeout/2 {
		return
	}
	m.pauseEnd = now
	m.log.Emit(event.PeerPaused, "for", gap.String())
}

// closeSilent closes the links on which nothing was received for the link timeout,
// because the remote node is paused or cut off, or the connection transports bytes in
// one direction only.
func (m *Mesh) closeSilent(now time.Time) {
	for _, l := range m.links {
		if now.Sub(latest(l.receivedAt(), m.pauseEnd)) > m.cfg.Policy.LinkTimeout {
			l.close(lostSilent)
		}
	}
}

func (m *Mesh) evaluateMembers(now time.Time) {
	for id, e := range m.table.byID {
		if id == m.cfg.ID {
			continue
		}
		ev := Evidence{
			Status:         e.rec.Status,
			StatusSince:    e.statusSince,
			Neighbour:      e.neighbour,
			NeighbourSince: e.neighbourSince,
			LastReceived:   e.lastReceived,
			PauseEnd:       m.pauseEnd,
		}
		if l, ok := m.links[id]; ok {
			ev.LastReceived = l.receivedAt()
		}
		m.applyDecision(now, e, Evaluate(now, ev, m.cfg.Policy))
	}
}

func (m *Mesh) applyDecision(now time.Time, e *entry, v Decision) {
	switch v {
	case MakeSuspect:
		m.suspect(now, e)
	case MakeDead:
		m.log.Emit(event.PeerDead, "peer", e.rec.ID, "incarnation", e.rec.Incarnation)
		m.recordStatus(now, e, Dead)
	case Forget:
		m.table.remove(e.rec.ID)
		m.neighboursOutdated = true
	}
}

func (m *Mesh) suspect(now time.Time, e *entry) {
	if e.rec.Status != Alive {
		return
	}
	m.log.Emit(event.PeerSuspected, "peer", e.rec.ID)
	m.recordStatus(now, e, Suspect)
}

// recordStatus stores the status that this node assigns to another node. A suspicion is
// also sent to the linked nodes with the changed records of the next push.
func (m *Mesh) recordStatus(now time.Time, e *entry, s Status) {
	r := e.rec
	r.Status = s
	m.table.merge(now, r)
	m.neighboursOutdated = true
	if s == Suspect {
		m.dirty[r.ID] = struct{}{}
	}
}

// chooseNeighbours chooses the neighbours again after a change of the membership, and
// signals the OnChange callbacks.
func (m *Mesh) chooseNeighbours(now time.Time) {
	m.neighboursOutdated = false
	peers := make([]Record, 0, len(m.table.byID))
	for id, e := range m.table.byID {
		if id != m.cfg.ID && e.rec.Status != Dead {
			peers = append(peers, e.rec)
		}
	}
	chosen := neighbours(m.self, peers, m.cfg.Topology)
	for id, e := range m.table.byID {
		if chosen[id] && !e.neighbour {
			e.neighbourSince = now
		}
		e.neighbour = chosen[id]
	}
	signal(m.membershipChanged)
}

// pushRecords sends the changed records to all linked nodes. Records that do not
// fit into one message are sent at the next tick or after a digest.
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
		return // cannot happen: the bodies of control messages are types of this package
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

// heartbeatFor returns the next heartbeat for the link. It includes a bounded
// number of demand entries that have not been sent over the link yet.
func (m *Mesh) heartbeatFor(l *link) heartbeat {
	h := heartbeat{Revision: m.table.byID[m.cfg.ID].revision}
	for account := range l.pendingDemand {
		if len(h.Demand) == maxDemandPerHeartbeat {
			break
		}
		if h.Demand == nil {
			h.Demand = make(map[string]float64)
		}
		h.Demand[account] = m.demand[account]
		delete(l.pendingDemand, account)
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

// sendRevisions sends a revision digest to a random linked node, unless every
// member is linked and reports its revision in its own heartbeats.
func (m *Mesh) sendRevisions() {
	ids, _ := m.table.live()
	if len(ids) <= len(m.links)+1 {
		return
	}
	if l := m.randomLink(); l != nil {
		l.sendBody(typeRevisions, m.table.buildRevisionDigest(false))
	}
}

// closeIdle closes the links that this node dialled for calls and no longer uses.
func (m *Mesh) closeIdle(now time.Time) {
	for _, l := range m.callLinks() {
		if now.Sub(time.Unix(0, l.lastUsed.Load())) > m.cfg.IdleTimeout {
			l.close(lostIdle)
		}
	}
}

// callLinks returns the links that this node dialled to nodes that are not its
// neighbours, ordered so that the link that has been unused for longest comes first.
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
