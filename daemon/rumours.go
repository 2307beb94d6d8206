package daemon

import (
	"context"
	"time"

	"wigeondale/admission"
	"wigeondale/directory"
	"wigeondale/health"
	"wigeondale/intent"
	"wigeondale/peer"
)

const (
	floodHealth  = "backend.health"
	floodLeaving = "backend.leaving"
	// summaryInterval is how often the heartbeat's summary is renewed.
	summaryInterval = 250 * time.Millisecond
	// demandFloor is the demand in tokens/s below which an account is left out of
	// heartbeats.
	demandFloor = 0.5
)

// rumour says something of one incarnation of a backend server.
type rumour struct {
	Backend     string            `cbor:"1,keyasint"`
	Incarnation string            `cbor:"2,keyasint"`
	Kind        health.RumourKind `cbor:"3,keyasint"`
}

// rumours spreads what this router learns of backend servers.
type rumours struct{ mesh *peer.Mesh }

func (r rumours) connect(mon *health.Monitor, dir *directory.Directory) {
	mon.OnChange = func(id, incarnation string, kind health.RumourKind) {
		// Not delivered means only that others find out for themselves.
		_ = r.mesh.Flood(floodHealth, rumour{id, incarnation, kind})
	}
	dir.OnLeaving = func(id, incarnation string, source directory.Source) {
		if source != directory.FromRumour {
			_ = r.mesh.Flood(floodLeaving, rumour{Backend: id, Incarnation: incarnation})
		}
	}
	peer.Handle(r.mesh, floodHealth, func(_ string, v rumour) { mon.Rumour(v.Backend, v.Incarnation, v.Kind) })
	peer.Handle(r.mesh, floodLeaving, func(_ string, v rumour) {
		dir.MarkLeaving(v.Backend, v.Incarnation, directory.FromRumour)
	})
}

// summaries exchanges what heartbeats carry: the revision in force, readiness
// and each client account's demand.
type summaries struct {
	mesh   *peer.Mesh
	keeper *intent.Keeper
	admit  *admission.Controller
	sent   map[string]float64
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
	var peers []admission.PeerDemand
	for _, m := range s.mesh.Members() {
		if m.Self {
			continue
		}
		if m.Alive && !m.Suspect {
			s.keeper.Heard()
			s.keeper.Behind(m.ID, m.Summary.Revision)
		}
		peers = append(peers, admission.PeerDemand{Node: m.ID, Demand: m.Summary.Demand, Lost: !m.Alive})
	}
	s.admit.SetPeerDemand(peers)
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
