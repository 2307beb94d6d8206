package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/callerapi"
	"wigeondale/cursor"
	"wigeondale/directory"
	"wigeondale/dump"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/hedge"
	"wigeondale/intent"
	"wigeondale/inventory"
	"wigeondale/kvlog"
	"wigeondale/listen"
	"wigeondale/once"
	"wigeondale/order"
	"wigeondale/peer"
	"wigeondale/platform"
	"wigeondale/routing"
	"wigeondale/settings"
)

const (
	configPrefix = "wigeondale/config/"
	claimsPrefix = "wigeondale/claims/"
	orderPrefix  = "wigeondale/orders/"
	vmsPath      = "/vms"
	// perService is how many calls this router has open at one replica of a
	// plain service before new ones queue here, where deadlines are known.
	perService = 64
	// adminWrite bounds one answer of the admin and peer listeners.
	adminWrite = time.Minute
	// retryBurst is how many retries the budget holds when it is full.
	retryBurst = 20
	// hedgeBurst is how many second tries their budget holds when it is full.
	hedgeBurst = 10
)

// node is one wigeond with all its parts.
type node struct {
	id      string
	log     *event.Log
	set     *metrics.Set
	dumps   *dump.Registry
	leaving atomic.Bool
	notice  time.Duration

	kv         platform.KV
	vmList     *platform.VMList
	sizes      *sizes
	weightRate int64

	mesh    *peer.Mesh
	keeper  *intent.Keeper
	claims  *once.Claims
	inv     *inventory.Inventory
	dir     *directory.Directory
	mon     *health.Monitor
	admit   *admission.Controller
	engines *backend.Client
	cancels *backend.Canceller
	runner  *generation.Runner
	callers *callerapi.Server
	orders  *order.Executor
	poller  *directory.Poller
	drain   *drain
	share   *summaries

	caller, admin, peers *listen.Server
}

// Ready says why this node may not take new work. It is callerapi's gate.
func (n *node) Ready() error {
	if n.drain.closed(time.Now()) {
		return Error.New("this VM is leaving")
	}
	if ok, reason := n.keeper.Ready(); !ok {
		return Error.New("configuration: %s", reason)
	}
	if len(n.dir.IDs()) == 0 {
		return Error.New("no backend server is known yet")
	}
	return nil
}

func newNode(set *settings.Settings, log *event.Log) (*node, error) {
	n := &node{
		id:     set.Node.ID,
		log:    log,
		set:    metrics.NewSet(),
		dumps:  &dump.Registry{},
		notice: millis(set.Shutdown.BalancerNoticeMS),
	}
	steps := []func(*settings.Settings) error{
		n.buildPlatform, n.buildMesh, n.buildConfig, n.buildInventory, n.buildBackends,
		n.buildClaims, n.buildCallers, n.buildOrders, n.buildListeners,
	}
	for _, step := range steps {
		if err := step(set); err != nil {
			n.closeListeners()
			return nil, err
		}
	}
	n.addDumps(set)
	return n, nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (n *node) buildPlatform(set *settings.Settings) error {
	timeout := millis(set.Platform.CallTimeoutMS)
	n.kv = platform.NewEtcdKV(platform.KVConfig{URL: set.Platform.KVURL, Timeout: timeout}, n.set)
	n.vmList = platform.NewVMList(set.Platform.VMsURL+vmsPath, timeout, n.set)
	n.weightRate = set.Platform.WeightsBytesPerSecond
	n.sizes = newSizes(platform.NewWeightStore(set.Platform.WeightsURL, timeout, n.set))
	return nil
}

func (n *node) buildMesh(set *settings.Settings) error {
	addr := set.Listen.AdvertisePeer
	if addr == "" {
		addr = set.Listen.Peer.Address
	}
	tlsConfig, err := set.Listen.Peer.TLS.DialConfig()
	if err != nil {
		return Error.Wrap(err)
	}
	n.mesh, err = peer.New(peer.Config{
		ID:            set.Node.ID,
		Addr:          addr,
		FailureDomain: set.Node.FailureDomain,
		Seeds:         set.Peers.Seeds,
		TLS:           tlsConfig,
		Heartbeat:     millis(set.Peers.HeartbeatMS),
		Topology: peer.Topology{
			FullMeshLimit: set.Peers.FullMeshLimit,
			NearLinks:     set.Peers.LinksInside,
			FarLinks:      set.Peers.LinksAcross,
		},
	}, set.PeerKey(), n.log, n.set)
	return err
}

func (n *node) buildConfig(set *settings.Settings) error {
	carrier := spread{mesh: n.mesh, self: n.id}
	log := kvlog.New(n.kv, configPrefix, kvlog.Options{Events: n.log, Metrics: n.set})
	n.keeper = intent.NewKeeper(intent.Config{
		Node:    n.id,
		Log:     intent.NewLog(log),
		Spread:  carrier,
		Watcher: func() bool { return carrier.watches(set.Node.FailureDomain) },
		Random:  rand.Float64,
		Events:  n.log,
		Metrics: n.set,
	})
	carrier.follow(n.keeper)
	return nil
}

func (n *node) buildBackends(set *settings.Settings) error {
	n.engines = backend.NewClient()
	n.dir = directory.New(n.log)
	n.mon = health.NewMonitor(policyOf(set.Policy), n.log, n.set)
	rumours{n.mesh}.connect(n.mon, n.dir, n.inv)
	n.drain = &drain{vm: set.Node.VM, notice: n.notice, log: n.log}
	lister := &vms{inv: n.inv, mesh: n.mesh, mon: n.mon, drain: n.drain}
	n.poller = directory.NewPoller(directory.PollConfig{
		Router:       n.id,
		SubsetSize:   set.Directory.Subset,
		Interval:     millis(set.Directory.LoadPollMS),
		ListInterval: lookInterval,
		ListChanged:  n.inv.Changed(),
	}, n.dir, lister, probe{n.engines, n.mon})
	n.cancels = backend.NewCanceller(n.engines, backend.CancellerOptions{
		Incarnation: n.dir.Incarnation, Log: n.log, Metrics: n.set,
	})
	n.keeper.Subscribe(func(s *intent.State) {
		n.dir.SetIntent(leavingVMs(s))
		n.drain.wish(s.Leaving(set.Node.VM))
	})
	return nil
}

func leavingVMs(s *intent.State) map[string]bool {
	out := map[string]bool{}
	for id, vm := range s.VMs {
		if vm.Leaving {
			out[id] = true
		}
	}
	return out
}

// policyOf takes over what the deployment weighs; the rest are measured defaults.
func policyOf(p settings.Policy) health.Policy {
	out := health.DefaultPolicy()
	out.ResumeLatencyWeight = p.ResumeLatencyWeight
	out.ExtraWorkWeight = p.ExtraWorkWeight
	out.MinSilence = millis(p.MinSuspectMS)
	out.MaxSilence = millis(p.MaxSuspectMS)
	out.FailuresPerHour = p.FailuresPerHour
	out.TailExponent = p.TailExponent
	out.PrefillBytesPerSecond = p.PrefillBytesPerSecond
	out.FixedTimeout = millis(p.FixedTimeoutMS)
	return out
}

func (n *node) buildClaims(set *settings.Settings) error {
	owner := newShardOwner(n.mesh, n.id)
	n.claims = once.New(once.Config{
		Node:        n.id,
		Incarnation: set.Node.Incarnation,
		KV:          n.kv,
		Prefix:      claimsPrefix,
		Shards:      set.Claims.Shards,
		Window:      time.Duration(set.Claims.WindowS) * time.Second,
		Events:      n.log,
		Metrics:     n.set,
	}, owner)
	peer.HandleCall(n.mesh, callClaims, func(ctx context.Context, _ string, b once.Batch) (once.BatchResult, error) {
		return n.claims.Handle(ctx, b)
	})
	return nil
}

func (n *node) buildCallers(set *settings.Settings) error {
	router, err := routing.New(stepsOf(set.Routing), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	if err != nil {
		return err
	}
	accs := newAccounts(n.dir)
	room := &room{dir: n.dir, mon: n.mon, accs: accs, routers: n.routers, perEngine: set.Limits.RequestsPerEngine, reserve: set.Limits.ReservePercent}
	n.admit = admission.NewController(admission.Config{
		MaxQueue:      set.Limits.Queue,
		Capacity:      room.all,
		BatchCapacity: room.batch,
		UrgentFloor:   room.urgent,
	}, n.log, n.set)
	n.share = &summaries{mesh: n.mesh, keeper: n.keeper, admit: n.admit, sent: map[string]float64{}, heard: demands{}}
	n.keeper.Subscribe(func(s *intent.State) {
		accs.set(s)
		n.admit.SetLimits(limitsOf(s))
	})
	retry := admission.NewRetryBudget(float64(set.Policy.RetryBudgetPercent)/100, retryBurst)
	pick := &picker{dir: n.dir, mon: n.mon, router: router, domain: set.Node.FailureDomain}
	watch := watcher{Monitor: n.mon, dir: n.dir}
	n.runner, err = generation.New(generation.Deps{
		Admitter: admitter{n.admit, retry},
		Claims:   claims{n.claims},
		Picker:   pick,
		Watcher:  watch,
		Engines:  n.engines,
		Abandon:  n.cancels,
		Budget:   retry,
	}, generation.Options{
		Node:            n.id + "/" + set.Node.Incarnation,
		StartedPatience: max(millis(set.Policy.PatienceMS), time.Second),
		Rand:            rand.Float64,
		Log:             n.log,
		Metrics:         n.set,
	})
	if err != nil {
		return err
	}
	current, previous := set.CursorKeys()
	sealer, err := cursor.NewSealer(current, previous, time.Duration(set.Cursor.MaxAgeS)*time.Second)
	if err != nil {
		return err
	}
	n.callers = callerapi.New(callerapi.Config{
		Options:  callerapi.Options{BodyBytes: set.Limits.BodyBytes, MaxOpen: int64(set.Limits.MaxOpenRequests)},
		Gate:     n,
		Accounts: accs,
		Runner:   n.runner,
		Services: &services{
			node: n.id + "/" + set.Node.Incarnation, admit: n.admit, claims: claims{n.claims},
			pick: pick, client: backend.NewServiceClient(), retry: retry, mon: watch, hedge: n.hedger(set.Policy.Hedge),
		},
		Pointers: newPointers(n.mesh, n.id),
		Sealer:   sealer,
		Log:      n.log,
		Metrics:  n.set,
	})
	return nil
}

// hedger allows second tries within their own budget: retries after a failure
// must not be spent by lookups that are merely late.
func (n *node) hedger(h settings.Hedge) *hedge.Hedger {
	budget := admission.NewRetryBudget(float64(h.BudgetPercent)/100, hedgeBurst)
	return hedge.New(hedge.Config{Enabled: h.Enabled}, budget, n.set)
}

func (n *node) routers() int { return len(living(n.mesh.Members())) }

func stepsOf(r settings.Routing) []routing.StepConfig {
	if len(r.Steps) == 0 {
		return routing.DefaultSteps()
	}
	steps := make([]routing.StepConfig, 0, len(r.Steps))
	for _, s := range r.Steps {
		steps = append(steps, routing.StepConfig(s))
	}
	return steps
}

func (n *node) buildOrders(*settings.Settings) error {
	var err error
	n.orders, err = order.New(order.Config{
		Lease:     order.NewLease(n.kv, orderPrefix, n.id),
		Backends:  order.NewBackends(n.engines),
		State:     n.keeper.State,
		Fresh:     n.keeper.Fresh,
		List:      n.engineList,
		Sizes:     n.placedSizes,
		Candidate: n.givesOrders,
		Random:    rand.Float64,
		Policy:    order.Policy{WeightRate: n.weightRate},
		Events:    n.log,
		Metrics:   n.set,
	})
	return err
}

// givesOrders limits the tries for the order lease to two routers.
func (n *node) givesOrders() bool {
	for _, m := range peer.Rendezvous("orders", living(n.mesh.Members()), 2) {
		if m.Self {
			return true
		}
	}
	return false
}

func (n *node) engineList() []fleet.Backend {
	var out []fleet.Backend
	for _, id := range n.dir.IDs() {
		if b, ok := n.dir.Backend(id); ok && b.Kind == fleet.Engine {
			out = append(out, b)
		}
	}
	return out
}

func (n *node) buildListeners(set *settings.Settings) error {
	open := func(l settings.Listener, h http.Handler, write time.Duration) (*listen.Server, error) {
		return listen.New(listen.Config{Listener: l, HeaderBytes: set.Limits.HeaderBytes, WriteTimeout: write}, h)
	}
	var err1, err2, err3 error
	n.caller, err1 = open(set.Listen.Caller, n.callers, 0)
	n.admin, err2 = open(set.Listen.Admin, n.adminHandler(set), adminWrite)
	n.peers, err3 = open(set.Listen.Peer, n.mesh, adminWrite)
	return errors.Join(err1, err2, err3)
}

func (n *node) listeners() []*listen.Server { return []*listen.Server{n.caller, n.admin, n.peers} }

func (n *node) closeListeners() {
	for _, l := range n.listeners() {
		if l != nil {
			_ = l.Close()
		}
	}
}

// parts are the loops that run until the process ends.
func (n *node) parts() []func(context.Context) error {
	return []func(context.Context) error{
		n.mesh.Run, n.keeper.Run, n.inv.Run, n.poller.Run, n.mon.Run, n.claims.Run, n.cancels.Run, n.orders.Run, n.share.run,
	}
}

func (n *node) addDumps(set *settings.Settings) {
	n.dumps.Add("settings", func() any { return json.RawMessage(set.Printable()) })
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
}
