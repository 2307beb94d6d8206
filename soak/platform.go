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

// platformRun is the state of one run on the users' platform.
type platformRun struct {
	run
	store *fakes.Store
	nodes []*node

	mu       sync.Mutex
	replicas map[string]*fakes.Replica // by address
	services map[string][]*fakes.Replica
	gone     []*fakes.Replica // crashed or left; their record still counts
	started  int              // replicas so far
	version  int
	keys     []string // in force; only ever removed

	versions int // ordered so far
	rolling  map[string]*rolledOut
	// badVersions are the faults of the versions that are bad.
	badVersions map[string]fakes.Faults
	rollMu      sync.Mutex
	watchers    sync.WaitGroup
	stopped     atomic.Bool
	calmed      atomic.Bool // all faults are over
}

// Run plays one seed on the users' platform.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := newPlatformRun(cfg)
	return r.play(ctx, r)
}

func newPlatformRun(cfg Config) *platformRun {
	return &platformRun{
		run:      newRun(cfg, platformStream),
		store:    fakes.NewStore(),
		replicas: map[string]*fakes.Replica{},
		services: map[string][]*fakes.Replica{},
		rolling:  map[string]*rolledOut{},

		badVersions: map[string]fakes.Faults{},
	}
}

func (r *platformRun) client(i int) looper {
	if r.cfg.CrashingRequests && i == 0 {
		return &crasher{run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, crasherStream))}
	}
	return &caller{run: r, rng: rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+i))), name: fmt.Sprintf("c%d", i)}
}

func (r *platformRun) start(ctx context.Context) error {
	for i := range r.cfg.Engines {
		if err := r.addReplica("llm", i%2, true); err != nil {
			return err
		}
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
	for i := range r.cfg.Nodes {
		n, err := newNode(r, i)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		if err := n.launch(); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.awaitReady(ctx); err != nil {
			return err
		}
	}
	if r.cfg.CrashingRequests {
		return r.awaitLinks(ctx)
	}
	return nil
}

// pieces and pieceGap make a draft last half a second.
const (
	pieces    = 40
	pieceGap  = 12 * time.Millisecond
	firstKeys = 40
	account   = "acc"
	// routeTimeout is when a request must have its final answer.
	routeTimeout = 8 * time.Second
)

func (r *platformRun) addReplica(service string, domain int, engine bool) error {
	_, err := r.startReplica(service, domain, engine, "")
	return err
}

// startReplica starts a replica of a version, empty for the first.
func (r *platformRun) startReplica(service string, domain int, engine bool, version string) (*fakes.Replica, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	rep := &fakes.Replica{
		ID: fmt.Sprintf("i-%d", r.started), Service: service, Domain: fmt.Sprintf("d%d", domain), Version: version,
		Engine: engine, Chunks: pieces, ChunkGap: pieceGap, OnCrash: r.crashedUnder,
	}
	if r.cfg.Restarts {
		rep.StartedAt = time.Now().UnixMilli()
	}
	rep.SetFaults(r.badVersions[version])
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

// configure writes the next version, with the keys in force.
func (r *platformRun) configure() {
	r.version++
	route := func(name, kind, service string, attempts int) fakes.Route {
		return fakes.Route{Name: name, Kind: kind, Service: service, Attempts: attempts, Timeout: routeTimeout}
	}
	r.store.PutConfig(fakes.Config{
		Version: r.version, Account: account, Keys: r.keys, EngineService: "llm", OtherService: "app",
		Routes: []fakes.Route{
			route("draft", "streaming", "llm", 5), route("book", "non_idempotent", "app", 2), route("look", "idempotent", "app", 2),
		},
	})
}

// stop ends every process and stand-in that the run has started.
func (r *platformRun) stop() {
	r.stopped.Store(true)
	r.watchers.Wait()
	for _, n := range r.nodes {
		n.kill()
		n.link.Close()
	}
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
