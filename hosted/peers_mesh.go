package hosted

import (
	"context"
	"time"

	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/listen"
	"wigeondale/peer"
	"wigeondale/quarantine"
	"wigeondale/reach"
)

// run registers this node and maintains its links until ctx ends.
func (p *peers) run(ctx context.Context) error {
	go p.reg.run(ctx)
	select {
	case <-p.keyKnown:
	case <-ctx.Done():
		return nil
	}
	mesh, err := p.newMesh()
	if err != nil {
		return err
	}
	cfg := p.listener
	cfg.Name, cfg.Address, cfg.MaxConns = "peer", p.set.Hosted.PeerAddress, p.set.Limits.PeerConns()
	l, err := listen.New(cfg, mesh)
	if err != nil {
		return err
	}
	go func() {
		// Serve returns when the listener is closed, at the end of this function.
		if err := l.Serve(); err != nil && ctx.Err() == nil {
			p.log.Emit(event.PeerListenerFailed, "err", err)
		}
	}()
	defer l.Close()
	p.fullyLinked = mesh.IsFullMesh
	go p.broadcastLoop(ctx, func(m loadsMessage) {
		_ = mesh.SendToLinked(msgLoads, m) // a lost change is repeated with the next message that contains all loads
	}, func(now time.Time) {
		p.storeSync.tick(now)
		p.rollouts.tick(now)
		p.pressure.Tick(now)
		p.cutOff.Tick(now)
	})
	go p.order.run(ctx, mesh)
	return mesh.Run(ctx)
}

func (p *peers) newMesh() (*peer.Mesh, error) {
	mesh, err := peer.New(peer.Config{
		ID:            p.set.Node.ID,
		Addr:          p.set.Hosted.PeerAddress,
		FailureDomain: p.set.Node.FailureDomain,
		Heartbeat:     peerHeartbeat,
		DialTimeout:   peerDialTimeout,
		MaxBackoff:    peerMaxBackoff,
		StreamPool:    p.answers,
		MaxStreams:    p.set.Limits.PeerStreams(),
		MaxHandshakes: p.set.Limits.PeerHandshakes(),
		Dial:          backend.ProxyDial(p.set.Hosted.PeerProxyAddress),
		Topology:      peer.Topology{FullMeshLimit: p.set.Peers.FullMeshLimit, SameDomainLinks: p.set.Peers.SameDomainLinks, OtherDomainLinks: p.set.Peers.OtherDomainLinks},
	}, p.key, p.log, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	peer.HandleFlood(mesh, msgLoads, p.handleLoads)
	peer.HandleFlood(mesh, floodCrash, p.handleCrash)
	peer.HandleFlood(mesh, floodAnswers, p.handleAnswers)
	peer.HandleFlood(mesh, reach.FloodCutOff, p.cutOff.Handle)
	mesh.HandleStreams(p.handleStream)
	peer.HandleFlood(mesh, floodRemoved, func(_ string, m removedMessage) {
		p.pressure.MarkLeaving(m.Replica, time.Now())
		p.dir.MarkLeaving(m.Replica, "", directory.FromPeerReport)
	})
	peer.HandleFlood(mesh, floodAdopted, func(_ string, m adoptedMessage) { p.adopter.handleAdopted(m) })
	peer.HandleFlood(mesh, floodRollout, p.rollouts.handleReport)
	peer.HandleFlood(mesh, quarantine.FloodUpdate, p.guard.HandleUpdate)
	peer.HandleCall(mesh, quarantine.CallHolds, func(_ context.Context, _ string, req quarantine.HoldsRequest) (quarantine.Update, error) {
		return p.guard.CurrentHolds(req), nil
	})
	mesh.OnLink(func(node string) {
		p.guard.SyncHoldsFrom(node, func(ctx context.Context, from string, req quarantine.HoldsRequest) (quarantine.Update, error) {
			return callHolds(ctx, mesh, from, req)
		})
	})
	peer.HandleFlood(mesh, backpressure.FloodUpdate, func(from string, u backpressure.Update) { p.pressure.HandleUpdate(from, u, time.Now()) })
	p.storeSync.join(mesh)
	p.software.join(mesh)
	p.loans.join(mesh)
	p.order.join(mesh)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mesh = mesh
	p.updateSeeds()
	return mesh, nil
}

// state returns the part of the state dump about the other nodes.
func (p *peers) state() any {
	mesh := p.currentMesh()
	if mesh == nil {
		return nil
	}
	return mesh.Dump()
}
