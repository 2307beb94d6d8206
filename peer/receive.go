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
		changed = m.learn(r) || changed
	}
	// Ask for the rest only when this part was news: records that this node
	// does not keep would otherwise go round at the speed of the network.
	if b.More && changed {
		l.sendBody(typeSync, m.digest(true))
	}
	return nil
}

// learn merges one record, or refutes it if it is a rumour about this node.
func (m *Mesh) learn(r Record) bool {
	if r.ID == m.cfg.ID {
		m.hearOfSelf(r)
		return false
	}
	before := Alive
	if e, ok := m.table.byID[r.ID]; ok {
		before = e.rec.Status
	}
	if !m.table.merge(time.Now(), r) {
		return false
	}
	m.changed(r.ID)
	if e := m.table.byID[r.ID]; e.rec.Status == Dead && before != Dead {
		m.log.Emit(event.PeerDead, "peer", r.ID, "incarnation", e.rec.Incarnation)
	}
	return true
}

func (m *Mesh) hearOfSelf(r Record) {
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

// changed notes that a record is news: it is pushed, the neighbours are chosen
// anew, and OnChange fires, all at the next tick.
func (m *Mesh) changed(id string) {
	m.dirty[id] = struct{}{}
	m.rewire = true
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
	// The other side may hold records of a bucket that is empty here.
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
		l.sendBody(typeRevisions, m.table.revisionDigestOf(true))
	}
	m.table.applyRevisions(d, m.cfg.ID)
	return nil
}
