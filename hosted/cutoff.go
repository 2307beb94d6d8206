package hosted

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
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

const (
	floodCutOff = "hosted.cut-off"
	// cutOffInterval is how often a router that is cut off says so, and cutOffTTL how long it
	// counts as cut off after its last message.
	cutOffInterval = time.Second
	cutOffTTL      = 3 * cutOffInterval
)

// cutOffMessage names the services from which a router is cut off. A message without services ends
// the earlier ones.
type cutOffMessage struct {
	Services []string `cbor:"1,keyasint,omitempty"`
}

// cutOff combines what this router notices of its own links with what other routers say of theirs.
type cutOff struct {
	reach *reach.Monitor
	peers *peers
	mon   *health.Monitor
	log   *event.Log

	mu       sync.Mutex
	reported map[string]reportedCutOff // by router
	lastSent time.Time
}

type reportedCutOff struct {
	services []string
	at       time.Time
}

func newCutOff(n *node) *cutOff {
	c := &cutOff{peers: n.peers, mon: n.mon, log: n.log, reported: map[string]reportedCutOff{}}
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
	return c
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
			out = append(out, c.Backend)
		}
	}
	return out
}

// changed is called when this router is cut off from a service, and when that ends.
func (c *cutOff) changed(service string, off bool) {
	if off {
		c.mon.EndSilentStreams(service)
	} else {
		c.mon.Absolve(service)
	}
	c.send(time.Now())
}

// tick repeats that this router is cut off, and forgets the routers that no longer say so.
func (c *cutOff) tick(now time.Time) {
	c.mu.Lock()
	due := now.Sub(c.lastSent) >= cutOffInterval
	var ended []string
	for router, r := range c.reported {
		if now.Sub(r.at) > cutOffTTL {
			delete(c.reported, router)
			ended = append(ended, router)
		}
	}
	c.mu.Unlock()
	for _, router := range ended {
		c.log.Emit(event.PeerCutOffEnded, "peer", router, "reason", "not heard")
	}
	if due && c.reach.Any() {
		c.send(now)
	}
}

func (c *cutOff) send(now time.Time) {
	c.mu.Lock()
	c.lastSent = now
	c.mu.Unlock()
	if mesh := c.peers.currentMesh(); mesh != nil {
		// A lost message is repeated; a router that missed it answers that it takes no request.
		_ = mesh.Flood(floodCutOff, cutOffMessage{c.reach.CutOffServices()})
	}
}

// handle records what another router says of its links.
func (c *cutOff) handle(from string, m cutOffMessage) {
	c.mu.Lock()
	before, known := c.reported[from]
	if len(m.Services) == 0 {
		delete(c.reported, from)
	} else {
		c.reported[from] = reportedCutOff{m.Services, time.Now()}
	}
	c.mu.Unlock()
	switch {
	case len(m.Services) == 0 && known:
		c.log.Emit(event.PeerCutOffEnded, "peer", from, "reason", "reported")
	case !slices.Equal(before.services, m.Services):
		c.log.Emit(event.PeerCutOff, "peer", from, "services", strings.Join(m.Services, ","))
	}
}

// reports reports whether another router says that it is cut off from a service, or from any
// service if service is empty.
func (c *cutOff) reports(router, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reported[router]
	return ok && (service == "" || slices.Contains(r.services, service))
}

// routers returns the other routers that don't say that they are cut off from a service, and how
// many routers of this failure domain, with this one, are.
func (c *cutOff) routers(service string) (reaching []forward.Router, cutOffInDomain int) {
	mesh := c.peers.currentMesh()
	if mesh == nil {
		return nil, 1
	}
	for _, m := range mesh.Members() {
		switch {
		case m.Self:
			cutOffInDomain++
		case c.reports(m.ID, service):
			if m.FailureDomain == c.peers.set.Node.FailureDomain {
				cutOffInDomain++
			}
		case m.Alive && !m.Suspect && !m.Leaving:
			reaching = append(reaching, forward.Router{ID: m.ID, Addr: m.Addr, FailureDomain: m.FailureDomain})
		}
	}
	return reaching, cutOffInDomain
}

func (n *node) newForwarder() *forward.Forwarder {
	return forward.New(forward.Config{
		FailureDomain: n.set.Node.FailureDomain,
		CutOff:        n.cutOff.reach.CutOff,
		Routers:       n.cutOff.routers,
		Open: func(ctx context.Context, r forward.Router) (forward.Conn, error) {
			mesh := n.peers.currentMesh()
			if mesh == nil {
				return nil, Error.New("this router has no links")
			}
			return mesh.OpenStream(ctx, r.ID, r.Addr)
		},
		Version: n.tableVersion,
		Check:   n.checkForwarded,
		Log:     n.log,
		Set:     n.meter,
	})
}

// handleStream runs a request that another router passes on.
func (n *node) handleStream(ctx context.Context, s *peer.Stream) {
	n.forwarder.Serve(ctx, s.Node, s, n.runner)
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

// cutOffState is the part of the state dump about links to replicas.
type cutOffState struct {
	Services []reach.Report
	// Reported holds the services from which other routers say that they are cut off.
	Reported map[string][]string
	// PassedOn is the number of requests that other routers run for this one, by router.
	PassedOn map[string]int
}

func (c *cutOff) state(now time.Time, passedOn map[string]int) cutOffState {
	out := cutOffState{Services: c.reach.Reports(now), Reported: map[string][]string{}, PassedOn: passedOn}
	c.mu.Lock()
	defer c.mu.Unlock()
	for router, r := range c.reported {
		out.Reported[router] = r.services
	}
	return out
}
