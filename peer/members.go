package peer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Summary is the state that a node shares with the fleet.
type Summary struct {
	Revision uint64 // revision of the configuration in force
	Ready    bool
	// Demand is the demand in tokens per second, by client account. SetSummary expects
	// only the entries that changed; zero removes an entry. Members returns the demand
	// of this node and of linked nodes only: in a fleet above the full-mesh limit, the
	// demand of every client account at every node would not fit into the 3 KB/s of one
	// node.
	Demand map[string]float64
}

// Member is what this node knows about one node.
type Member struct {
	ID            string
	Addr          string // host:port of the peer listener
	FailureDomain string
	Incarnation   uint64
	Alive         bool // not dead; a suspect member counts as alive
	Suspect       bool
	Leaving       bool
	LeavingSince  time.Time // when this node learned that it is leaving; zero if it isn't
	Self          bool
	Linked        bool
	Summary       Summary // Revision may be outdated for members that are not linked
}

// Members returns every known node, including this one, ordered by id. Dead nodes
// are included, with Alive false, until their records are dropped.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.table.byID))
	for _, e := range m.table.byID {
		out = append(out, m.member(e))
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Other is another member, as far as it matters to callers that may be sent to it.
type Other struct {
	FailureDomain string
	Leaving       bool
	LeavingSince  time.Time // see Member
}

// Others returns the other members that are neither dead nor suspect, in any order. It is cheaper than Members.
func (m *Mesh) Others() []Other {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Other, 0, len(m.table.byID))
	for id, e := range m.table.byID {
		if id != m.cfg.ID && e.rec.Status == Alive {
			out = append(out, Other{FailureDomain: e.rec.FailureDomain, Leaving: e.rec.Leaving, LeavingSince: e.leavingSince})
		}
	}
	return out
}

// FailureDomainOf returns the failure domain of a known node.
func (m *Mesh) FailureDomainOf(id string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.table.byID[id]
	if !ok {
		return "", false
	}
	return e.rec.FailureDomain, true
}

// AliveMembers returns the number of members that are not dead, including this node.
func (m *Mesh) AliveMembers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids, _ := m.table.live()
	return len(ids)
}

func (m *Mesh) countAlive() float64 { return float64(m.AliveMembers()) }

// IsFullMesh reports whether the fleet has so few members that each member keeps links
// to all other members.
func (m *Mesh) IsFullMesh() bool { return m.AliveMembers() <= m.cfg.Topology.FullMeshLimit }

func (m *Mesh) member(e *entry) Member {
	r := e.rec
	_, linked := m.links[r.ID]
	out := Member{
		ID:            r.ID,
		Addr:          r.Addr,
		FailureDomain: r.FailureDomain,
		Incarnation:   r.Incarnation,
		Alive:         r.Status != Dead,
		Suspect:       r.Status == Suspect,
		Leaving:       r.Leaving,
		LeavingSince:  e.leavingSince,
		Self:          r.ID == m.cfg.ID,
		Linked:        linked,
		Summary:       Summary{Revision: e.revision, Ready: r.Ready, Demand: maps.Clone(e.demand)},
	}
	if out.Self {
		out.Summary.Demand = maps.Clone(m.demand)
	}
	return out
}

// SetSummary updates this node's summary. The next heartbeats send its revision and
// changed demand; if Ready changed, the next tick sends this node's record.
func (m *Mesh) SetSummary(s Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.byID[m.cfg.ID].revision = s.Revision
	for account, rate := range s.Demand {
		m.setDemand(account, rate)
	}
	if s.Ready != m.self.Ready {
		m.self.Ready = s.Ready
		m.publishSelf()
	}
}

func (m *Mesh) setDemand(account string, rate float64) {
	if len(account) > maxNameBytes {
		return
	}
	applyDemand(m.demand, account, rate)
	for _, l := range m.links {
		l.pendingDemand[account] = struct{}{}
	}
}

// applyDemand updates one entry of demand. It does not add an entry to a map that has
// reached its maximum size, because a faulty peer could otherwise fill the memory with
// account names.
func applyDemand(demand map[string]float64, account string, rate float64) {
	if rate == 0 {
		delete(demand, account)
		return
	}
	if _, known := demand[account]; !known && len(demand) >= maxDemandAccounts {
		return
	}
	demand[account] = rate
}

// SetLeaving announces to the fleet that this node is shutting down. The announcement
// cannot be undone within an incarnation.
func (m *Mesh) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.publishSelf()
}

// publishSelf increments the version of this node's record and makes the next tick send
// the record to the linked nodes.
func (m *Mesh) publishSelf() {
	m.self.Version++
	m.storeSelf()
}

func (m *Mesh) storeSelf() {
	m.table.merge(time.Now(), m.self)
	m.dirty[m.cfg.ID] = struct{}{}
	m.requestTick()
}

// linkDump is one link in the state dump.
type linkDump struct {
	Node        string
	Dialer      string
	HeardAgo    string
	QueuedBytes int64
}

// memberDump is one member in the state dump.
type memberDump struct {
	Member
	Status      string
	StatusSince time.Time
	Neighbour   bool
	Version     uint64
}

// meshDump is the state dump of a mesh.
type meshDump struct {
	Self    Record
	Members []memberDump
	Links   []linkDump
	Seeds   []string
}

// Dump returns the mesh's part of the process's state dump. It contains no
// secrets.
func (m *Mesh) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := meshDump{Self: m.self, Seeds: slices.Clone(m.seeds)}
	for _, e := range m.table.byID {
		d.Members = append(d.Members, memberDump{
			Member:      m.member(e),
			Status:      e.rec.Status.String(),
			StatusSince: e.statusSince,
			Neighbour:   e.neighbour,
			Version:     e.rec.Version,
		})
	}
	for _, l := range m.links {
		d.Links = append(d.Links, linkDump{
			Node:        l.node,
			Dialer:      l.dialer,
			HeardAgo:    time.Since(l.receivedAt()).Round(time.Millisecond).String(),
			QueuedBytes: l.queuedBytes.Load(),
		})
	}
	slices.SortFunc(d.Members, func(a, b memberDump) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Links, func(a, b linkDump) int { return cmp.Compare(a.Node, b.Node) })
	return d
}
