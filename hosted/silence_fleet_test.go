package hosted

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/placement"
	"wigeondale/settings"
)

const (
	modelDomains  = 3
	modelReadRate = 5000 // tokens of a prompt that a server reads in a second
	modelLoad     = 0.8  // share of the slots in use
	modelTarget   = 2 * time.Second
	modelCalm     = 4 * time.Second // before the silences
	modelAfter    = 7 * time.Second // after them
	modelService  = "svc"
)

// silenceFleet simulates routers, each with a runner, a failure detector and a retry budget, and servers that fall silent.
type silenceFleet struct {
	plan     silencePlan
	hosted   *settings.Hosted
	start    time.Time
	ctx      context.Context
	running  sync.WaitGroup
	servers  []*modelServer
	ids      []string
	requests []*modelRequest

	mu      sync.Mutex
	routers map[int]*silenceRouter
	budgets []*budgets // of all routers
}

func newSilenceFleet(seed uint64, routers int) *silenceFleet {
	rng := rand.New(rand.NewPCG(seed, uint64(routers)))
	servers := 12
	if routers > 100 {
		servers = 24
	}
	f := &silenceFleet{plan: drawPlan(rng, routers, servers), hosted: &settings.Hosted{}, routers: map[int]*silenceRouter{}}
	f.hosted.SetDefaults()
	f.hosted.RetryWindowS = 10
	if f.plan.tight {
		f.hosted.RetryShare, f.hosted.RetryBurst = 0.1, 12
	}
	for i := range servers {
		s := &modelServer{
			f: f, id: fmt.Sprint(i), domain: i % modelDomains, version: "v1",
			slots: make(chan struct{}, modelSlots), crashed: make(chan struct{}),
		}
		if slices.Contains(f.plan.second, i) {
			s.version = "v2"
		}
		if slices.Contains(f.plan.silent, i) {
			s.silences = f.plan.silences
		}
		f.servers, f.ids = append(f.servers, s), append(f.ids, s.id)
	}
	f.drawRequests(rng)
	return f
}

func (f *silenceFleet) drawRequests(rng *rand.Rand) {
	const minChunks, maxChunks = 15, 60
	const minPrefill, maxPrefill = 100 * time.Millisecond, 600 * time.Millisecond
	mean := (minPrefill+maxPrefill)/2 + modelInterval*(minChunks+maxChunks)/2
	between := float64(mean) / (modelLoad * modelSlots * float64(len(f.servers)))
	for at := time.Duration(0); at < f.plan.end()+modelAfter; at += time.Duration(rng.ExpFloat64() * between) {
		q := &modelRequest{
			f: f, id: fmt.Sprint("q", len(f.requests)), at: at, router: rng.IntN(f.plan.routers),
			prefill: drawDuration(rng, minPrefill, maxPrefill), chunks: minChunks + rng.IntN(maxChunks-minChunks+1),
		}
		leaves := drawDuration(rng, f.plan.silences[0].from, f.plan.end())
		if rng.IntN(8) == 0 && f.plan.leaving && leaves > at && leaves < at+mean {
			q.leaves = leaves
		}
		f.requests = append(f.requests, q)
	}
}

func (f *silenceFleet) now() time.Duration { return time.Since(f.start) }

func (f *silenceFleet) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *silenceFleet) server(id string) *modelServer { return f.servers[slices.Index(f.ids, id)] }

func (f *silenceFleet) request(id string) *modelRequest {
	var n int
	fmt.Sscanf(id, "q%d", &n)
	return f.requests[n]
}

// play runs the fleet in fake time until all requests have ended.
func (f *silenceFleet) play(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer f.running.Wait()
	defer stop()
	f.ctx, f.start = ctx, time.Now()
	if f.plan.crash >= 0 {
		time.AfterFunc(f.plan.crashAt, f.servers[f.plan.crash].crash)
	}
	var clients sync.WaitGroup
	for _, q := range f.requests {
		time.Sleep(q.at - f.now())
		r, err := f.router(q.router)
		if err != nil {
			return err
		}
		clients.Go(func() { r.run(q) })
	}
	clients.Wait()
	for _, r := range f.routers {
		r.runner.Wait()
	}
	return nil
}

// silenceRouter is one router. It exists from its first request on.
type silenceRouter struct {
	f       *silenceFleet
	mon     *health.Monitor
	budgets *budgets
	runner  *generation.Runner
}

func (f *silenceFleet) router(n int) (*silenceRouter, error) {
	if r := f.routers[n]; r != nil {
		return r, nil
	}
	r := &silenceRouter{f: f, mon: health.NewMonitor(policyOf(f.hosted), nil, nil)}
	r.budgets = f.newBudgets(n)
	r.mon.RunQuerier = f
	for _, s := range f.servers {
		r.mon.SetFailureDomain(s.id, modelService, fmt.Sprint(s.domain))
	}
	d := generation.Deps{
		Admitter: admitAll{}, Picker: r, Watcher: placement.Watcher{Monitor: r.mon}, Engines: r, Budget: r.budgets, RunQuerier: f,
	}
	if len(f.plan.second) > 0 {
		d.StreamVersions = f
	}
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	var mu sync.Mutex
	draw := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	var err error
	r.runner, err = generation.New(d, generation.Options{
		StartedMaxWait: startedMaxWait, RetryAfter: refusedRetry, MaxTokenlessAttempts: maxFruitless, Rand: draw,
	})
	f.running.Go(func() { _ = r.mon.Run(f.ctx) })
	f.routers[n] = r
	return r, err
}

func (r *silenceRouter) run(q *modelRequest) {
	ctx, leave := context.WithCancel(r.f.ctx)
	defer leave()
	if q.leaves > 0 {
		defer time.AfterFunc(q.leaves-r.f.now(), leave).Stop()
	}
	q.cameToFull = !slices.ContainsFunc(r.f.servers, func(s *modelServer) bool { return !s.isCrashed() && s.load() < modelSlots })
	r.budgets.First(modelService)
	q.res = r.runner.Run(ctx, generation.Request{ID: q.id, Account: "a", Deadline: time.Now().Add(20 * time.Second), Opaque: &generation.Opaque{
		Opaque: &backend.Opaque{Streaming: true, Resumable: true}, Service: modelService, FirstChunk: 1, MaxAttempts: 4,
		MaxWait: admission.RefuseLate.MaxWait(modelTarget), FirstChunkTarget: modelTarget, PromptTokens: 1000,
	}}, q)
}

// Pick implements generation.Picker: it chooses the usable server with the least load, outside the domain of the lost
// attempt if possible. A new request needs a place that is free or is free soon.
func (r *silenceRouter) Pick(_ context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	usable := r.mon.Usable(r.f.ids)
	type choice struct{ server, weight int }
	var choices []choice
	h := fnv.New32a()
	h.Write([]byte(a.RequestID))
	for i, s := range r.f.servers {
		load := s.load()
		unfit := usable != nil && !usable[i] || a.Exclude[s.id] || a.Binding != nil && a.Binding.Version != s.version
		if unfit || s.isUnlisted() || load > modelSlots && !a.Resume {
			continue
		}
		weight := load<<16 | (i+int(h.Sum32()))%len(r.f.servers)
		if fmt.Sprint(s.domain) == a.LostDomain {
			weight |= 1 << 30
		}
		choices = append(choices, choice{i, weight})
	}
	slices.SortFunc(choices, func(a, b choice) int { return a.weight - b.weight })
	for _, c := range choices {
		if s := r.f.servers[c.server]; r.mon.Allow(s.id) {
			return fleet.Backend{ID: s.id, Addr: s.id, Service: modelService, FailureDomain: fmt.Sprint(s.domain), Version: s.version}, modelShare{}, nil
		}
	}
	return fleet.Backend{}, nil, &generation.Unavailable{Retryable: true, RetryAfter: waitForReplica, Err: errNoneOfVersion}
}

func (s *modelServer) load() (n int) {
	s.f.locked(func() {
		s.runs = slices.DeleteFunc(s.runs, func(r *modelRun) bool { return r.endedAt != 0 })
		n = len(s.runs)
	})
	return n
}

func (s *modelServer) isUnlisted() bool {
	return s.isCrashed() && s.f.now() > s.f.plan.crashAt+modelListed
}

func (r *silenceRouter) Lookup(string) (fleet.Backend, bool) { return fleet.Backend{}, false }
func (r *silenceRouter) KeepsCopy(string) bool               { return false }
func (r *silenceRouter) Standby(generation.PickRequest, fleet.Backend) (fleet.Backend, generation.LoadShare, bool) {
	return fleet.Backend{}, nil, false
}

type modelShare struct{}

func (modelShare) PrefillDone() {}
func (modelShare) End()         {}

// Find implements generation.StreamVersions.
func (f *silenceFleet) Find(context.Context, *generation.Request) (generation.Binding, error) {
	return generation.Binding{Unknown: true}, nil
}

// Confirm implements generation.StreamVersions as software does.
func (f *silenceFleet) Confirm(ctx context.Context, b fleet.Backend) (generation.Binding, error) {
	ctx, stop := context.WithTimeout(ctx, confirmTimeout)
	defer stop()
	if _, err := f.Runs(ctx, b); err != nil {
		return generation.Binding{Unknown: true}, nil
	}
	return generation.Binding{Version: b.Version}, nil
}

// Began implements generation.StreamVersions.
func (f *silenceFleet) Began(*generation.Request, fleet.Backend, string) {}
