package admission

import "time"

// PeerDemand is the demand of each client account that one other router observed, in tokens
// per second, as reported in that router's last heartbeat.
type PeerDemand struct {
	Node   string
	Demand map[string]float64
	// Unreachable is true while the peer is unreachable but still in the VM list: it may have
	// crashed, or may still run and only be unreachable from here. Peers that are known to
	// have been removed must be left out.
	Unreachable bool
}

// SetLimits replaces the limits of all client accounts. Requests of an account that is left out
// are refused from now on; its running requests continue.
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
		a.updateFraction(now, c.cfg.DemandHalfLife)
		next[id] = a
	}
	c.accounts = next
}

// SetPeerDemand replaces the demands of all other routers and recomputes this router's parts of
// the fleet-wide limits. Call it about once a second, and once before the router reports ready:
// until then the router assumes that it is the only one.
func (c *Controller) SetPeerDemand(peers []PeerDemand) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = newPeerDemands(peers)
	for _, a := range c.accounts {
		a.setPeers(c.peers)
		a.updateFraction(now, c.cfg.DemandHalfLife)
	}
}

// peerDemands holds the peers' demands. Peers that report no demand are only counted: in
// fleets that are too large for a full mesh of links nearly all peers report none, and looking
// up each of these peers for each client account would cost more than the rest of admission.
type peerDemands struct {
	peers                  []PeerDemand
	reachable, unreachable int // number of peers that report no demand
}

func newPeerDemands(peers []PeerDemand) peerDemands {
	var t peerDemands
	for _, p := range peers {
		switch {
		case len(p.Demand) > 0:
			t.peers = append(t.peers, p)
		case p.Unreachable:
			t.unreachable++
		default:
			t.reachable++
		}
	}
	return t
}

// setPeers sums up the demands of the peers for this account.
func (a *account) setPeers(t peerDemands) {
	a.reachable, a.unreachable = peerTotals{nodes: t.reachable}, peerTotals{nodes: t.unreachable}
	for _, p := range t.peers {
		if p.Unreachable {
			a.unreachable.add(p.Demand[a.id])
			continue
		}
		a.reachable.add(p.Demand[a.id])
	}
}

// Demand returns this router's observed demand per client account in tokens per second,
// including refused requests, for the heartbeats to peers. The demand is capped at the
// account's limit, since what an account requests beyond its limit must not increase this
// router's share. Demands close to zero are left out.
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
