package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"wigeondale/clock"
	"wigeondale/fakes/proxy"
)

// peerProxySetting returns the setting of the proxy to the other routers, if there is one. Earlier builds refuse it.
func (n *node) peerProxySetting() string {
	if n.peerProxy == nil {
		return ""
	}
	return fmt.Sprintf("\n  \"peer_proxy_address\": %q,", n.peerProxy.Addr())
}

// peerCut cuts routers from the others while a version is released, and ends some of the others. In one of three cuts
// a router is cut from the store, too.
func (r *platformRun) peerCut(ctx context.Context, rng *rand.Rand) {
	side := r.drawPeerSide(rng)
	mode, modeName := proxy.Hanging, "hanging"
	if rng.IntN(3) == 0 {
		mode, modeName = proxy.Resetting, "resetting"
	}
	release, storeToo, ends := rng.IntN(4) > 0, rng.IntN(3) == 0, rng.IntN(3) > 0
	r.history.add(fmt.Sprintf("cut from their peers: %s, %s, version released %t, one cut from the store %t, others end %t", names(side), modeName, release, storeToo, ends))
	heal := r.cutFromPeers(mode, side)
	if storeToo {
		healPeers, healStore := heal, r.linkFault(side[0], "cut", "heal")
		heal = func() {
			healPeers()
			healStore()
		}
	}
	finish := func() {}
	if release && r.cfg.Software {
		if f := r.replaceSoftware(rng, r.drawSoftware(rng), max(r.cfg.Engines/2, releasedEngines)); f != nil {
			finish = f
		}
	}
	clock.Sleep(ctx, outOfStepTime(rng))
	if rng.IntN(2) == 0 {
		finish()
		finish = func() {}
	}
	if ends {
		endOthers(ctx, rng, r.processesExcept(side), heal)
	} else {
		heal()
	}
	finish()
}

// drawPeerSide draws the routers on one side of a cut: often one, at most half of them.
func (r *platformRun) drawPeerSide(rng *rand.Rand) (side []*node) {
	n := 1
	if rng.IntN(3) == 0 {
		n += rng.IntN(max(len(r.nodes)/2, 1))
	}
	for _, i := range rng.Perm(len(r.nodes))[:n] {
		side = append(side, r.nodes[i])
	}
	return side
}

// drawSoftware draws a new version, or one that serves.
func (r *platformRun) drawSoftware(rng *rand.Rand) string {
	if serving := r.replicasOf("llm"); len(serving) > 0 && rng.IntN(3) == 0 {
		return serving[rng.IntN(len(serving))].Version
	}
	return fmt.Sprint("p", rng.IntN(1e6))
}

// cutFromPeers cuts the links between the routers of one side and all others, whichever of the two dialled.
func (r *platformRun) cutFromPeers(mode proxy.Mode, side []*node) (heal func()) {
	within := map[string]bool{}
	for _, n := range side {
		within[n.peer] = true
	}
	var ends []func()
	for _, n := range r.nodes {
		own := within[n.peer]
		ends = append(ends, n.peerProxy.Cut(mode, func(addr string) bool { return within[addr] != own }))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// processesExcept returns the processes of all routers but some.
func (r *platformRun) processesExcept(some []*node) (others []*process) {
	for _, n := range r.nodes {
		if !slices.Contains(some, n) {
			others = append(others, &n.process)
		}
	}
	return others
}

func names(nodes []*node) (out []string) {
	for _, n := range nodes {
		out = append(out, n.id)
	}
	return out
}
