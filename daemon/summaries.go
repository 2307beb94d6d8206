package daemon

import (
	"context"
	"time"

	"wigeondale/admission"
	"wigeondale/intent"
	"wigeondale/peer"
)

const (
	// summaryInterval is how often the summary in heartbeats is updated.
	summaryInterval = 250 * time.Millisecond
	// minDemand is the demand in tokens/s below which an account is left out of
	// heartbeats.
	minDemand = 0.5
)

// summaries exchanges the data that heartbeats carry between routers: the revision in
// force, readiness and the demand of each client account.
type summaries struct {
	mesh     *peer.Mesh
	keeper   *intent.Keeper
	admit    *admission.Controller
	sent     map[string]float64
	received demands
}

// run updates this router's summary every summaryInterval and applies the summaries of the
// peers, until ctx ends.
func (s *summaries) run(ctx context.Context) error {
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		s.exchange()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *summaries) exchange() {
	ready, _ := s.keeper.Ready()
	s.mesh.SetSummary(peer.Summary{
		Revision: s.keeper.State().Revision,
		Ready:    ready,
		Demand:   s.changedDemand(s.admit.Demand()),
	})
	members := s.mesh.Members()
	for _, m := range members {
		if !m.Self && m.Alive && !m.Suspect {
			s.keeper.RecordContact()
			s.keeper.HandlePeerRevision(m.ID, m.Summary.Revision)
		}
	}
	s.admit.SetPeerDemand(s.received.update(members))
}

// demands maps each peer to its last known demand for each client account.
//
// The last known demand is kept because a member's summary is empty as soon as the link to
// the member is down. Suppose that links fail and split the fleet into parts. Until routers
// are declared dead, each part would otherwise assume that the other parts have no demand,
// and each client account would get its whole limit from each part.
type demands map[string]map[string]float64

func (d demands) update(members []peer.Member) []admission.PeerDemand {
	var out []admission.PeerDemand
	listed := map[string]bool{}
	for _, m := range members {
		if m.Self {
			continue
		}
		listed[m.ID] = true
		if m.Linked {
			d[m.ID] = m.Summary.Demand
		}
		out = append(out, admission.PeerDemand{Node: m.ID, Demand: d[m.ID], Unreachable: !m.Linked})
	}
	for id := range d {
		if !listed[id] {
			delete(d, id)
		}
	}
	return out
}

// changedDemand returns the demands that differ from the last sent ones by a tenth or more,
// since heartbeats must stay small with thousands of client accounts.
func (s *summaries) changedDemand(now map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for account, demand := range now {
		if demand < minDemand {
			continue
		}
		before := s.sent[account]
		if demand < 0.9*before || demand > 1.1*before {
			out[account] = demand
			s.sent[account] = demand
		}
	}
	for account := range s.sent {
		if now[account] < minDemand {
			out[account] = 0
			delete(s.sent, account)
		}
	}
	return out
}
