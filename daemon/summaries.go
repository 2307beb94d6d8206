package daemon

import (
	"context"
	"time"

	"wigeondale/admission"
	"wigeondale/intent"
	"wigeondale/peer"
)

const (
	// summaryInterval is how often the heartbeat's summary is renewed.
	summaryInterval = 250 * time.Millisecond
	// demandFloor is the demand in tokens/s below which an account is left out of
	// heartbeats.
	demandFloor = 0.5
)

// summaries exchanges what heartbeats carry: the revision in force, readiness
// and each client account's demand.
type summaries struct {
	mesh   *peer.Mesh
	keeper *intent.Keeper
	admit  *admission.Controller
	sent   map[string]float64
	heard  demands
}

// run renews the summary and takes in the others' until ctx ends.
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
		Demand:   s.changed(s.admit.Demand()),
	})
	members := s.mesh.Members()
	for _, m := range members {
		if !m.Self && m.Alive && !m.Suspect {
			s.keeper.RecordContact()
			s.keeper.HandlePeerRevision(m.ID, m.Summary.Revision)
		}
	}
	s.admit.SetPeerDemand(s.heard.take(members))
}

// demands is what each other router asked for when it was last heard.
//
// What goes wrong without it: the summary of a member ends with the link to
// it. As soon as links are cut, and before anyone is called dead, each part of
// the fleet would take the others' demand for nothing and give each client
// account its whole limit. It shows as accounts that get their limit from each part.
type demands map[string]map[string]float64

func (d demands) take(members []peer.Member) []admission.PeerDemand {
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

// changed keeps of the demand what differs from what was last told, by a tenth
// or more: heartbeats have to stay small with thousands of client accounts.
func (s *summaries) changed(now map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for account, demand := range now {
		if demand < demandFloor {
			continue
		}
		before := s.sent[account]
		if demand < 0.9*before || demand > 1.1*before {
			out[account] = demand
			s.sent[account] = demand
		}
	}
	for account := range s.sent {
		if now[account] < demandFloor {
			out[account] = 0
			delete(s.sent, account)
		}
	}
	return out
}
