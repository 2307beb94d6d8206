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

// detection compares policies for the silence after which an engine counts as failed. A
// shorter silence reduces the latency of resumes but causes more extra work. The policies
// are the learned threshold with several weights, fixed timeouts, and clients that start
// requests over without resume.
type detection struct{}

// Name implements Experiment.
func (detection) Name() string { return "detection" }

// These constants describe the engines of the detection experiment: a decode step takes 30
// ms, and 10,000 prompt tokens are prefilled per second.
const (
	detectionEngines = 8
	stepMS           = 30
	prefillRate      = 40_000 // bytes of prompt per second
	usPerSecond      = 1_000_000
)

var detectionEngine = engine.Config{
	Serves: []fleet.ModelRef{{Model: Model, Version: version}},
	StepMS: stepMS, PrefillUSPerBlock: fleet.BlockBytes * usPerSecond / prefillRate,
	MaxRunning: 64, CacheBlocks: 1024, ReportLagMS: 200, EventsLagMS: 300, EventsDropPercent: 5,
}

// baselineFleet is the fleet whose results are the denominators of all ratios in the
// results.
const baselineFleet = "fixed-1s"

// candidate is one policy under comparison. In the names of the policies with a learned
// threshold (the sweep), t is the tail exponent, f the failures per hour (0.1 if absent),
// and the last part the weights of resume latency and extra work.
type candidate struct {
	name      string
	startOver time.Duration // if above 0, clients connect to engines directly, with this timeout
	policy    func(*settings.Policy)
}

func candidates() []candidate {
	return []candidate{
		{name: "start-over-1s", startOver: time.Second},
		{name: "fixed-300ms", policy: fixedTimeout(300)},
		{name: baselineFleet, policy: fixedTimeout(1000)},
		{name: "fixed-5s", policy: fixedTimeout(5000)},
		{name: "t2-2:1", policy: learnedThreshold(thresholdWeights{2, 1, 0.1, 2})},
		{name: "t2-1:1", policy: learnedThreshold(thresholdWeights{1, 1, 0.1, 2})},
		{name: "t2-1:2", policy: learnedThreshold(thresholdWeights{1, 2, 0.1, 2})},
		{name: "t2-f10-4:1", policy: learnedThreshold(thresholdWeights{4, 1, 10, 2})},
		{name: "t2-f10-2:1", policy: learnedThreshold(thresholdWeights{2, 1, 10, 2})},
		{name: "t2-f10-1:1", policy: learnedThreshold(thresholdWeights{1, 1, 10, 2})},
		{name: "t2-f10-1:2", policy: learnedThreshold(thresholdWeights{1, 2, 10, 2})},
		{name: "t2-f10-1:4", policy: learnedThreshold(thresholdWeights{1, 4, 10, 2})},
		{name: "t4-1:1", policy: learnedThreshold(thresholdWeights{1, 1, 0.1, 4})},
		{name: "t4-f10-1:1", policy: learnedThreshold(thresholdWeights{1, 1, 10, 4})},
	}
}

// The sweep sets wide bounds on the threshold, so that the weights and not the bounds
// determine the threshold.
const (
	sweepMinMS = 80
	sweepMaxMS = 8000
)

// thresholdWeights holds the policy settings from which routers compute the silence after
// which an engine counts as failed.
type thresholdWeights struct{ latency, extra, failuresPerHour, tail float64 }

func fixedTimeout(ms int) func(*settings.Policy) {
	return func(p *settings.Policy) { p.FixedTimeoutMS = ms }
}

func learnedThreshold(w thresholdWeights) func(*settings.Policy) {
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

// detectionPlan sets the number of runs (seeds), their length and the times of the faults.
type detectionPlan struct {
	seeds    int
	duration time.Duration
	first    time.Duration // time of the first fault
	every    time.Duration // time between two faults
}

func detectionPlanFor(m Mode) detectionPlan {
	if m == Full {
		return detectionPlan{seeds: 3, duration: 48 * time.Second, first: 4 * time.Second, every: 1500 * time.Millisecond}
	}
	return detectionPlan{seeds: 1, duration: 17 * time.Second, first: 3 * time.Second, every: time.Second}
}

// Run implements Experiment.
func (detection) Run(ctx context.Context, env *Env) error {
	plan := detectionPlanFor(env.Mode)
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

// runDetection runs the load and the faults of one seed on all fleets at the same time.
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
	// Wait until thawed engines have stopped generating: without a client, an engine goes
	// on until the linger time of the stream has passed.
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
	// firstTokenLimit is the time for which the start-over client waits for a first token.
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
