package measure

import (
	"context"
	"fmt"
	"time"

	"wigeondale/fleet"
	"wigeondale/intent"
	"wigeondale/load"
)

// domainLoss kills all engines of one failure domain, in fleets with three and with four
// domains, while the fleet runs at full load, and starts them again later.
type domainLoss struct{}

// Name implements Experiment.
func (domainLoss) Name() string { return "domain-loss" }

// These constants describe the fleet and the load of the domain-loss experiment.
// draftsPerEngine is the number of long generations (drafts) per second that leaves about a
// tenth of an engine's slots free.
const (
	enginesPerDomain = 2
	draftsPerEngine  = 6
	lookupsPerEngine = 5
	lostDomain       = "bog-a"
)

// Fleets implements Experiment.
func (domainLoss) Fleets(m Mode) []Fleet {
	shapes := map[string][]string{
		"three": {lostDomain, "bog-b", "mde-a"},
		"four":  {lostDomain, "bog-b", "mde-a", "mde-b"},
	}
	policies := loadPolicies(m)
	if m == Full {
		policies = []Fleet{policies[0], policies[2], policies[4], policies[5]}
	}
	var out []Fleet
	for _, shape := range []string{"three", "four"} {
		for _, f := range policies {
			f.Name = shape + "-" + f.Name
			f.FailureDomains = shapes[shape]
			f.Engines, f.Routers = enginesPerDomain*len(f.FailureDomains), 3
			f.Engine = overloadEngine
			f.Accounts = []intent.Account{{ID: smallAccount, TokensPerSecond: unlimitedRate, Burst: unlimitedRate, MaxConcurrent: 100_000}}
			out = append(out, f)
		}
	}
	return out
}

// Run implements Experiment.
func (x domainLoss) Run(ctx context.Context, env *Env) error {
	times, n := overloadTimes{2 * time.Second, 4 * time.Second, 6500 * time.Millisecond}, 1
	if env.Mode == Full {
		times, n = overloadTimes{5 * time.Second, 13 * time.Second, 24 * time.Second}, 3
	}
	got, err := runSeeds(n, func(seed uint64) ([][]row, error) {
		return runOnFleets(ctx, env, func(ctx context.Context, r *Running, start time.Time) ([][]row, error) {
			return x.run(ctx, r, start, times, seed)
		})
	})
	if err != nil {
		return err
	}
	if err := saveLoadTables(env, got); err != nil {
		return err
	}
	return saveMedians(env, "resumes", []string{"policy", "resumed", "completed %", "resume p50 ms", "p90 ms", "p99 ms", "prefilled again/1000"}, got[2])
}

func (domainLoss) run(ctx context.Context, r *Running, start time.Time, t overloadTimes, seed uint64) ([][]row, error) {
	var script Script
	for _, fault := range []Step{{At: t.over, Fault: "kill"}, {At: t.normal, Fault: "start"}} {
		for i := 0; i < r.Engines; i += len(r.FailureDomains) {
			fault.Component = fmt.Sprintf("e%d", i+1)
			script = append(script, fault)
		}
	}
	played := make(chan error, 1)
	go func() { played <- script.Play(ctx, start, r) }()
	engines := float64(r.Engines)
	answers, err := driveLoads(ctx, start, []timedLoad{
		{0, Load{[]Class{shortDrafts.rate(draftsPerEngine * engines), pageLookups.rate(lookupsPerEngine * engines)}, seed, t.end}, clientSender(r, Account, APIKey)},
		{0, Load{[]Class{shortDrafts.rate(smallDrafts).named("small-draft")}, seed, t.end}, clientSender(r, smallAccount, smallAccount)},
		{t.over, Load{[]Class{probes}, seed, t.normal - t.over}, singleTrySender(r, Account, APIKey)},
	})
	if err != nil {
		return nil, err
	}
	if err := <-played; err != nil {
		return nil, err
	}
	tables, err := loadRows(ctx, r, answers, t.phases(), t.normal)
	if err != nil {
		return nil, err
	}
	resumed, err := resumeRow(ctx, r, answers)
	return append(tables, []row{resumed}), err
}

// resumeRow returns the figures of the answers that were resumed on another engine.
func resumeRow(ctx context.Context, r *Running, answers []Answer) (row, error) {
	rec, err := load.FetchRecord(ctx, r.Record())
	if err != nil {
		return row{}, err
	}
	resumedAt := rec.Resumes()
	attempts := attemptsOf(rec)
	var waits durations
	resumed, complete, delivered, again := 0, 0, 0, 0
	for i := range answers {
		a := &answers[i]
		delivered += len(a.Tokens)
		at := resumedAt[a.Request]
		if len(at) == 0 {
			continue
		}
		resumed++
		if a.Outcome == fleet.Complete {
			complete++
		}
		for _, n := range at {
			if n < len(a.Tokens) {
				waits = append(waits, a.Tokens[n]-a.Tokens[n-1])
			}
		}
		for _, try := range attempts[a.Request] {
			if try.ResumedAt > 0 {
				again += try.Prefilled
			}
		}
	}
	return row{[]string{r.Name}, []float64{float64(resumed), percent(complete, resumed), waits.at(0.5), waits.at(0.9), waits.at(0.99),
		1000 * float64(again) / float64(max(delivered, 1))}}, nil
}
