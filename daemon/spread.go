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
	// watchersPerDomain is how many routers of each failure domain follow the
	// log themselves; each costs the key-value service one waiting watch.
	watchersPerDomain = 2
)

func (n *node) buildConfig(set *settings.Settings) error {
	carrier := spread{mesh: n.mesh, self: n.id}
	log := kvlog.New(n.kv, configPrefix, kvlog.Options{Events: n.log, Metrics: n.set})
	n.keeper = intent.NewKeeper(intent.Config{
		Node:       n.id,
		Log:        intent.NewLog(log),
		PeerClient: carrier,
		IsWatcher:  func() bool { return carrier.watches(set.Node.FailureDomain) },
		Random:     rand.Float64,
		Events:     n.log,
		Metrics:    n.set,
	})
	carrier.follow(n.keeper)
	return nil
}

type fetchRevisions struct {
	From uint64 `cbor:"1,keyasint"`
}

// spread carries revisions between routers.
type spread struct {
	mesh *peer.Mesh
	self string
}

// Peers names the routers that seem alive.
func (s spread) Peers() []string {
	var ids []string
	for _, m := range s.mesh.Members() {
		if m.Alive && !m.Self {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Flood sends a revision to every router that can be reached. What is missed is
// fetched later, when a heartbeat names a newer revision.
func (s spread) Flood(r intent.Revision) {
	// A revision too large for a flood reaches the others by fetching.
	_ = s.mesh.Flood(floodRevision, r)
}

// FetchFrom asks a router for what follows revision from-1.
func (s spread) FetchFrom(ctx context.Context, node string, from uint64) (intent.Batch, error) {
	return peer.Call[fetchRevisions, intent.Batch](ctx, s.mesh, node, callRevisions, fetchRevisions{From: from})
}

// follow hands what the other routers send to the keeper.
func (s spread) follow(k *intent.Keeper) {
	peer.HandleFlood(s.mesh, floodRevision, k.HandleRevision)
	peer.HandleCall(s.mesh, callRevisions, func(_ context.Context, _ string, req fetchRevisions) (intent.Batch, error) {
		return k.BatchFrom(req.From)
	})
}

// watches tells whether this router follows the log itself: a few of each
// failure domain do, chosen alike by all that see the same members.
func (s spread) watches(domain string) bool {
	var near []peer.Member
	for _, m := range living(s.mesh.Members()) {
		if m.FailureDomain == domain {
			near = append(near, m)
		}
	}
	chosen := peer.Rendezvous("watch/"+domain, near, watchersPerDomain)
	return len(chosen) == 0 || peer.ContainsSelf(chosen)
}
