package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"wigeondale/event"
)

// receive handles one message of a link. An error closes the link.
func (m *Mesh) receive(l *link, f frame) error {
	switch f.Type {
	case typeHeartbeat:
		return m.receiveHeartbeat(l, f)
	case typeRecords:
		return m.receiveRecords(l, f)
	case typeSync:
		return m.receiveSync(l, f)
	case typeRevisions:
		return m.receiveRevisions(l, f)
	case typeFlood:
		return m.receiveFlood(l, f)
	case typeCall:
		m.receiveCall(l, f)
	case typeReply:
		l.receiveReply(f)
	}
	return nil
}

func (m *Mesh) receiveHeartbeat(l *link, f frame) error {
	h, err := decodeBody(f, checkHeartbeat)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.table.byID[l.node]
	if !ok {
		return nil
	}
	e.revision = h.Revision
	if len(h.Demand) == 0 {
		return nil
	}
	if e.demand == nil {
		e.demand = make(map[string]float64, len(h.Demand))
	}
	for account, rate := range h.Demand {
		applyDemand(e.demand, account, rate)
	}
	return nil
}

func (m *Mesh) receiveRecords(l *link, f frame) error {
	b, err := decodeBody(f, checkRecords)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, r := range b.Records {
		changed = m.mergeRecord(r) || changed
	}
	// Request the rest only if this part changed the table. If this node does not store the
	// records of this part, the digests stay different, and two nodes would exchange the
	// same records again and again without a pause.
	if b.More && changed {
		l.sendBody(typeSync, m.digest(true))
	}
	return nil
}

// mergeRecord merges a received record into the table and reports whether the
// table changed. A record about this node is refuted instead if needed.
func (m *Mesh) mergeRecord(r Record) bool {
	if r.ID == m.cfg.ID {
		m.refuteIfNeeded(r)
		return false
	}
	before := Alive
	if e, ok := m.table.byID[r.ID]; ok {
		before = e.rec.Status
	}
	if !m.table.merge(time.Now(), r) {
		return false
	}
	m.markChanged(r.ID)
	if e := m.table.byID[r.ID]; e.rec.Status == Dead && before != Dead {
		m.log.Emit(event.PeerDead, "peer", r.ID, "incarnation", e.rec.Incarnation)
	}
	return true
}

// refuteIfNeeded refutes a received record about this node if the record is newer than
// the node's own record and the mesh is not stopping. A stopping node does not refute
// that it is dead.
func (m *Mesh) refuteIfNeeded(r Record) {
	if !m.running {
		return
	}
	self, needed := refute(m.self, r)
	if !needed {
		return
	}
	if r.Addr != m.self.Addr {
		m.log.Emit(event.PeerDuplicateID, "other", r.Addr, "own", m.self.Addr)
	}
	m.log.Emit(event.PeerRefuted, "status", r.Status.String(), "version", self.Version)
	m.self = self
	m.storeSelf()
}

// markChanged records that the record of a node has changed. At the next tick the
// record is sent to the linked nodes, the neighbours are chosen again, and the
// OnChange callbacks are signalled.
func (m *Mesh) markChanged(id string) {
	m.dirty[id] = struct{}{}
	m.neighboursOutdated = true
}

func (m *Mesh) digest(reply bool) syncDigest {
	return syncDigest{Buckets: m.table.buckets[:], Reply: reply}
}

func (m *Mesh) receiveSync(l *link, f frame) error {
	d, err := decodeBody(f, checkSync)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	records, more := m.table.differing(d.Buckets, rand.IntN(syncBuckets), maxSyncRecords)
	if len(records) > 0 {
		l.sendBody(typeRecords, recordBatch{Records: records, More: more})
	}
	// The remote node may have records in a bucket that is empty here.
	if !d.Reply && !slices.Equal(d.Buckets, m.table.buckets[:]) {
		l.sendBody(typeSync, m.digest(true))
	}
	return nil
}

func (m *Mesh) receiveRevisions(l *link, f frame) error {
	d, err := decodeBody(f, checkRevisions)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !d.Reply {
		l.sendBody(typeRevisions, m.table.buildRevisionDigest(true))
	}
	m.table.applyRevisions(d, m.cfg.ID)
	return nil
}
