package peer

import (
	"time"
)

func (m *Mesh) existingLink(node string) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l, ok := m.links[node]; ok {
		return l, nil
	}
	return nil, Error.Wrap(errDuplicateLink)
}

// registerLink adds an authenticated link to the mesh. If a link to the same node exists,
// replaces decides which of the two links is kept.
func (m *Mesh) registerLink(l *link, rec Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.running {
		return Error.Wrap(ErrStopped)
	}
	if l.node == m.cfg.ID {
		return Error.Wrap(errDuplicateLink) // the seed is this node's own address
	}
	old, exists := m.links[l.node]
	if exists && !replaces(old, l, 2*m.cfg.Heartbeat) {
		m.metrics.linksLost[lostDuplicate].Inc()
		return Error.Wrap(errDuplicateLink)
	}
	if !exists && len(m.links) >= m.cfg.MaxLinks {
		m.metrics.rejected[rejectBusy].Inc()
		return Error.New("too many links: %d are open", len(m.links))
	}
	if exists {
		old.close(lostReplaced)
		m.linkClosed(old)
	}
	m.links[l.node] = l
	m.metrics.linksUp.Inc()
	m.initLink(l, rec)
	return nil
}

// replaces reports whether link l replaces the link old to the same node. Both nodes
// must keep the same link: if both dialled at the same time, they keep the link dialled
// by the node with the lower id. If the same node dialled both links, it has lost the
// old link, even if the old link still appears open at the other end, so the new link
// replaces the old one. Otherwise a half-open link would block the new link until the
// half-open link times out.
func replaces(old, l *link, silence time.Duration) bool {
	switch {
	case l.incarnation != old.incarnation:
		return l.incarnation > old.incarnation
	case l.dialer == old.dialer:
		return true
	case l.receivedAt().Sub(old.receivedAt()) > silence:
		return true
	}
	return l.dialer < old.dialer
}

// initLink sends the initial state over a new link and runs the callbacks
// registered with OnLink.
func (m *Mesh) initLink(l *link, rec Record) {
	m.mergeRecord(rec)
	for account := range m.demand {
		l.pendingDemand[account] = struct{}{}
	}
	l.sendBody(typeRecords, recordBatch{Records: m.initialRecords(rec.ID)})
	l.sendBody(typeSync, m.digest(false))
	l.sendBody(typeHeartbeat, m.heartbeatFor(l))
	for _, fn := range m.onLink {
		m.startLocked(func() { fn(l.node) })
	}
	m.requestTick()
}

// initialRecords returns this node's record and, if this node considers the
// remote node suspect or dead, the remote node's record, so that the remote node
// can refute it.
func (m *Mesh) initialRecords(node string) []Record {
	out := []Record{m.self}
	if e, ok := m.table.byID[node]; ok && e.rec.Status != Alive {
		out = append(out, e.rec)
	}
	return out
}
