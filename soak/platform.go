package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// platformRun holds the state of one run on the users' platform.
type platformRun struct {
	run
	store     *fakes.Store
	nodes     []*node
	startedAt time.Time

	mu              sync.Mutex
	replicas        map[string]*fakes.Replica // by address
	services        map[string][]*fakes.Replica
	formerReplicas  []*fakes.Replica // crashed or drained; finalChecks still reads their records
	copies          []fakes.Copy     // of the store's contents, the latest last
	startedReplicas int              // number of replicas started so far
	configMu        sync.Mutex       // orders the versions of the configuration
	configVersion   int
	bursts          int // of clients so far
	burstClients    sync.WaitGroup
	dark            []*fakes.Replica // that hold their connections until the faults end
	streamServices  []string         // to which the route of streams leads, if Config.Moves is set
	keys            []string         // API keys in force; they are only removed during a run

	brittle          *brittleTime // nil while no replicas are brittle
	brittleTimes     []*brittleTime
	softwareVersions int // number of versions released without an order so far
	software         softwareRecord
	orderedVersions  int // number of versions ordered so far
	rollouts         map[string]*rolloutOrder
	// badVersions maps each bad version to the faults that its replicas have.
	badVersions map[string]fakes.Faults
	rolloutMu   sync.Mutex
	watchers    sync.WaitGroup
	silences    sync.WaitGroup
	cuts        *cuts
	series      *series
	settings    *platformSettings // nil without Config.Settings
	stopped     atomic.Bool
	stopCopies  func()
	faultsEnded atomic.Bool // all faults have ended
}

// Run runs one seed on the users' platform.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := newPlatformRun(cfg)
	return r.execute(ctx, r)
}

func newPlatformRun(cfg Config) *platformRun {
	r := &platformRun{
		run:   newRun(cfg, platformStream),
		store: fakes.NewStore(), startedAt: time.Now(),
		replicas: map[string]*fakes.Replica{},
		services: map[string][]*fakes.Replica{},
		rollouts: map[string]*rolloutOrder{},

		badVersions: map[string]fakes.Faults{},
		stopCopies:  func() {},
	}
	r.cuts = newCuts(&r.run, r.drawCutServers)
	r.series = newSeries(&r.run)
	return r
}

func (r *platformRun) newClient(i int) trafficClient {
	if r.cfg.CrashingRequests && i == 0 {
		return &crashingClient{run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, crashingStream))}
	}
	if r.cfg.CrashingParts && i == 1 {
		return &crashingClient{run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, crashingStream+1)), parts: true}
	}
	return &platformClient{run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+i))), name: fmt.Sprintf("c%d", i)}
}

func (r *platformRun) start(ctx context.Context) error {
	if r.cfg.Settings {
		var err error
		if r.settings, err = newPlatformSettings(&r.cfg); err != nil {
			return err
		}
	}
	for i := range r.cfg.Engines {
		if err := r.addReplica("llm", i%2, true); err != nil {
			return err
		}
	}
	if err := r.startMovable(); err != nil {
		return err
	}
	for i := range r.cfg.Services {
		if err := r.addReplica("app", i%2, false); err != nil {
			return err
		}
	}
	for i := range firstKeys {
		r.keys = append(r.keys, fmt.Sprintf("key-%d", i))
	}
	r.configure()
	r.history.add(fmt.Sprintf("retry budget %+v", r.cfg.retryBudget()))
	for i := range r.cfg.Nodes {
		n, err := newNode(r, i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.awaitReady(ctx); err != nil {
			return err
		}
		if err := n.rewrite(); err != nil {
			return err
		}
	}
	if !r.cfg.Calm && !r.cfg.NoSilences && !r.cfg.Alone {
		r.silences.Go(func() { r.injectSilences(ctx) })
	}
	r.cuts.start(ctx)
	r.series.start(ctx, r.seriesFaults())
	if r.cfg.Drills {
		copying, stop := context.WithCancel(ctx)
		r.stopCopies = stop
		r.watchers.Go(func() { r.keepCopies(copying) })
	}
	if r.cfg.CrashingRequests || r.cfg.CrashingParts {
		return r.awaitLinks(ctx)
	}
	return nil
}

// chunkCount and chunkGap make a generation last half a second.
const (
	chunkCount = 40
	chunkGap   = 12 * time.Millisecond
	firstKeys  = 40
	account    = "acc"
	// routeTimeout is the time limit for a request that each route of the operator's
	// configuration sets.
	routeTimeout = 8 * time.Second
)

func (r *platformRun) addReplica(service string, domain int, engine bool) error {
	_, err := r.startReplica(service, domain, engine, "")
	return err
}

// startReplica starts and registers a replica of a version of a service. An empty version
// stands for the service's first version.
func (r *platformRun) startReplica(service string, domain int, engine bool, version string) (*fakes.Replica, error) {
	return r.startReplicaAt("", service, domain, engine, version)
}

// startReplicaAt starts and registers a replica at an address, or at any if that is empty.
func (r *platformRun) startReplicaAt(addr, service string, domain int, engine bool, version string) (*fakes.Replica, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedReplicas++
	rep := &fakes.Replica{
		ID: fmt.Sprintf("i-%d", r.startedReplicas), Service: service, Domain: fmt.Sprintf("d%d", domain), Version: version, Listen: addr,
		Engine: engine, ShowsVersion: engine && r.cfg.Software, Chunks: r.cfg.chunks(), ChunkGap: chunkGap, OnCrash: r.replaceLater,
	}
	if !engine {
		rep.Room, rep.Work, rep.Slots = r.cfg.room(), r.cfg.work(), r.cfg.Room
		if r.cfg.OddClients {
			rep.LargeAnswer = oddLargeAnswer
		}
		if r.cfg.Malformed {
			rep.RecordBytes = malformedRecordBytes
		}
		if r.cfg.Crowds {
			rep.RecordBytes, rep.LargeAnswer = crowdRecordBytes, crowdLargeAnswer
		}
	}
	if r.cfg.Stops {
		r.drawLengths(rep)
	}
	if r.cfg.Restarts {
		rep.StartedAt = time.Now().UnixMilli()
	}
	if _, bad := r.badVersions[version]; bad {
		r.checks.ends.trouble.begin(rep) // never ends
	}
	rep.SetFaults(r.baseFaults(rep))
	if err := rep.Start(r.replicaAt); err != nil {
		return nil, Error.Wrap(err)
	}
	r.replicas[rep.Addr()] = rep
	r.services[service] = append(r.services[service], rep)
	r.store.Register(rep, false)
	return rep, nil
}

func (r *platformRun) replicaAt(addr string) *fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicas[addr]
}

// configure writes the next version of the operator's configuration, with the keys in force.
func (r *platformRun) configure() {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.configVersion++
	r.mu.Lock()
	keys, split := r.keys, r.streamServices
	r.mu.Unlock()
	var more []string
	if r.cfg.Moves {
		more = []string{movedService}
	}
	route := func(name, kind, service string, attempts int) fakes.Route {
		return fakes.Route{Name: name, Kind: kind, Service: service, Attempts: attempts, Timeout: routeTimeout}
	}
	draft := route("draft", "streaming", "llm", 5)
	draft.Split = split
	r.store.PutConfig(fakes.Config{
		MaxBody: r.cfg.maxBody(),
		Version: r.configVersion, Account: account, Keys: keys, EngineService: "llm", MoreEngines: more, OtherService: "app",
		Routes: []fakes.Route{
			draft, route("book", "non_idempotent", "app", 2), route("look", "idempotent", "app", 2),
		},
	})
}

// stop ends every process and fake that the run has started.
func (r *platformRun) stop() {
	r.stopped.Store(true)
	r.stopCopies()
	r.silences.Wait()
	r.series.end()
	r.cuts.end()
	r.watchers.Wait()
	for _, n := range r.nodes {
		n.kill()
		n.link.Close()
		n.store.CloseClientConnections()
		if n.peerProxy != nil {
			n.peerProxy.Close()
		}
	}
	r.cuts.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.replicas {
		rep.Thaw()
		rep.Crash()
	}
	r.store.SetUnresponsive(false)
	r.store.CloseClientConnections()
	r.store.Close()
}
