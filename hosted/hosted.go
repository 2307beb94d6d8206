// Package hosted wires one wigeond on the users' platform: routes, accounts and replicas come
// from the platform's store, requests are passed on without parsing their content, and nothing
// is stored on the machine's disk. Decisions are made in the other packages; package platform
// translates between the platform's formats and the formats of the other packages.
//
// The parts of the product's own interface (claims, plans, orders, cursors) are not created
// here, so they cost nothing.
package hosted

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/backpressure"
	"wigeondale/bounded"
	"wigeondale/cachelookup"
	"wigeondale/directory"
	"wigeondale/dump"
	"wigeondale/event"
	"wigeondale/forward"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/listen"
	"wigeondale/mirror"
	"wigeondale/placement"
	"wigeondale/platform"
	"wigeondale/quarantine"
	"wigeondale/relay"
	"wigeondale/reload"
	"wigeondale/replacement"
	"wigeondale/route"
	"wigeondale/routing"
	"wigeondale/settings"
	"wigeondale/signals"
	"wigeondale/stopping"
)

// Error is the class of this package's errors.
var Error = errs.Class("hosted")

// node is one wigeond on the platform.
type node struct {
	set   *settings.Settings
	log   *event.Log
	meter *metrics.Set

	settings *reload.Tracker

	dialReplica backend.DialFunc // nil: a net.Dialer

	leaving   atomic.Bool
	table     *route.Current
	dir       *directory.Directory
	mon       *health.Monitor
	view      *view
	peers     *peers
	storeSync *storeSync
	adopter   *adopter
	rollouts  *rollouts
	budgets   *budgets
	software  *software
	order     *waitOrder
	guard     *quarantine.Guard
	pressure  *backpressure.Tracker
	holds     *holds
	cases     *cases
	rewriter  *rewriter
	cutOff    *cutOff
	forwarder *forward.Forwarder
	runner    *generation.Runner
	stop      *stopping.Gate
	answers   *bounded.Pool
	dumps     dump.Registry
	mirror    *mirror.Mirror

	front, ready, stats *listen.Server
}

// Run runs one node: it serves requests until a signal from sigs tells it to stop, and then
// lets the open requests finish.
func Run(set *settings.Settings, sigs signals.Received, log *event.Log) error {
	n, err := newNode(set, log)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(n.run(sigs))
}

func newNode(set *settings.Settings, log *event.Log) (*node, error) {
	return newNodeWith(set, log, backend.ProxyDial(set.Node.BackendProxyAddress))
}

// newNodeWith returns a node that opens its connections to replicas with dial, or with a
// net.Dialer if dial is nil.
func newNodeWith(set *settings.Settings, log *event.Log, dial backend.DialFunc) (*node, error) {
	n := &node{
		dialReplica: dial,

		stop:  stopping.New(),
		set:   set,
		log:   log,
		meter: metrics.NewSet(),
		table: &route.Current{FirstStart: set.Hosted.FirstStart},
		dir:   directory.New(log),
	}
	n.settings = reload.New(set, reload.Config{Apply: n.applySettings, Log: log, Metrics: n.meter})
	n.mon = health.NewMonitor(policyOf(set.Hosted), log, n.meter)
	store := platform.NewStore(set.Hosted.StoreAddress)
	n.storeSync = newStoreSync(set.Node.ID, set.Node.FailureDomain, log)
	n.peers = newPeers(set, store, n.dir, n.mon, n.storeSync, log)
	n.stop.Others = n.otherRouters
	var err error
	if n.rollouts, err = newRollouts(set.Hosted, store, n.dir, n.mon, log, n.meter); err != nil {
		return nil, err
	}
	n.pressure = backpressure.New(backpressure.Config{
		Node: set.Node.ID, Nodes: n.peers.servingNodes, Broadcast: n.peers.broadcastPressure, Log: log, Set: n.meter,
		OnLeaving: func(id string) { n.dir.MarkLeaving(id, "", directory.FromAnswer) },
		Service:   n.serviceOf, Requests: n.dir.LocalRequests,
	})
	n.peers.pressure = n.pressure
	n.rollouts.connect(n.peers, n.storeSync)
	n.peers.rollouts = n.rollouts
	n.software = newSoftware(n, store)
	n.peers.software = n.software
	n.order = newWaitOrder(n.table, log, n.meter)
	n.peers.order = n.order
	n.holds, n.cases = newHolds(store, n.log), newCases(store, n.log)
	n.holds.rank, n.cases.rank = n.peers.rankFor, n.peers.rankFor
	n.view = newView(n.table, n.dir, n.mon, n.peers, n.rollouts, log)
	n.view.holds, n.view.cases = n.holds, n.cases
	n.view.software = n.software
	n.cutOff = newCutOff(n)
	n.order.cutOff = n.cutOff.reach.CutOff
	n.peers.cutOff, n.rollouts.prober = n.cutOff, n.newCrashProber(runQuerier{})
	n.view.planner = &planner{store: store, log: log, changed: func() { n.mirror.ReadFilter() }}
	n.mirror = mirror.New(store, n.view, mirror.Config{
		Parts: []string{ownPrefix, platform.OperatorPrefix, platform.ReplicaPrefix}, Bulk: platform.ReplicaPrefix,
		LargeFleet: listsLargeFleet, IsReader: n.storeSync.readsStore, ReadsBulk: n.storeSync.readsBulk,
		PeerPrefixes: []string{peerKeyKey, nodePrefix}, NeedsPeers: n.peers.needed,
		FilterKey: samplePlanKey, NewFilter: newSampleFilter, OnFullRead: n.view.planner.handleFullRead,
		InOrder:  n.view.setInOrder,
		OnUpdate: n.storeSync.copyChanged, OnReturn: n.storeReturned, OwnPrefix: ownPrefix,
		Newer: func(known, listed infra.Value) bool { return platform.Supersedes(listed, known) },
		Log:   log, Set: n.meter,
	})
	n.rewriter = &rewriter{store: store, log: log}
	n.peers.era = func() int64 { return n.mirror.Newest().Era() }
	n.storeSync.startRank = n.peers.startRank
	n.storeSync.expectedLinks = n.peers.expectedLinks
	n.storeSync.afterTick = func(now time.Time) { n.view.planner.look(now, n.view.replicasByService) }
	n.storeSync.mirror = n.mirror
	relay, err := n.newRelay()
	if err != nil {
		return nil, err
	}
	return n, n.listen(relay)
}

func (n *node) newRelay() (*relay.Relay, error) {
	n.answers = bounded.NewPool(n.set.Limits.AnswersBytes(), "answers", n.meter)
	n.peers.answers = n.answers
	replicas := platform.NewReplicas(n.dialReplica, newConnectionMeters(n.cutOff.reach, n.meter), backend.NewMisplaced(n.log, n.meter))
	replicas.Answers = n.answers
	replicas.OnLoad = n.view.recordLoad
	replicas.Gate = n.pressure
	replicas.Unknown = backend.NewUnknownHeaders(platform.AnswerHeaders, n.log, n.meter)
	n.dumps.Add("backpressure", func() any { return n.pressure.Reports(time.Now()) })
	n.dumps.Add("brittle", func() any { return n.pressure.BrittleReports(time.Now()) })
	n.dumps.Add("unknown_headers", func() any { return replicas.Unknown.State() })
	n.adopter = &adopter{view: n.view, storeSync: n.storeSync, finder: replacement.New(replicas), broadcast: n.peers.broadcastAdopted}
	n.peers.adopter = n.adopter
	queryRuns := runQuerier{n.dir, replicas}
	n.mon.RunQuerier = queryRuns
	n.guard = n.newGuard(queryRuns)
	n.holds.guard, n.cases.guard, n.peers.guard = n.guard, n.guard, n.guard
	finder := cachelookup.New(replicas, cachelookup.Config{Set: n.meter})
	queryLoads, err := newLoadQuerier(replicas, n.dir, n.meter)
	if err != nil {
		return nil, err
	}
	pick, err := newPicker(n.table, n.dir, n.mon, finder, queryLoads, n.log)
	if err != nil {
		return nil, err
	}
	pick.broadcastSoon = n.peers.broadcastSoon
	pick.rollouts = n.rollouts
	pick.software = n.software
	pick.order = n.order
	n.software.reports = replicas
	pick.pressure = n.pressure
	pick.onNoRoom = n.view.planner.enlarge
	pick.refusal = admission.RefusalPolicy(n.set.Hosted.Decisions.RefusalPolicy)
	n.connectOrder(pick)
	n.forwarder = n.newForwarder()
	engines, onStreamEnd := n.newSizing(pick, replicas)
	n.peers.handleStream = n.handleStream
	budgets := newBudgets(n.set.Hosted, n.peers.registeredNodes)
	budgets.loans = n.newLoans()
	n.budgets = budgets
	n.peers.loans = budgets.loans
	n.dumps.Add("retry_budgets", budgets.loans.state)
	n.runner, err = generation.New(generation.Deps{
		Admitter:   admitAll{},
		Picker:     pick,
		Stop:       n.stop,
		Watcher:    placement.Watcher{Monitor: n.mon, Dir: n.dir, LeavingCode: platform.CodeMisdirected},
		Engines:    observedEngines{engines, n.rollouts},
		Budget:     budgets,
		Copier:     replicas,
		RunQuerier: replicas,
		Guard:      n.guard,
		Forwarder:  n.forwarder,
		TakePlace:  func() (func(), bool) { return n.front.TakePlace() },

		StreamVersions: n.software,
	}, generation.Options{
		Node:                 n.set.Node.ID,
		StartedMaxWait:       startedMaxWait,
		RetryAfter:           refusedRetry,
		MaxTokenlessAttempts: maxFruitless,
		Rand:                 rand.Float64,
		Log:                  n.log,
		Metrics:              n.meter,
	})
	if err != nil {
		return nil, err
	}
	return relay.New(relay.Config{
		Table: n.table, RecordedAt: n.software.recordedAt, LearnMoves: n.software.learnMoves, Runner: n.runner, Stop: n.stop, Budgets: budgets, StreamMaxWait: pick.refusal.MaxWait, OnStreamEnd: onStreamEnd, Log: n.log, Set: n.meter,
	}), nil
}

// serviceOf returns the service of a replica, or "" if the replica is not known.
func (n *node) serviceOf(id string) string {
	b, _ := n.dir.Backend(id)
	return b.Service
}

// tableState returns the part of the state dump about the configuration in force.
func (n *node) tableState() any {
	t := n.table.Get()
	if t == nil {
		return nil
	}
	return struct {
		Version     int64
		RecentMoves int // of routes of streams, while streams of before may be taken up
	}{t.Version, n.table.RecentMoves()}
}

// readiness returns why this node accepts no new connections, or nil if it accepts them.
func (n *node) readiness() error {
	switch {
	case n.leaving.Load():
		return Error.New("shutting down")
	case n.table.Get() == nil:
		return Error.New("no configuration is known yet")
	case n.dir.Empty():
		return Error.New("no backend server is known yet")
	}
	return nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func newRouter(steps []routing.StepConfig) (*routing.Router, error) {
	return routing.New(steps, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
