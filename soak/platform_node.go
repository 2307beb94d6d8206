package soak

import (
	"fmt"
	"os"

	"wigeondale/fakes/relay"
)

// node is a router on the users' platform. It reaches the store through a relay of its own, which
// faults can cut.
type node struct {
	process
	front string
	link  *relay.Relay
	proxy string // to the replicas; empty without Config.Cuts
}

func newNode(r *platformRun, i int) (*node, error) {
	id := fmt.Sprintf("n%d", i)
	var front, ready, stats, peer string
	err := reserveAddrs(&front, &ready, &stats, &peer)
	if err != nil {
		return nil, err
	}
	n := &node{
		process: process{id: id, cfg: &r.cfg, checks: r.checks, ready: "http://" + ready + "/readyz"},
		front:   front,
		link:    relay.New(id, "127.0.0.1:0", r.store.Addr()),
	}
	if err := n.link.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	if n.proxy, err = r.cuts.newProxy(); err != nil {
		return nil, err
	}
	budget := r.cfg.retryBudget()
	text := fmt.Sprintf(`{"node": {"id": %q, "vm": %q, "failure_domain": "d%d", "region": "r", "backend_proxy_address": %q},
 "shutdown": {"balancer_notice_ms": 300},
 "hosted": {"front_address": %q, "readiness_address": %q, "metrics_address": %q, "peer_address": %q,
  "store_address": %q, "grace_ms": 10000, "retry_share": %v, "retry_burst": %v}}`, id, id, i%2, n.proxy, front, ready, stats, peer, n.link.Addr(), budget.share, budget.burst)
	return n, Error.Wrap(os.WriteFile(n.settingsPath(), []byte(text), 0o600))
}
