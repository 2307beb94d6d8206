package hosted

import (
	"context"
	"strings"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/forward"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/peer"
	"wigeondale/platform"
	"wigeondale/quarantine"
	"wigeondale/reach"
)

// A router that is cut off from replicas passes the requests of its clients on to the others
// (package forward), tells them that it is cut off, and reports nothing of replicas: it can't tell
// which of them work.

// cutOff is what this router notices of its links to replicas, and what the others say of theirs.
type cutOff struct {
	reach *reach.Monitor
	*reach.Peers
	peers *peers
	mon   *health.Monitor
}

func newCutOff(n *node) *cutOff {
	c := &cutOff{peers: n.peers, mon: n.mon}
	prober := backend.Prober{Dial: n.dialReplica}
	c.reach = reach.New(reach.Config{
		ServiceOf: n.view.serviceAt,
		Backends:  n.replicasTakingWork,
		Probe: func(ctx context.Context, b fleet.Backend) bool {
			return prober.Probe(ctx, b) == quarantine.Working
		},
		OnChange: c.changed,
		Log:      n.log,
		Set:      n.meter,
	})
	c.Peers = reach.NewPeers(c.reach, c.broadcast, n.log)
	return c
}

func (c *cutOff) broadcast(m reach.Message) {
	if mesh := c.peers.currentMesh(); mesh != nil {
		// A lost message is repeated; a router that missed it answers that it takes no request.
		_ = mesh.Flood(reach.FloodCutOff, m)
	}
}

// serviceAt returns the id and the service of the replica that has an address.
func (v *view) serviceAt(addr string) (id, service string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.replicas[v.byAddr[addr]]
	return b.ID, b.Service, ok
}

// replicasTakingWork returns the replicas of a service that are not leaving.
func (n *node) replicasTakingWork(service string) []fleet.Backend {
	var out []fleet.Backend
	for _, c := range n.dir.Service(service) {
		if !n.dir.Leaving(c.Backend.ID) {
			out = append(out, *c.Backend)
		}
	}
	return out
}

// changed is called when this router is cut off from a service, and when that ends.
func (c *cutOff) changed(service string, off bool) {
	if off {
		c.mon.EndSilentStreams(service)
	} else {
		c.mon.ResetService(service)
	}
	c.Send(time.Now())
}

// routers returns the other routers that may take requests of a service, as forward.Candidates does.
func (c *cutOff) routers(service string) ([]forward.Router, int) {
	mesh := c.peers.currentMesh()
	if mesh == nil {
		return nil, 1
	}
	return forward.Candidates(mesh.Members(), c.peers.set.Node.FailureDomain, func(router string) bool {
		return c.CutOff(router, service)
	})
}

func (n *node) newForwarder() *forward.Forwarder {
	return forward.New(forward.Config{
		FailureDomain: n.set.Node.FailureDomain,
		CutOff:        n.cutOff.reach.CutOff,
		CheckCutOff:   n.cutOff.reach.CheckCutOff,
		Routers:       n.cutOff.routers,
		Open: func(ctx context.Context, r forward.Router) (forward.Conn, error) {
			mesh := n.peers.currentMesh()
			if mesh == nil {
				return nil, Error.New("this router has no links")
			}
			return mesh.OpenStream(ctx, r.ID, r.Addr)
		},
		Answers:    n.answers,
		TakenBytes: n.set.Limits.TakenBytes(),
		Version:    n.tableVersion,
		Check:      n.checkForwarded,
		Priority:   n.priorityOf,
		OneSoftware: func(service string) bool {
			return !n.software.several(service)
		},
		Log: n.log,
		Set: n.meter,
	})
}

// handleStream runs a request that another router passes on.
func (n *node) handleStream(ctx context.Context, s *peer.Stream) {
	n.forwarder.Serve(ctx, s.Node, s, n.runner)
}

func (n *node) priorityOf(service, route, account string) (int, bool) {
	t := n.table.Get()
	if t == nil {
		return 0, false
	}
	return t.LevelOf(service, route, account)
}

func (n *node) tableVersion() int64 {
	if t := n.table.Get(); t != nil {
		return t.Version
	}
	return 0
}

// checkForwarded returns an error if a request that another router passed on must not run by a
// newer configuration than the other router's. An older configuration decides nothing.
func (n *node) checkForwarded(req *generation.Request, version int64) error {
	t, o := n.table.Get(), req.Opaque
	if t == nil || o == nil {
		return Error.New("no configuration is known yet")
	}
	if t.Version <= version {
		return nil
	}
	path, _, _ := strings.Cut(o.Target, "?")
	rt, ok := t.Match(o.Host, path)
	if !ok || !rt.Allows(o.Service) {
		return Error.New("the route does not lead to the service")
	}
	account, known := t.Account(platform.RequestKey(o.Header))
	switch {
	case rt.Open, t.Keyless:
		return nil
	case !known || account.Name != req.Account:
		return Error.New("the key is not the account's")
	}
	return nil
}

func (c *cutOff) state(now time.Time, passedOn map[string]int) reach.State {
	return reach.State{Services: c.reach.Reports(now), Reported: c.Reported(), PassedOn: passedOn}
}
