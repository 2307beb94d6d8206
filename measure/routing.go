package measure

import (
	"context"
	"time"

	"wigeondale/fakes/engine"
	"wigeondale/fleet"
	"wigeondale/load"
	"wigeondale/routing"
	"wigeondale/settings"
)

// routingChoice compares routing policies while load reports are outdated and cache events
// arrive late and with gaps.
type routingChoice struct{}

// Name implements Experiment.
func (routingChoice) Name() string { return "routing" }

// These constants describe the engines of the routing experiment, and the lag and the loss
// of their load reports and cache events.
const (
	routingEngines = 9
	reportLagMS    = 1000
	eventsLagMS    = 500
	eventsDrop     = 10 // percent
)

var (
	routingDrafts = Class{Name: "draft", Rate: 18, MaxTokens: 60, PromptBytes: 8 << 10, Documents: 60,
		Priority: fleet.Batch, Timeout: 20 * time.Second}
	routingLookups = Class{Name: "lookup", Rate: 60, MaxTokens: 6, PromptBytes: 1 << 10, Documents: 60,
		Priority: fleet.Interactive, Timeout: 5 * time.Second}
)

// routingSteps returns the policies under comparison by name. The policy without steps is the
// default of package routing.
func routingSteps() map[string][]routing.StepConfig {
	pick := func(scorers ...routing.StepConfig) []routing.StepConfig {
		steps := []routing.StepConfig{
			{Name: routing.FilterServes}, {Name: routing.FilterRole}, {Name: routing.FilterLeaving},
			{Name: routing.FilterExclude}, {Name: routing.FilterUsable},
		}
		return append(steps, scorers...)
	}
	two := routing.StepConfig{Name: routing.PickTwoChoices}
	return map[string][]routing.StepConfig{
		"random":            pick(routing.StepConfig{Name: routing.PickRandom}),
		"report-least":      pick(routing.StepConfig{Name: routing.ScoreReported}, routing.StepConfig{Name: routing.PickArgmax}),
		"report-two":        pick(routing.StepConfig{Name: routing.ScoreReported}, two),
		"estimate-least":    pick(routing.StepConfig{Name: routing.ScoreLoad}, routing.StepConfig{Name: routing.PickArgmax}),
		"estimate-two":      pick(routing.StepConfig{Name: routing.ScoreLoad}, two),
		"with-rendezvous":   pick(routing.StepConfig{Name: routing.ScoreLoad}, routing.StepConfig{Name: routing.ScoreRendezvous, Weight: 0.4}, two),
		"with-cache-events": pick(routing.StepConfig{Name: routing.ScoreLoad}, routing.StepConfig{Name: routing.ScorePrefix, Weight: 0.5}, two),
		"default":           nil,
	}
}

// Fleets implements Experiment.
func (routingChoice) Fleets(m Mode) []Fleet {
	names := []string{"random", "report-least", "report-two", "estimate-least", "estimate-two", "with-rendezvous", "with-cache-events", "default"}
	if m == Quick {
		names = []string{"random", "report-two", "default"}
	}
	var out []Fleet
	for _, name := range names {
		steps := routingSteps()[name]
		out = append(out, Fleet{
			Name: name, FailureDomains: []string{"bog-a", "bog-b", "mde-a"}, Routers: 3,
			Engines: routingEngines,
			Engine: engine.Config{
				Serves: []fleet.ModelRef{{Model: Model, Version: version}},
				StepMS: 20, PrefillUSPerBlock: 8000, MaxRunning: 16, CacheBlocks: 1024,
				ReportLagMS: reportLagMS, EventsLagMS: eventsLagMS, EventsDropPercent: eventsDrop,
			},
			Set: func(s *settings.Settings) {
				for _, step := range steps {
					s.Routing.Steps = append(s.Routing.Steps, settings.Step(step))
				}
			},
		})
	}
	return out
}

// Run implements Experiment.
func (x routingChoice) Run(ctx context.Context, env *Env) error {
	length, n := 4*time.Second, 1
	if env.Mode == Full {
		length, n = 20*time.Second, 3
	}
	got, err := runSeeds(n, func(seed uint64) ([][]row, error) {
		return runOnFleets(ctx, env, func(ctx context.Context, r *Running, start time.Time) ([][]row, error) {
			l := Load{Classes: []Class{routingDrafts, routingLookups}, Seed: seed, Duration: length}
			return x.run(ctx, r, start, l)
		})
	})
	if err != nil {
		return err
	}
	return saveMedians(env, "policies", []string{"policy", "class", "sent", "complete %", "prefix hits %",
		"first token p50 ms", "p90 ms", "p99 ms", "whole p50 ms"}, got[0])
}

func (routingChoice) run(ctx context.Context, r *Running, start time.Time, l Load) ([][]row, error) {
	answers, err := Drive(ctx, start, l, ThroughRouters(r))
	if err != nil {
		return nil, err
	}
	rec, err := load.FetchRecord(ctx, r.Record())
	if err != nil {
		return nil, err
	}
	attempts := attemptsOf(rec)
	var rows []row
	for _, c := range l.Classes {
		rows = append(rows, routingRow(r.Name, c, answers, attempts))
	}
	return [][]row{rows}, nil
}

func routingRow(name string, c Class, answers []Answer, attempts map[string][]engineAttempt) row {
	var s answerStats
	prefilled, promptTokens := 0, 0
	for i := range answers {
		a := &answers[i]
		if a.Class != c.Name {
			continue
		}
		s.add(a)
		for _, try := range attempts[a.Request] {
			prefilled += try.Prefilled
			promptTokens += len(a.Prompt) / bytesPerToken
		}
	}
	return row{[]string{name, c.Name}, []float64{float64(s.sent), percent(s.complete, s.sent), 100 - percent(prefilled, promptTokens),
		s.first.at(0.5), s.first.at(0.9), s.first.at(0.99), s.total.at(0.5)}}
}

// bytesPerToken is the size of a prompt token of the stand-in engines.
const bytesPerToken = 4
