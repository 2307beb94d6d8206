package daemon

import (
	"context"
	"sync"
	"time"

	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/forward"
	"wigeondale/peer"
	"wigeondale/quarantine"
	"wigeondale/reach"
)

// engineService is the name of all model engines together, for packages reach and forward.
const engineService = ""

// addrIndexTTL is how long the index of the engines' addresses is used.
const addrIndexTTL = time.Second

// engineAddrs finds engines by their addresses.
type engineAddrs struct {
	dir *directory.Directory

	mu     sync.Mutex
	byAddr map[string]string // id by address
	readAt time.Time
}

// serviceOf returns the id of the engine at an address.
func (e *engineAddrs) serviceOf(addr string) (id, service string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.Sub(e.readAt) > addrIndexTTL {
		e.readAt, e.byAddr = now, map[string]string{}
		for _, b := range e.engines(engineService) {
			e.byAddr[b.Addr] = b.ID
		}
	}
	id, ok = e.byAddr[addr]
	return id, engineService, ok
}

// engines returns the engines that are not leaving. All of them belong to engineService.
func (e *engineAddrs) engines(string) []fleet.Backend {
	var out []fleet.Backend
	for _, id := range e.dir.IDs() {
		if b, ok := e.dir.Backend(id); ok && b.Kind != fleet.Service && !e.dir.Leaving(id) {
			out = append(out, b)
		}
	}
	return out
}

// dialBackend returns what opens connections to backend servers; nil stands for a net.Dialer.
func (n *node) dialBackend() backend.DialFunc {
	return backend.ProxyDial(n.config.Node.BackendProxyAddress)
}

func (n *node) newProber() backend.Prober { return backend.Prober{Dial: n.dialBackend()} }

// buildCutOff creates what finds out whether this router is cut off from the engines, and passes
// generations on while it is.
func (n *node) buildCutOff() {
	addrs, prober := &engineAddrs{dir: n.dir}, n.newProber()
	n.reach = reach.New(reach.Config{
		ServiceOf: addrs.serviceOf,
		Backends:  addrs.engines,
		Probe: func(ctx context.Context, b fleet.Backend) bool {
			return prober.Probe(ctx, b) == quarantine.Working
		},
		OnChange: n.cutOffChanged,
		Log:      n.log,
		Set:      n.set,
	})
	n.engines.SetConnections(n.dialBackend(), n.reach)
	// A lost message is repeated; a router that missed it answers that it takes no request.
	n.reachPeers = reach.NewPeers(n.reach, func(m reach.Message) { _ = n.mesh.Flood(reach.FloodCutOff, m) }, n.log)
	peer.HandleFlood(n.mesh, reach.FloodCutOff, n.reachPeers.Handle)
	n.forwarder = forward.New(forward.Config{
		FailureDomain: n.config.Node.FailureDomain,
		CutOff:        n.reach.CutOff,
		CheckCutOff:   n.reach.CheckCutOff,
		Routers: func(service string) ([]forward.Router, int) {
			return forward.Candidates(n.mesh.Members(), n.config.Node.FailureDomain, func(router string) bool {
				return n.reachPeers.CutOff(router, service)
			})
		},
		Open: func(ctx context.Context, r forward.Router) (forward.Conn, error) {
			return n.mesh.OpenStream(ctx, r.ID, r.Addr)
		},
		Answers:    n.answers,
		TakenBytes: n.config.Limits.TakenBytes(),

		Log: n.log,
		Set: n.set,
	})
	n.mesh.HandleStreams(func(ctx context.Context, s *peer.Stream) { n.forwarder.Serve(ctx, s.Node, s, n.runner) })
}

func (n *node) reachState() reach.State {
	return reach.State{Services: n.reach.Reports(time.Now()), Reported: n.reachPeers.Reported(), PassedOn: n.forwarder.Open()}
}

func (n *node) cutOffChanged(service string, off bool) {
	if !off {
		n.mon.ResetAll()
	}
	n.reachPeers.Send(time.Now())
}

// tickCutOff does the regular work of the exchange with other routers until ctx ends.
func (n *node) tickCutOff(ctx context.Context) error {
	tick := time.NewTicker(pressureTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			n.reachPeers.Tick(now)
		}
	}
}

// cutOffProber finds out whether engines have exited. A link that is cut may refuse connections as the
// host of an exited process does. It implements quarantine.Prober.
type cutOffProber struct {
	backend.Prober
	reach *reach.Monitor
}

// Probe implements quarantine.Prober.
func (p cutOffProber) Probe(ctx context.Context, b fleet.Backend) quarantine.State {
	state := p.Prober.Probe(ctx, b)
	if state == quarantine.Exited && p.reach.CheckCutOff(ctx, engineService) {
		return quarantine.Unreachable
	}
	return state
}

// unlessCutOff calls report unless this router is cut off from the engines: the fault is in its own
// links then, and the other routers must not count it as a failure of the engines.
func (n *node) unlessCutOff(report func()) {
	n.reach.AfterCheck(engineService, func(cutOff bool) {
		if !cutOff {
			report()
		}
	})
}
