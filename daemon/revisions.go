package daemon

import (
	"context"
	"math/rand/v2"

	"wigeondale/intent"
	"wigeondale/kvlog"
	"wigeondale/peer"
	"wigeondale/settings"
)

const (
	configPrefix  = "wigeondale/config/"
	floodRevision = "intent.revision"
	callRevisions = "intent.fetch"
	// watchersPerDomain is the number of routers of each failure domain that watch the
	// configuration log themselves. Each of these routers costs the key-value service one
	// open watch.
	watchersPerDomain = 2
)

func (n *node) buildConfig(set *settings.Settings) error {
	peers := revisionPeers{mesh: n.mesh, self: n.id}
	log := kvlog.New(n.kv, configPrefix, kvlog.Options{Events: n.log, Metrics: n.set})
	n.keeper = intent.NewKeeper(intent.Config{
		Node:       n.id,
		Log:        intent.NewLog(log),
		PeerClient: peers,
		IsWatcher:  func() bool { return peers.watches(set.Node.FailureDomain) },
		Random:     rand.Float64,
		Events:     n.log,
		Metrics:    n.set,
	})
	peers.register(n.keeper)
	return nil
}

type fetchRevisions struct {
	From uint64 `cbor:"1,keyasint"`
}

// revisionPeers exchanges configuration revisions with other routers.
type revisionPeers struct {
	mesh *peer.Mesh
	self string
}

// Peers returns the routers that seem alive.
func (s revisionPeers) Peers() []string {
	var ids []string
	for _, m := range s.mesh.Members() {
		if m.Alive && !m.Self {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Flood sends a revision to every reachable router. A router that misses it fetches it
// when a heartbeat names a newer revision.
func (s revisionPeers) Flood(r intent.Revision) {
	// If the revision is too large for a flood, the others fetch it.
	_ = s.mesh.Flood(floodRevision, r)
}

// FetchFrom requests the revision numbered from, and all later revisions, from another
// router.
func (s revisionPeers) FetchFrom(ctx context.Context, node string, from uint64) (intent.Batch, error) {
	return peer.Call[fetchRevisions, intent.Batch](ctx, s.mesh, node, callRevisions, fetchRevisions{From: from})
}

// register passes the revisions that other routers send, and their requests for revisions,
// to the keeper.
func (s revisionPeers) register(k *intent.Keeper) {
	peer.HandleFlood(s.mesh, floodRevision, k.HandleRevision)
	peer.HandleCall(s.mesh, callRevisions, func(_ context.Context, _ string, req fetchRevisions) (intent.Batch, error) {
		return k.BatchFrom(req.From)
	})
}

// watches reports whether this router watches the configuration log itself. Only a few
// routers of each failure domain watch it; all routers with the same view of the membership
// choose the same few.
func (s revisionPeers) watches(domain string) bool {
	var local []peer.Member
	for _, m := range aliveMembers(s.mesh.Members()) {
		if m.FailureDomain == domain {
			local = append(local, m)
		}
	}
	chosen := peer.Rendezvous("watch/"+domain, local, watchersPerDomain)
	return len(chosen) == 0 || peer.ContainsSelf(chosen)
}
