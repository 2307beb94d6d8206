package hosted

import (
	"context"
	"time"

	"wigeondale/admission"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/holders"
	"wigeondale/placement"
	"wigeondale/route"
	"wigeondale/routing"
)

const (
	// typicalPrompt and typicalAnswer are the tokens of a request that does not say: those
	// of an ordinary draft on the first deployments.
	typicalPrompt = 5000
	typicalAnswer = 1000
	// waitForReplica is how long a request waits before it looks again whether a
	// replica has come up.
	waitForReplica = 50 * time.Millisecond
	// unreadByCopy is the part of a prompt that is read again after a run goes on from
	// its copy: what had not arrived there.
	unreadByCopy = 0.05
)

// idleOnly is a bound on the backlog that only an engine keeps which reads no prompt.
const idleOnly = 1

// picker chooses replicas and standbys.
type picker struct {
	table   *route.Current
	dir     *directory.Directory
	mon     *health.Monitor
	plain   *routing.Router // of plain services
	work    *routing.Router // of engines
	home    *routing.Router // of engines, among a request's homes
	standby *routing.Router
	holders *holders.Finder
	log     *event.Log
	queues  queues
	survey  *survey
	// rollouts say which versions attempts may use; nil for any.
	rollouts *rollouts
	refusal  admission.RefusalPolicy
	// tellSoon has other routers told at once of a change.
	tellSoon func()
}

func newPicker(table *route.Current, dir *directory.Directory, mon *health.Monitor, find *holders.Finder, asks *survey, log *event.Log) (*picker, error) {
	p := &picker{refusal: admission.RefuseLate, survey: asks, table: table, dir: dir, mon: mon, holders: find, log: log, tellSoon: func() {}}
	for _, r := range []struct {
		to    **routing.Router
		steps []routing.StepConfig
	}{{&p.plain, plainSteps}, {&p.work, workSteps}, {&p.home, homeSteps}, {&p.standby, standbySteps}} {
		router, err := newRouter(r.steps)
		if err != nil {
			return nil, err
		}
		*r.to = router
	}
	return p, nil
}

// memoryWeight has free memory decide between engines that cause the same delay: a copy
// more or less is just more than what counts as equally good, and less than a run beside.
//
// What goes wrong without it: work goes to engines that keep many copies, whose memory
// runs out where a router knows a part of the loads only. It shows as runs that are put off.
const memoryWeight = 0.25

// plainSteps choose the replica of a plain service, workSteps the engine on which an
// attempt runs, standbySteps the one where its copy is kept. A copy is never the probe of
// a replica under suspicion: one that isn't made is noticed only when it is needed.
var (
	plainSteps = guarded(
		routing.StepConfig{Name: routing.FilterUsable},
		routing.StepConfig{Name: routing.ScoreLoad},
	)
	workSteps    = engineSteps(routing.FilterFresh)
	homeSteps    = engineSteps(routing.FilterFreshOnly)
	standbySteps = guarded(
		routing.StepConfig{Name: routing.FilterHealthy},
		routing.StepConfig{Name: routing.FilterFresh},
		routing.StepConfig{Name: routing.FilterMemory},
		routing.StepConfig{Name: routing.ScoreMemory},
	)
)

// engineSteps choose the engine that is to run an attempt, among those that a filter by the
// age of their reports keeps.
func engineSteps(byAge string) []routing.StepConfig {
	return guarded(
		routing.StepConfig{Name: routing.FilterUsable},
		routing.StepConfig{Name: byAge},
		routing.StepConfig{Name: routing.FilterMemory},
		routing.StepConfig{Name: routing.FilterBacklog},
		routing.StepConfig{Name: routing.ScoreDelay},
		routing.StepConfig{Name: routing.ScoreMemory, Weight: memoryWeight},
	)
}

// guarded puts what holds for each choice around the steps of one.
func guarded(steps ...routing.StepConfig) []routing.StepConfig {
	all := []routing.StepConfig{
		{Name: routing.FilterServes},
		{Name: routing.FilterLeaving},
		{Name: routing.FilterExclude},
		{Name: routing.FilterOtherDomain},
	}
	all = append(all, steps...)
	return append(all, routing.StepConfig{Name: routing.PickBest})
}

// Lookup implements generation.Picker.
func (p *picker) Lookup(id string) (fleet.Backend, bool) { return p.dir.Backend(id) }

// Pick implements generation.Picker. Whether a replica is leaving is looked up
// once more at the moment of sending.
func (p *picker) Pick(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	b, share, err := p.pick(ctx, a)
	one := p.rollouts.of(a.Service)
	switch {
	case one == nil:
	case err == nil:
		one.MarkSent(a.RequestID)
	case one.Unassign(a.RequestID): // the version on trial can't take it
		return p.Pick(ctx, a)
	}
	return b, share, err
}

func (p *picker) pick(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	if b, share, ok := p.preferred(a); ok {
		return b, share, nil
	}
	if b, share, ok := p.holder(ctx, a); ok {
		return b, share, nil
	}
	if p.capacity(a.Service) > 0 {
		return p.engine(ctx, a)
	}
	return p.choose(p.plain, p.candidates(a), a, directory.Load{Requests: 1})
}

// choose looks in other failure domains first than that of the attempt that was lost.
func (p *picker) choose(router *routing.Router, among []routing.Candidate, a generation.PickRequest, load directory.Load) (fleet.Backend, generation.LoadShare, error) {
	ask := p.ask(a)
	ask.OtherDomain = a.LostDomain
	chooser := placement.Chooser{Dir: p.dir, Mon: p.mon, RetryAfter: waitForReplica}
	b, share, err := chooser.Pick(router, among, ask, load)
	if err == nil || ask.OtherDomain == "" {
		return b, share, err
	}
	ask.OtherDomain = "" // better there than nowhere
	return chooser.Pick(router, among, ask, load)
}

// preferred is the replica that holds a copy of the run, if it takes work.
func (p *picker) preferred(a generation.PickRequest) (fleet.Backend, generation.LoadShare, bool) {
	if a.Prefer == "" || a.Exclude[a.Prefer] || p.dir.Leaving(a.Prefer) || !p.allowed(a.Prefer) {
		return fleet.Backend{}, nil, false
	}
	b, ok := p.dir.Backend(a.Prefer)
	if !ok || p.mon.State(a.Prefer) != health.Healthy {
		return fleet.Backend{}, nil, false
	}
	prompt, _ := tokensOf(a)
	p.queues.of(a.Service).losses.RecordLoss(time.Now())
	return b, p.dir.Begin(b.ID, loadOf(a, int((1-unreadByCopy)*float64(prompt)))), true
}

// holder is the replica that still holds the prompt of a client that came back.
func (p *picker) holder(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, bool) {
	if len(a.PromptParts) == 0 {
		return fleet.Backend{}, nil, false
	}
	var up []fleet.Backend
	for _, c := range p.mayHold(a) {
		if !p.dir.Leaving(c.Backend.ID) && p.healthy(c.Backend.ID) {
			up = append(up, c.Backend)
		}
	}
	id, tokens := p.holders.Find(ctx, up, a.PromptParts)
	p.log.Emit(event.HolderSought, "request", a.RequestID, "asked", len(up), "backend", id, "tokens", tokens)
	if tokens == 0 || p.dir.Leaving(id) {
		return fleet.Backend{}, nil, false
	}
	b, ok := p.dir.Backend(id)
	if !ok {
		return fleet.Backend{}, nil, false
	}
	return b, p.dir.Begin(id, loadOf(a, tokens)), true
}

// mayHold are the replicas that may hold the prompt of a client that came back: its homes,
// where prompts are placed by them, or all.
//
// What goes wrong if all are asked: when all routers end, all clients come back in one
// second, and each router asks each engine. It shows as engines whose work is delayed by
// thousands of questions.
func (p *picker) mayHold(a generation.PickRequest) []routing.Candidate {
	all := p.allowedReplicas(a.Service)
	if !p.survey.needed() || a.UniquePart == "" {
		return all
	}
	return routing.PreferredEngines(all, homeKey(a), 2*homes)
}

// KeepsCopy implements generation.Picker.
func (p *picker) KeepsCopy(id string) bool {
	return p.healthy(id) && !p.dir.Leaving(id) && p.allowed(id)
}

// Standby implements generation.Picker: a replica of another failure domain
// than b, so that the loss of one domain doesn't take the run and its copy.
func (p *picker) Standby(a generation.PickRequest, b fleet.Backend) (fleet.Backend, generation.LoadShare, bool) {
	ask := p.ask(a)
	ask.Now = time.Now()
	ask.Exclude = placement.WithID(a.Exclude, b.ID)
	ask.OtherDomain = b.FailureDomain
	ask.Capacity = int(p.queues.of(a.Service).losses.CopyShare(ask.Now) * float64(ask.Capacity))
	c, _, err := p.standby.Pick(p.allowedReplicas(a.Service), ask)
	if err != nil {
		return fleet.Backend{}, nil, false
	}
	return c.Backend, p.dir.Begin(c.Backend.ID, directory.Load{Memory: float64(ask.MemoryTokens)}), true
}

func (p *picker) ask(a generation.PickRequest) routing.PickRequest {
	ask := routing.PickRequest{
		Priority:   a.Priority,
		Exclude:    a.Exclude,
		Resume:     a.Resume,
		FleetKnown: true,
		Usable:     p.mon.Usable,
		Healthy:    p.healthy,
	}
	ask.Capacity = p.capacity(a.Service)
	ask.Backlog = p.queues.of(a.Service).backlog(a)
	if a.Late {
		ask.Backlog = idleOnly
	}
	prompt, answer := tokensOf(a)
	ask.PromptTokens, ask.MemoryTokens = prompt, prompt+answer
	return ask
}

// capacity is how many tokens an engine of the service holds, 0 for a plain service.
func (p *picker) capacity(service string) int {
	if t := p.table.Get(); t != nil {
		return t.Service(service).Memory
	}
	return 0
}

func (p *picker) healthy(id string) bool { return p.mon.State(id) == health.Healthy }

// tokensOf returns the tokens of a request's prompt and answer.
func tokensOf(a generation.PickRequest) (prompt, answer int) {
	if a.PromptTokens <= 0 {
		return typicalPrompt, typicalAnswer
	}
	return a.PromptTokens, a.MaxAnswerTokens
}

// loadOf is what a run takes of an engine that holds some tokens of its prompt.
func loadOf(a generation.PickRequest, held int) directory.Load {
	prompt, answer := tokensOf(a)
	return directory.Load{
		Requests: 1,
		Reading:  float64(max(prompt-held, 1)),
		Memory:   float64(prompt + answer),
	}
}
