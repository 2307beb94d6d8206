package daemon

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/bounded"
	"wigeondale/callerapi"
	"wigeondale/directory"
	"wigeondale/dump"
	"wigeondale/event"
	"wigeondale/forward"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/intent"
	"wigeondale/inventory"
	"wigeondale/listen"
	"wigeondale/once"
	"wigeondale/order"
	"wigeondale/peer"
	"wigeondale/quarantine"
	"wigeondale/reach"
	"wigeondale/reload"
	"wigeondale/settings"
)

// node is one wigeond with all its parts.
type node struct {
	id      string
	config  *settings.Settings
	log     *event.Log
	set     *metrics.Set
	dumps   *dump.Registry
	leaving atomic.Bool
	notice  time.Duration
	answers *bounded.Pool

	kv         infra.KV
	vmList     *infra.VMList
	sizes      *sizes
	weightRate int64

	mesh     *peer.Mesh
	keeper   *intent.Keeper
	claims   *once.Claims
	inv      *inventory.Inventory
	dir      *directory.Directory
	mon      *health.Monitor
	admit    *admission.Controller
	engines  *backend.Client
	cancels  *backend.Canceller
	runner   *generation.Runner
	callers  *callerapi.Server
	orders   *order.Executor
	poller   *directory.Poller
	drain    *drain
	guard    *quarantine.Guard
	pressure *backpressure.Tracker

	reach      *reach.Monitor
	reachPeers *reach.Peers
	forwarder  *forward.Forwarder

	summaries *summaries

	caller, admin, peers *listen.Server

	settings *reload.Tracker
}

// newNode builds the parts in the order of their dependencies.
func newNode(set *settings.Settings, log *event.Log) (*node, error) {
	n := &node{
		id:     set.Node.ID,
		config: set,
		log:    log,
		set:    metrics.NewSet(),
		dumps:  &dump.Registry{},
		notice: millis(set.Shutdown.BalancerNoticeMS),
	}
	n.settings = reload.New(set, reload.Config{Check: checkSettings, Log: log, Metrics: n.set})
	steps := []func(*settings.Settings) error{
		n.buildPlatform, n.buildMesh, n.buildConfig, n.buildInventory, n.buildBackends,
		n.buildClaims, n.buildCallers, n.buildOrders, n.buildListeners,
	}
	for _, step := range steps {
		if err := step(set); err != nil {
			n.closeListeners()
			return nil, Error.Wrap(err)
		}
	}
	n.addDumps(set)
	return n, nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (n *node) buildMesh(set *settings.Settings) error {
	addr := set.Listen.AdvertisePeer
	if addr == "" {
		addr = set.Listen.Peer.Address
	}
	tlsConfig, err := set.Listen.Peer.TLS.DialConfig()
	if err != nil {
		return err
	}
	n.answers = bounded.NewPool(set.Limits.AnswersBytes(), "answers", n.set)
	n.mesh, err = peer.New(peer.Config{
		ID:            set.Node.ID,
		Addr:          addr,
		FailureDomain: set.Node.FailureDomain,
		Seeds:         set.Peers.Seeds,
		TLS:           tlsConfig,
		Heartbeat:     millis(set.Peers.HeartbeatMS),
		StreamPool:    n.answers,
		MaxStreams:    set.Limits.PeerStreams(),
		MaxHandshakes: set.Limits.PeerHandshakes(),
		Topology: peer.Topology{
			FullMeshLimit:    set.Peers.FullMeshLimit,
			SameDomainLinks:  set.Peers.SameDomainLinks,
			OtherDomainLinks: set.Peers.OtherDomainLinks,
		},
	}, set.PeerKey(), n.log, n.set)
	return err
}

// parts returns the background loops that run until the process ends.
func (n *node) parts() []func(context.Context) error {
	return []func(context.Context) error{
		n.mesh.Run, n.keeper.Run, n.inv.Run, n.poller.Run, n.mon.Run, n.claims.Run, n.cancels.Run, n.orders.Run, n.summaries.run, n.syncHolds, n.tickPressure, n.reach.Run, n.tickCutOff, n.settings.Run,
	}
}

func (n *node) addDumps(set *settings.Settings) {
	n.dumps.Add("settings", func() any { return json.RawMessage(set.Printable()) })
	n.dumps.Add("settings_file", func() any { return n.settings.State() })
	n.dumps.Add("peers", n.mesh.Dump)
	n.dumps.Add("revision", func() any { return n.keeper.State().Revision })
	n.dumps.Add("inventory", n.inv.Dump)
	n.dumps.Add("backends", func() any { return n.dir.Dump() })
	n.dumps.Add("health", func() any { return n.mon.Dump() })
	n.dumps.Add("admission", func() any { return n.admit.Dump() })
	n.dumps.Add("callers", func() any { return n.callers.State() })
	n.dumps.Add("cancels_pending", func() any { return n.cancels.Pending() })
	n.dumps.Add("orders", n.orders.Dump)
	n.dumps.Add("claims", n.claims.Dump)
	n.dumps.Add("reach", func() any { return n.reachState() })
	n.dumps.Add("backpressure", func() any { return n.pressure.Reports(time.Now()) })
	n.dumps.Add("unknown_headers", func() any { return n.engines.Unknown.State() })
	n.dumps.Add("quarantine", func() any { return n.guard.List() })
	n.dumps.Add("quarantine_parts", func() any { return n.guard.ListParts() })
}
