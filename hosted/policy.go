package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/holders"
	"wigeondale/platform"
	"wigeondale/routing"
	"wigeondale/settings"
)

const (
	// startedPatience is how long an answer that has begun waits for a replica
	// to go on at. Clients leave after a gap of 5.6 s or more.
	startedPatience = 5 * time.Second
	// refusedRetry is told with a refusal when nothing better is known: half
	// of the time in which crashed replicas were seen to come back.
	refusedRetry = 600 * time.Millisecond
	// maxFruitless bounds attempts in a row without a piece.
	maxFruitless = 8
	// killMargin is how long before the platform's kill the process ends.
	killMargin = 300 * time.Millisecond
	// probeAfter is when a replica under suspicion gets a first request again. A
	// crashed one is off the registry by then: its entry lapses after three
	// heartbeats of 1.2 s, and the replica that follows has an id of its own.
	probeAfter = 3600 * time.Millisecond
	// pickTries bounds picks repeated because the choice was just taken away.
	pickTries = 4
	// standbyCost is what keeping a copy costs a replica, against running it.
	// It takes as much memory, and a part of the work.
	standbyCost = 0.5
	// tokensOfOne is the size of an ordinary request in tokens.
	tokensOfOne = 6000
)

// policyOf fits the failure detector to replicas that crash by failure domain
// every few seconds, and to clients for whom a pause of 700 ms is late.
func policyOf(h *settings.Hosted) health.Policy {
	p := health.DefaultPolicy()
	p.FailuresPerHour = h.FailuresPerHour
	p.MinSilence = millis(h.MinSilenceMS)
	p.MaxSilence = millis(h.MaxSilenceMS)
	p.MassSilence = millis(h.MaxSilenceMS)
	p.PrefillBytesPerSecond = h.PrefillTokensPerSecond * bytesPerToken
	p.MinPrefill = millis(h.MinPrefillMS)
	p.PrefillFactor = 5
	p.QueueFactor = 2
	p.MinBackoff = probeAfter
	p.TypicalGap = 60 * time.Millisecond
	p.Tick = 10 * time.Millisecond
	return p
}

// bytesPerToken is the size by which package generation states prompts.
const bytesPerToken = 4

// openDoor admits all requests: the platform sets no limits of accounts.
type openDoor struct{}

func (openDoor) Admit(context.Context, generation.Ticket) (func(), error) { return nil, nil }

// budgets hold one retry budget for each service. The platform bounds the sum
// over all nodes: a share of the requests, and a burst that the nodes divide.
type budgets struct {
	share float64
	burst func() float64 // of one node

	mu    sync.Mutex
	known map[string]*admission.RetryBudget
}

// budgetMargin is the part of the platform's bound that is used. The rest is for
// nodes that don't know yet how many they are, and for uneven shares.
const budgetMargin = 0.8

func newBudgets(h *settings.Hosted, nodes func() int) *budgets {
	return &budgets{
		share: budgetMargin * h.RetryShare,
		burst: func() float64 { return budgetMargin * h.RetryBurst / float64(nodes()) },
		known: map[string]*admission.RetryBudget{},
	}
}

func (b *budgets) of(service string) *admission.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.burst()
	one := b.known[service]
	if one == nil {
		one = admission.NewRetryBudget(b.share, burst)
		b.known[service] = one
	}
	one.Resize(burst)
	return one
}

// First implements relay.Budgets.
func (b *budgets) First(service string) { b.of(service).First() }

// Take implements generation.RetryBudget.
func (b *budgets) Take(service string) bool { return b.of(service).Take() }

// watcher reports how attempts begin to the failure detector.
type watcher struct {
	*health.Monitor
	dir *directory.Directory
}

// Watch implements generation.Watcher.
func (w watcher) Watch(id string, promptBytes int, cancel context.CancelCauseFunc) generation.Watch {
	return w.Monitor.Watch(id, promptBytes, cancel)
}

// Result implements generation.Watcher. A refusal shows that the replica
// lives, unless another one has its address.
func (w watcher) Result(id string, err error) {
	refused, ok := errors.AsType[*backend.Refused](err)
	if !ok {
		w.Monitor.Result(id, err)
		return
	}
	if refused.Code == platform.CodeElsewhere {
		w.dir.MarkLeaving(id, "", directory.FromRefusal)
		return
	}
	w.Monitor.Result(id, nil)
}

// picker chooses replicas and standbys.
type picker struct {
	dir     *directory.Directory
	mon     *health.Monitor
	work    *routing.Router
	standby *routing.Router
	holders *holders.Finder
	domain  string
	log     *event.Log
}

func newPicker(dir *directory.Directory, mon *health.Monitor, find *holders.Finder, domain string, log *event.Log) (*picker, error) {
	work, err := newRouter(workSteps)
	if err != nil {
		return nil, err
	}
	standby, err := newRouter(standbySteps)
	if err != nil {
		return nil, err
	}
	return &picker{dir: dir, mon: mon, work: work, standby: standby, holders: find, domain: domain, log: log}, nil
}

// workSteps choose where an attempt runs, standbySteps where its copy is kept. A
// copy is never the probe of a replica under suspicion: one that isn't made is
// noticed only when it is needed.
var (
	workSteps = []routing.StepConfig{
		{Name: routing.FilterServes},
		{Name: routing.FilterLeaving},
		{Name: routing.FilterExclude},
		{Name: routing.FilterOtherDomain},
		{Name: routing.FilterUsable},
		{Name: routing.ScoreLoad, Weight: 1},
		{Name: routing.ScoreDue, Weight: 0.3},
		{Name: routing.ScoreDomain, Weight: 0.02},
		{Name: routing.PickBest},
	}
	standbySteps = []routing.StepConfig{
		{Name: routing.FilterServes},
		{Name: routing.FilterLeaving},
		{Name: routing.FilterExclude},
		{Name: routing.FilterOtherDomain},
		{Name: routing.FilterHealthy},
		{Name: routing.ScoreLoad, Weight: 1},
		{Name: routing.ScoreDue, Weight: 0.3},
		{Name: routing.PickBest},
	}
)

// Lookup implements generation.Picker.
func (p *picker) Lookup(id string) (fleet.Backend, bool) { return p.dir.Backend(id) }

// Pick implements generation.Picker. Whether a replica is leaving is looked up
// once more at the moment of sending.
func (p *picker) Pick(ctx context.Context, a generation.Ask) (fleet.Backend, func(), error) {
	if b, done, ok := p.preferred(a); ok {
		return b, done, nil
	}
	if b, done, ok := p.holder(ctx, a); ok {
		return b, done, nil
	}
	ask := p.ask(a)
	ask.OtherDomain = a.LostDomain
	for range pickTries {
		ask.Now = time.Now()
		c, _, err := p.work.Pick(p.dir.Service(a.Service), ask)
		if err != nil && ask.OtherDomain != "" {
			ask.OtherDomain = ""
			continue
		}
		if err != nil {
			return fleet.Backend{}, nil, noReplica(err)
		}
		if !p.dir.Leaving(c.Backend.ID) && p.mon.Allow(c.Backend.ID) {
			return c.Backend, p.dir.Start(c.Backend.ID, cost(a.Size)), nil
		}
		ask.Exclude = with(ask.Exclude, c.Backend.ID)
	}
	return fleet.Backend{}, nil, &generation.Unavailable{Retryable: true, RetryAfter: waitForReplica}
}

// waitForReplica is how long a request waits before it looks again whether a
// replica has come up.
const waitForReplica = 50 * time.Millisecond

// preferred is the replica that holds a copy of the run, if it takes work.
func (p *picker) preferred(a generation.Ask) (fleet.Backend, func(), bool) {
	if a.Prefer == "" || a.Exclude[a.Prefer] || p.dir.Leaving(a.Prefer) {
		return fleet.Backend{}, nil, false
	}
	b, ok := p.dir.Backend(a.Prefer)
	if !ok || p.mon.State(a.Prefer) != health.Healthy {
		return fleet.Backend{}, nil, false
	}
	return b, p.dir.Start(b.ID, cost(a.Size)), true
}

// holder is the replica that still holds the prompt of a client that came back.
func (p *picker) holder(ctx context.Context, a generation.Ask) (fleet.Backend, func(), bool) {
	if len(a.Parts) == 0 {
		return fleet.Backend{}, nil, false
	}
	var up []fleet.Backend
	for _, c := range p.dir.Service(a.Service) {
		if !p.dir.Leaving(c.Backend.ID) && p.healthy(c.Backend.ID) {
			up = append(up, c.Backend)
		}
	}
	id, tokens := p.holders.Find(ctx, up, a.Parts)
	p.log.Emit(event.HolderSought, "request", a.Request, "asked", len(up), "backend", id, "tokens", tokens)
	if tokens == 0 || p.dir.Leaving(id) {
		return fleet.Backend{}, nil, false
	}
	b, ok := p.dir.Backend(id)
	if !ok {
		return fleet.Backend{}, nil, false
	}
	return b, p.dir.Start(id, cost(a.Size)), true
}

// Keeps implements generation.Picker.
func (p *picker) Keeps(id string) bool { return p.healthy(id) && !p.dir.Leaving(id) }

// Standby implements generation.Picker: a replica of another failure domain
// than b, so that the loss of one domain doesn't take the run and its copy.
func (p *picker) Standby(a generation.Ask, b fleet.Backend) (fleet.Backend, func(), bool) {
	ask := p.ask(a)
	ask.Now = time.Now()
	ask.Exclude = with(a.Exclude, b.ID)
	ask.OtherDomain = b.FailureDomain
	c, _, err := p.standby.Pick(p.dir.Service(a.Service), ask)
	if err != nil {
		return fleet.Backend{}, nil, false
	}
	return c.Backend, p.dir.Start(c.Backend.ID, standbyCost*cost(a.Size)), true
}

func (p *picker) ask(a generation.Ask) routing.Ask {
	return routing.Ask{
		Priority:      a.Priority,
		Exclude:       a.Exclude,
		FailureDomain: p.domain,
		Resume:        a.Resume,
		FleetKnown:    true,
		Usable:        p.mon.Usable,
		Healthy:       p.healthy,
	}
}

func (p *picker) healthy(id string) bool { return p.mon.State(id) == health.Healthy }

// cost is the load of a request in units of an ordinary one.
func cost(tokens int) float64 {
	if tokens <= 0 {
		return 1
	}
	return float64(tokens) / tokensOfOne
}

func with(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k, v := range set {
		out[k] = v
	}
	out[id] = true
	return out
}

func noReplica(err error) error {
	return &generation.Unavailable{Retryable: true, RetryAfter: waitForReplica, Err: err}
}
