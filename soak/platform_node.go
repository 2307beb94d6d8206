package soak

import (
	"fmt"
	"os"
	"time"

	fakes "wigeondale/fakes/hosted"
	"wigeondale/fakes/proxy"
	"wigeondale/fakes/relay"
)

// node is a router on the users' platform. It reaches the store through a relay of its own, which
// faults can cut.
type node struct {
	process
	front string
	link  *relay.Relay
	store *fakes.Endpoint // to which link leads
	proxy string          // to the replicas; empty without Config.Cuts
	peer  string          // address at which the other routers dial it
	// peerProxy is the proxy through which it dials the other routers; nil without Config.PeerCuts.
	peerProxy *proxy.Proxy
	// rewrite writes the settings again: the next start is not the deployment's first one. rewriteLocked is rewrite for callers that hold
	// the lock of the platform's settings, with Config.Settings.
	rewrite, rewriteLocked func() error
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
		peer:    peer,
		store:   r.store.NewEndpoint(),
	}
	n.link = relay.New(id, "127.0.0.1:0", n.store.Addr())
	if err := n.link.Start(); err != nil {
		return nil, Error.Wrap(err)
	}
	if n.proxy, err = r.cuts.newProxy(); err != nil {
		return nil, err
	}
	if r.cfg.PeerCuts {
		if n.peerProxy, err = proxy.Start(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return n, n.writeSettings(r, i, front, ready, stats)
}

// firstStart reports whether the settings say that the deployment starts for the first time.
func (c *Config) firstStart() bool { return c.OutOfStep || c.PeerCuts || c.Unnamed }

// wholeLog is the section "log" of the settings with which no lines are dropped: checkStops reads when a process began to stop.
const wholeLog = `{"lines_per_second": 1000000}`

// writeSettings writes the settings of the node's next process.
func (n *node) writeSettings(r *platformRun, i int, front, ready, stats string) error {
	n.rewrite = func() error { return n.writeSettings(r, i, front, ready, stats) }
	if r.settings != nil {
		n.rewriteLocked = func() error { return n.writeRendered(r, i, front, ready, stats) }
		r.settings.mu.Lock()
		defer r.settings.mu.Unlock()
		return n.rewriteLocked()
	}
	budget, grace, log := r.cfg.retryBudget(), 10*time.Second, "{}"
	if r.cfg.Stops {
		grace, log = stopGrace, wholeLog
	}
	text := fmt.Sprintf(`{"node": {"id": %q, "vm": %q, "failure_domain": "d%d", "region": "r", "backend_proxy_address": %q},
 "limits": %s, "log": %s, "shutdown": {"balancer_notice_ms": 300},
 "hosted": {"first_start": %t, "front_address": %q, "readiness_address": %q, "metrics_address": %q, "peer_address": %q,%s
  "store_address": %q, "grace_ms": %d, "retry_share": %v, "retry_burst": %v}}`, n.id, n.id, i%2, n.proxy, r.cfg.limits(), log, r.cfg.firstStart() && n.launches == 0, front, ready, stats, n.peer, n.peerProxySetting(), n.link.Addr(), grace.Milliseconds(), budget.share, budget.burst)
	return Error.Wrap(os.WriteFile(n.settingsPath(), []byte(text), 0o600))
}
