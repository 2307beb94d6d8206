package mirror

import (
	"time"
)

// Delta responds to a neighbour's request. The Delta is empty if this node has nothing
// newer, or has not received all items once itself.
func (m *Mirror) Delta(req DeltaRequest) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || m.state.newest <= req.After {
		return Delta{}
	}
	return m.state.delta(req).packed(req.Packs)
}

// Merge applies a neighbour's Delta, which was made for this node's Newest or an
// earlier revision. A Delta with Full set must contain the items of all pages. A Delta
// with RemovalsUnknown set contains no changes and is ignored.
func (m *Mirror) Merge(d Delta) {
	m.update(func() {
		before := m.state.newest
		m.state.merge(d, time.Now().Add(m.cfg.ConfirmAfter))
		m.synced = m.synced || d.Full
		m.behind = m.behind && m.state.newest == before
	})
}

// takeReturned calls Config.OnReturn if the store has come back from a copy since the last call.
func (m *Mirror) takeReturned() {
	m.mu.Lock()
	era, read := m.state.newest.Era(), m.state.readReturn
	var lost []Lost
	if read {
		lost = m.state.lost(m.cfg.OwnPrefix)
	}
	changed := m.started && era > m.era
	m.era, m.started, m.state.readReturn = max(m.era, era), m.started || m.synced, false
	m.mu.Unlock()
	if changed {
		m.cfg.OnReturn(lost)
	}
}

// confirmRemovals removes the items that were not written again before the end of their
// unconfirmed removal. When Config.ConfirmAfter has passed since the last outage,
// confirmRemovals also ends the special treatment of missing items: items that are missing
// from then on are removed at once.
func (m *Mirror) confirmRemovals(now time.Time) {
	m.update(func() {
		if !m.missingPolicy.until.IsZero() && !now.Before(m.missingPolicy.until) {
			m.missingPolicy = removalPolicy{}
		}
		m.state.confirmExpired(now)
		m.state.applyHeld(now)
	})
}
