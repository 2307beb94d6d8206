package measure

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/fakes/engine"
	"wigeondale/fleet"
	"wigeondale/load"
	"wigeondale/settings"
)

// detection compares how soon a silent engine is given up: resume latency
// against extra work, over thresholds, beside fixed timeouts and start-over
// without resume.
type detection struct{}

// Name implements Experiment.
func (detection) Name() string { return "detection" }

// Engines of the detection experiment: one decode step of 30 ms, and 10,000
// prompt tokens a second of prefill.
const (
	detectionEngines = 8
	stepMS           = 30
	prefillRate      = 40_000 // bytes of prompt a second
	usPerSecond      = 1_000_000
)

var detectionEngine = engine.Config{
	Serves: []fleet.ModelRef{{Model: Model, Version: version}},
	StepMS: stepMS, PrefillUSPerBlock: fleet.BlockBytes * usPerSecond / prefillRate,
	MaxRunning: 64, CacheBlocks: 1024, ReportLagMS: 200, EventsLagMS: 300, EventsDropPercent: 5,
}

// baselineFleet is the one that ratios refer to.
const baselineFleet = "fixed-1s"

// candidate is one policy under comparison. The names of the sweep tell the
// tail exponent, the failures an hour (0.1 where not named) and the weights of
// resume latency and extra work.
type candidate struct {
	name      string
	startOver time.Duration // above 0: without routers, with this timeout
	policy    func(*settings.Policy)
}

func candidates() []candidate {
	return []candidate{
		{name: "start-over-1s", startOver: time.Second},
		{name: "fixed-300ms", policy: fixed(300)},
		{name: baselineFleet, policy: fixed(1000)},
		{name: "fixed-5s", policy: fixed(5000)},
		{name: "t2-2:1", policy: judged(weights{2, 1, 0.1, 2})},
		{name: "t2-1:1", policy: judged(weights{1, 1, 0.1, 2})},
		{name: "t2-1:2", policy: judged(weights{1, 2, 0.1, 2})},
		{name: "t2-f10-4:1", policy: judged(weights{4, 1, 10, 2})},
		{name: "t2-f10-2:1", policy: judged(weights{2, 1, 10, 2})},
		{name: "t2-f10-1:1", policy: judged(weights{1, 1, 10, 2})},
		{name: "t2-f10-1:2", policy: judged(weights{1, 2, 10, 2})},
		{name: "t2-f10-1:4", policy: judged(weights{1, 4, 10, 2})},
		{name: "t4-1:1", policy: judged(weights{1, 1, 0.1, 4})},
		{name: "t4-f10-1:1", policy: judged(weights{1, 1, 10, 4})},
	}
}

// The sweep's bounds on the threshold are wide, so that the weights decide.
const (
	sweepMinMS = 80
	sweepMaxMS = 8000
)

// weights are what the threshold follows from.
type weights struct{ latency, extra, failuresPerHour, tail float64 }

func fixed(ms int) func(*settings.Policy) {
	return func(p *settings.Policy) { p.FixedTimeoutMS = ms }
}

func judged(w weights) func(*settings.Policy) {
	return func(p *settings.Policy) {
		p.ResumeLatencyWeight, p.ExtraWorkWeight = w.latency, w.extra
		p.FailuresPerHour, p.TailExponent = w.failuresPerHour, w.tail
		p.MinSuspectMS, p.MaxSuspectMS = sweepMinMS, sweepMaxMS
	}
}

// Fleets implements Experiment.
func (detection) Fleets(Mode) []Fleet {
	var out []Fleet
	for _, c := range candidates() {
		f := Fleet{
			Name: c.name, FailureDomains: []string{"bog-a", "bog-b", "mde-a"},
			Engines: detectionEngines, Engine: detectionEngine, Routers: 1,
		}
		if c.startOver > 0 {
			f.Routers = 0
		} else {
			f.Set = func(s *settings.Settings) {
				c.policy(&s.Policy)
				s.Policy.PrefillBytesPerSecond = prefillRate
				s.Policy.MaxWaitMS = 20000
			}
		}
		out = append(out, f)
	}
	return out
}

// detectionPlan is how long one run lasts and how dense its faults are.
type detectionPlan struct {
	seeds    int
	duration time.Duration
	first    time.Duration // of the faults
	every    time.Duration // between two faults
}

func planOf(m Mode) detectionPlan {
	if m == Full {
		return detectionPlan{seeds: 3, duration: 48 * time.Second, first: 4 * time.Second, every: 1500 * time.Millisecond}
	}
	return detectionPlan{seeds: 1, duration: 17 * time.Second, first: 3 * time.Second, every: time.Second}
}

// Run implements Experiment.
func (detection) Run(ctx context.Context, env *Env) error {
	plan := planOf(env.Mode)
	results := make([][]tally, len(env.Fleets))
	for seed := range plan.seeds {
		tallies, err := runDetection(ctx, env, plan, uint64(seed+1))
		if err != nil {
			return err
		}
		for i, t := range tallies {
			results[i] = append(results[i], t)
		}
	}
	return reportDetection(env, results)
}

// runDetection sends one seed's load and faults to all fleets at once.
func runDetection(ctx context.Context, env *Env, plan detectionPlan, seed uint64) ([]tally, error) {
	l := Load{Classes: []Class{Drafts, Lookups}, Seed: seed, Duration: plan.duration}
	events := detectionFaults(plan)
	start := time.Now().Add(100 * time.Millisecond)
	out := make([]tally, len(env.Fleets))
	g, ctx := errgroup.WithContext(ctx)
	for i, r := range env.Fleets {
		g.Go(func() error {
			var err error
			out[i], err = runFleet(ctx, r, candidates()[i], l, start, events)
			if err != nil {
				return fmt.Errorf("fleet %s, seed %d: %w", r.Name, seed, err)
			}
			return nil
		})
	}
	return out, g.Wait()
}

func runFleet(ctx context.Context, r *Running, c candidate, l Load, start time.Time, events []fault) (tally, error) {
	played := make(chan error, 1)
	go func() { played <- playFaults(ctx, start, r, events) }()
	send := ThroughRouters
	if c.startOver > 0 {
		s := newStartOver(r, engineIDs(), c.startOver, max(c.startOver, firstTokenLimit))
		send = func(*Running) Sender { return s.send }
	}
	answers, err := Drive(ctx, start, l, send(r))
	if err != nil {
		return tally{}, err
	}
	if err := <-played; err != nil {
		return tally{}, err
	}
	// What a thawed engine goes on generating for nobody ends by its linger.
	if !load.SleepUntil(ctx, time.Now().Add(settleTime)) {
		return tally{}, Error.Wrap(ctx.Err())
	}
	rec, err := load.FetchRecord(ctx, r.Record())
	if err != nil {
		return tally{}, err
	}
	return newTally(answers, rec, events), nil
}

const (
	// firstTokenLimit is the start-over client's wait for a first token.
	firstTokenLimit = 5 * time.Second
	settleTime      = time.Second
)

func engineIDs() []string {
	var out []string
	for i := range detectionEngines {
		out = append(out, fmt.Sprintf("e%d", i+1))
	}
	return out
}
