package hosted

import (
	"context"
	"time"

	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/holders"
	"wigeondale/placement"
	"wigeondale/routing"
)

const (
	// standbyCost is what keeping a copy costs a replica, against running it.
	// It takes as much memory, and a part of the work.
	standbyCost = 0.5
	// tokensOfOne is the size of an ordinary request in tokens.
	tokensOfOne = 6000
	// waitForReplica is how long a request waits before it looks again whether a
	// replica has come up.
	waitForReplica = 50 * time.Millisecond
)

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
	chooser := placement.Chooser{Dir: p.dir, Mon: p.mon, Wait: waitForReplica}
	b, done, err := chooser.Pick(p.work, p.dir.Service(a.Service), ask, cost(a.Size))
	if err == nil || ask.OtherDomain == "" {
		return b, done, err
	}
	ask.OtherDomain = "" // better there than nowhere
	return chooser.Pick(p.work, p.dir.Service(a.Service), ask, cost(a.Size))
}

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
	ask.Exclude = placement.With(a.Exclude, b.ID)
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
