package admission

import "time"

// PeerDemand is what one other router observes of each client account's
// demand, in tokens per second, from its last heartbeat.
type PeerDemand struct {
	Node   string
	Demand map[string]float64
	// Unreachable is true while the peer is not heard but has not left the VM list: it
	// may be dead or cut off. Leave out a peer that is known to be gone.
	Unreachable bool
}

// SetLimits replaces the limits of all client accounts. An account that is
// left out is refused from now on; its requests under way go on.
func (c *Controller) SetLimits(limits map[string]Limit) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]*account, len(limits))
	for id, l := range limits {
		a := c.accounts[id]
		if a == nil {
			a = &account{id: id, limit: l, fraction: 1}
			a.setPeers(c.peers)
		}
		a.limit = l
		a.split(now, c.cfg.DemandHalfLife)
		next[id] = a
	}
	c.accounts = next
}

// SetPeerDemand replaces the demands of all other routers and splits the
// fleet-wide limits anew. Call it about once a second, and once before the
// router reports ready: until then it takes itself for the only one.
func (c *Controller) SetPeerDemand(peers []PeerDemand) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = newPeerDemands(peers)
	for _, a := range c.accounts {
		a.setPeers(c.peers)
		a.split(now, c.cfg.DemandHalfLife)
	}
}

// peerDemands holds the peers' demands, where those that report none are only
// counted. Above the full mesh these are nearly all, and to look each up for each client
// account costs more than all else of admission.
type peerDemands struct {
	peers       []PeerDemand
	heard, lost int // peers that report no demand
}

func newPeerDemands(peers []PeerDemand) peerDemands {
	var t peerDemands
	for _, p := range peers {
		switch {
		case len(p.Demand) > 0:
			t.peers = append(t.peers, p)
		case p.Unreachable:
			t.lost++
		default:
			t.heard++
		}
	}
	return t
}

// setPeers takes over what the peers ask for on this account.
func (a *account) setPeers(t peerDemands) {
	a.heard, a.lost = others{nodes: t.heard}, others{nodes: t.lost}
	for _, p := range t.peers {
		if p.Unreachable {
			a.lost.add(p.Demand[a.id])
			continue
		}
		a.heard.add(p.Demand[a.id])
	}
}

// Demand is this router's observed demand per client account in tokens per
// second, refused requests included, for the heartbeats to peers. It is capped
// at the limit: what an account asks beyond it must not draw a larger share.
func (c *Controller) Demand() map[string]float64 {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]float64, len(c.accounts))
	for id, a := range c.accounts {
		d := a.demand.perSecond(now, c.cfg.DemandHalfLife)
		if a.limit.TokensPerSecond > 0 {
			d = min(d, a.limit.TokensPerSecond)
		}
		if d >= 0.01 {
			out[id] = d
		}
	}
	return out
}
