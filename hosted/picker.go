package hosted

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/admission"
	"wigeondale/backpressure"
	"wigeondale/cachelookup"
	"wigeondale/clock"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/placement"
	"wigeondale/route"
	"wigeondale/routing"
)

const (
	// typicalPrompt and typicalAnswer are the tokens assumed for a request that does not state
	// its size: the tokens of an ordinary generation on the first deployments.
	typicalPrompt = 5000
	typicalAnswer = 1000
	// waitForReplica is how long a request waits when no replica is available, before the
	// router checks again whether a replica has come up.
	waitForReplica = 50 * time.Millisecond
	// unreadByCopy is the part of a prompt that an engine reads again when a run continues
	// from its copy: the part that had not been copied yet.
	unreadByCopy = 0.05
)

// idleOnly is a bound, in tokens, on the backlog of an engine. Only an engine that has no
// prompt to read meets it.
const idleOnly = 1

// picker chooses replicas for attempts and standbys for the copies of runs.
type picker struct {
	table           *route.Current
	dir             *directory.Directory
	mon             *health.Monitor
	nonEngine       *routing.Router // for services that are not model engines
	anyEngine       *routing.Router // for engines
	preferredEngine *routing.Router // for engines, among the preferred engines of a request
	standby         *routing.Router
	cacheFinder     *cachelookup.Finder
	log             *event.Log
	queues          queues
	loadQuerier     *loadQuerier
	// rollouts determines which versions attempts may use. If it is nil, attempts may use any
	// version.
	rollouts *rollouts
	// software knows the versions at which streams may begin. Nil means that there is one version.
	software *software
	refusal  admission.RefusalPolicy
	order    *waitOrder            // nil: no request yields to requests at other routers
	pressure *backpressure.Tracker // what replicas ask of the routers
	// sizer knows what requests cost. Nil means that they count with the maximum of their answers.
	sizer *sizer
	// onNoRoom is called when a request of a service is refused, or has waited long, because no
	// known engine has room for it.
	onNoRoom func(service string)
	waits    *waitMeters
	// broadcastSoon makes this router broadcast its changed loads at once.
	broadcastSoon func()
}

func newPicker(table *route.Current, dir *directory.Directory, mon *health.Monitor, finder *cachelookup.Finder, queryLoads *loadQuerier, log *event.Log) (*picker, error) {
	p := &picker{refusal: admission.RefuseLate, loadQuerier: queryLoads, table: table, dir: dir, mon: mon, cacheFinder: finder, log: log, broadcastSoon: func() {}, onNoRoom: func(string) {}, waits: newWaitMeters(metrics.NewSet())}
	for _, r := range []struct {
		to    **routing.Router
		steps []routing.StepConfig
	}{{&p.nonEngine, nonEngineSteps}, {&p.anyEngine, anyEngineSteps}, {&p.preferredEngine, preferredSteps}, {&p.standby, standbySteps}} {
		router, err := newRouter(r.steps)
		if err != nil {
			return nil, err
		}
		*r.to = router
	}
	return p, nil
}

// memoryWeight is the weight of free memory in the choice of an engine. With this weight, free
// memory decides between engines with equal delay: one more copy at an engine weighs slightly
// more than the largest difference in delay that counts as equal. It weighs less than one more
// run.
//
// Without this weight, work goes to engines that keep many copies. Where a router knows only
// part of the loads, the memory of these engines runs out and runs are preempted.
const memoryWeight = 0.25

// nonEngineSteps choose the replica of a service that is not a model engine. anyEngineSteps
// and preferredSteps choose the engine that runs an attempt, preferredSteps among the
// preferred engines of the request. standbySteps choose the engine that keeps the copy of a
// run. A copy is never used as the probe of a suspected replica: if the copy could not be
// made, the router would notice that only when it needs the copy.
var (
	nonEngineSteps = withCommonSteps(
		routing.StepConfig{Name: routing.FilterUsable},
		routing.StepConfig{Name: routing.ScoreLoad},
	)
	anyEngineSteps = engineSteps(routing.FilterFresh)
	preferredSteps = engineSteps(routing.FilterFreshOnly)
	standbySteps   = withCommonSteps(
		routing.StepConfig{Name: routing.FilterHealthy},
		routing.StepConfig{Name: routing.FilterFresh},
		routing.StepConfig{Name: routing.FilterMemory},
		routing.StepConfig{Name: routing.ScoreMemory},
	)
)

// engineSteps returns the steps that choose the engine for an attempt. byAge is the filter
// that selects engines by the age of their reports.
func engineSteps(byAge string) []routing.StepConfig {
	return withCommonSteps(
		routing.StepConfig{Name: routing.FilterUsable},
		routing.StepConfig{Name: byAge},
		routing.StepConfig{Name: routing.FilterMemory},
		routing.StepConfig{Name: routing.FilterBacklog},
		routing.StepConfig{Name: routing.ScoreDelay},
		routing.StepConfig{Name: routing.ScoreMemory, Weight: memoryWeight},
	)
}

// withCommonSteps adds the steps that every choice has before and after the given steps.
func withCommonSteps(steps ...routing.StepConfig) []routing.StepConfig {
	all := []routing.StepConfig{
		{Name: routing.FilterServes},
		{Name: routing.FilterLeaving},
		{Name: routing.FilterExclude},
		{Name: routing.FilterAccepting},
		{Name: routing.FilterOtherDomain},
	}
	all = append(all, steps...)
	return append(all, routing.StepConfig{Name: routing.PickBest})
}

// Lookup implements generation.Picker.
func (p *picker) Lookup(id string) (fleet.Backend, bool) { return p.dir.Backend(id) }

// Pick implements generation.Picker. It checks once more, at the moment of sending, whether
// the chosen replica is leaving.
func (p *picker) Pick(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	b, share, err := p.pick(ctx, a)
	if u, withheld := withheld(err); withheld {
		p.log.Emit(event.RequestWithheld, "request", a.RequestID, "service", a.Service, "retry_after_ms", u.RetryAfter.Milliseconds())
	}
	ro := p.rollouts.of(a.Service)
	switch {
	case ro == nil:
	case err == nil:
		ro.MarkSent(a.RequestID)
	case ro.Unassign(a.RequestID): // the version on trial has no replica for this request
		return p.Pick(ctx, a)
	}
	return b, share, err
}

// withheld returns the error of a choice for which all replicas ask for fewer requests, and false
// if err is another error.
func withheld(err error) (*generation.Unavailable, bool) {
	u, ok := errors.AsType[*generation.Unavailable](err)
	return u, ok && u.Code == placement.CodeWithheld
}

func (p *picker) pick(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	if a.Binding != nil && len(p.boundReplicas(a.Service, a.Binding)) == 0 {
		return fleet.Backend{}, nil, p.noneOfVersion(a)
	}
	if b, share, ok := p.replicaWithCopy(a); ok {
		return b, p.chargeDirect(share, a), nil
	}
	if b, share, ok := p.replicaWithPrompt(ctx, a); ok {
		return b, p.chargeDirect(share, a), nil
	}
	if p.capacity(a.Service) > 0 {
		return p.pickEngine(ctx, a)
	}
	return p.choose(p.nonEngine, p.candidates(a), a, p.plainLoad(a))
}

// choose chooses a replica outside the failure domain of the attempt that was lost, or in this
// domain if there is no usable replica elsewhere.
func (p *picker) choose(router *routing.Router, among []routing.Candidate, a generation.PickRequest, load directory.Load) (fleet.Backend, generation.LoadShare, error) {
	return p.chooseBy(p.pickRequest(a), router, among, a, load)
}

// chooseBy is choose by the criteria of req.
func (p *picker) chooseBy(req routing.PickRequest, router *routing.Router, among []routing.Candidate, a generation.PickRequest, load directory.Load) (fleet.Backend, generation.LoadShare, error) {
	req.OtherDomain = a.LostDomain
	chooser := placement.Chooser{Dir: p.dir, Mon: p.mon, Pressure: p.pressure, RetryAfter: waitForReplica}
	b, share, err := chooser.Pick(router, among, req, load)
	if err == nil || req.OtherDomain == "" {
		return b, share, err
	}
	req.OtherDomain = "" // fall back to the failure domain of the lost attempt
	return chooser.Pick(router, among, req, load)
}

// noneOfVersion returns the error for a stream whose version no listed replica runs. A replica that
// crashed is back within seconds, so the stream waits for a while.
func (p *picker) noneOfVersion(a generation.PickRequest) error {
	v := a.Binding.Version
	ago, known := p.software.tracker.LastListed(a.Service, v, clock.SinceBoot())
	barred := p.versionBarred(a.Service, v)
	if known && ago < versionGoneAfter && !barred && !a.Binding.Unknown {
		return &generation.Unavailable{Retryable: true, RetryAfter: waitForReplica, Err: errNoneOfVersion}
	}
	p.log.Emit(event.StreamVersionGone, "request", a.RequestID, "service", a.Service, "software", v, "rolled_back", barred,
		"listed_ms_ago", ago.Milliseconds())
	return &generation.Unavailable{Code: generation.CodeVersionGone, Err: errNoneOfVersion}
}

var errNoneOfVersion = Error.New("no backend server runs the version that began the stream")

func (p *picker) pickRequest(a generation.PickRequest) routing.PickRequest {
	req := routing.PickRequest{
		Priority:   a.Priority,
		Exclude:    a.Exclude,
		Resume:     a.Resume,
		FleetKnown: true,
		Usable:     p.mon.Usable,
		Healthy:    p.healthy,
		Accepts:    p.pressure.Filter(time.Now()),
	}
	req.Capacity = p.capacity(a.Service)
	req.Backlog = p.queues.of(a.Service).backlog(a)
	if a.Late {
		req.Backlog = idleOnly
	}
	size := p.sizeOf(a)
	req.PromptTokens, req.MemoryTokens, req.MemorySpread = size.prompt, size.memory(), size.spread
	if a.Yields {
		leaveRoom(&req)
	}
	return req
}

// capacity returns how many tokens an engine of the service can hold in memory, or 0 for a
// service that is not a model engine.
func (p *picker) capacity(service string) int {
	if t := p.table.Get(); t != nil {
		return t.Service(service).Memory
	}
	return 0
}

func (p *picker) healthy(id string) bool { return p.mon.State(id) == health.Healthy }

// tokensOf returns the number of tokens of a request's prompt and answer, or typical numbers
// if the request does not state its size.
func tokensOf(a generation.PickRequest) (prompt, answer int) {
	if a.PromptTokens <= 0 {
		return typicalPrompt, typicalAnswer
	}
	return a.PromptTokens, a.MaxAnswerTokens
}

// loadOf returns the load of a run on an engine that has the given number of tokens of its prompt
// cached.
func (z requestSize) loadOf(cached int) directory.Load {
	return directory.Load{
		Requests: 1,
		Reading:  float64(max(z.prompt-cached, 1)),
		Memory:   float64(z.memory()),
		Spread:   z.spread,
	}
}
