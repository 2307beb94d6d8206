package measure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"wigeondale/fleet"
	"wigeondale/intent"
)

// limit disconnects three routers from each other. It measures how much of the load of
// client accounts is admitted while no link between the routers works, relative to the
// accounts' limits for the complete fleet.
type limit struct{}

// Name implements Experiment.
func (limit) Name() string { return "limit" }

// These constants describe the two client accounts of the limit experiment. Each account
// sends five times its limit: evenAccount equally to all routers, skewedAccount mostly to
// the first router.
const (
	evenAccount      = "even"
	skewedAccount    = "skewed"
	accountRate      = 2000.0 // tokens per second
	overDemand       = 5.0    // demand as a multiple of the limit
	skewShare        = 0.8    // share of the skewed account's demand at the first router
	limitPromptBytes = 400
	limitMaxTokens   = 20
	limitCost        = limitPromptBytes/bytesPerToken + limitMaxTokens
)

var limitClass = Class{Name: "ask", MaxTokens: limitMaxTokens, PromptBytes: limitPromptBytes, Documents: 8,
	Priority: fleet.Batch, Timeout: 5 * time.Second}

// Fleets implements Experiment.
func (limit) Fleets(Mode) []Fleet {
	f := Fleet{Name: "three-routers", FailureDomains: []string{"bog-a", "bog-b", "mde-a"},
		Engines: overloadEngines, Engine: overloadEngine, Routers: 3, PeerRelays: true}
	f.Engine.StepMS = 5
	for _, id := range []string{evenAccount, skewedAccount} {
		f.Accounts = append(f.Accounts, intent.Account{ID: id, TokensPerSecond: accountRate, Burst: accountRate / 4, MaxConcurrent: 100_000})
	}
	return []Fleet{f}
}

// Run implements Experiment.
func (x limit) Run(ctx context.Context, env *Env) error {
	each, n := 2*time.Second, 1
	if env.Mode == Full {
		each, n = 6*time.Second, 3
	}
	got, err := runSeeds(n, func(seed uint64) ([][]row, error) {
		return runOnFleets(ctx, env, func(ctx context.Context, r *Running, start time.Time) ([][]row, error) {
			return x.run(ctx, r, start, each, seed)
		})
	})
	if err != nil {
		return err
	}
	return saveMedians(env, "overshoot", []string{"account", "links", "sent", "admitted tokens/s", "of the limit", "worst second of the limit", "refusal p99 ms"}, got[0])
}

func (limit) run(ctx context.Context, r *Running, start time.Time, each time.Duration, seed uint64) ([][]row, error) {
	played := make(chan error, 1)
	go func() { played <- limitScript(r, each).Play(ctx, start, r) }()
	answers, err := driveLoads(ctx, start, limitLoads(r, each, seed))
	if err != nil {
		return nil, err
	}
	if err := <-played; err != nil {
		return nil, err
	}
	var rows []row
	for _, account := range []string{evenAccount, skewedAccount} {
		for i, state := range []string{"whole", "cut", "healed"} {
			from := time.Duration(i) * each
			if i == 0 {
				from = time.Second // leaves out the time until routers know each other's demand
			}
			rows = append(rows, limitRow(account, phase{state, from, time.Duration(i+1) * each}, answers))
		}
	}
	return [][]row{rows}, nil
}

// limitScript interrupts all links between routers and later restores them.
func limitScript(r *Running, each time.Duration) Script {
	var script Script
	for i, fault := range []string{"cut", "heal"} {
		for k := range r.Routers {
			script = append(script, Step{At: time.Duration(i+1) * each, Component: relayID(k), Fault: fault})
		}
	}
	return script
}

// limitLoads returns the load of both accounts at each router.
func limitLoads(r *Running, each time.Duration, seed uint64) []timedLoad {
	total := overDemand * accountRate / limitCost // requests per second
	var out []timedLoad
	for k, endpoint := range r.Endpoints {
		one := *r
		one.Endpoints = []string{endpoint}
		share := skewShare
		if k > 0 {
			share = (1 - skewShare) / float64(r.Routers-1)
		}
		loads := map[string]float64{evenAccount: total / float64(r.Routers), skewedAccount: total * share}
		for account, rate := range loads {
			class := limitClass.rate(rate).named(fmt.Sprintf("%s-%d", account, k))
			out = append(out, timedLoad{0, Load{[]Class{class}, seed, 3 * each}, singleTrySender(&one, account, account)})
		}
	}
	return out
}

// limitRow returns the figures of one account for the requests that arrived in a phase.
func limitRow(account string, s phase, answers []Answer) row {
	var refusal durations
	sent, admitted := 0, 0.0
	seconds := make([]float64, int((s.to-s.from)/time.Second))
	for i := range answers {
		a := &answers[i]
		if !strings.HasPrefix(a.Class, account) || a.StartedAt < s.from || a.StartedAt >= s.to {
			continue
		}
		sent++
		if a.Outcome != fleet.Complete {
			refusal = append(refusal, a.EndedAt-a.StartedAt)
			continue
		}
		cost := float64(len(a.Prompt)/bytesPerToken + a.MaxTokens)
		admitted += cost
		if k := int((a.StartedAt - s.from) / time.Second); k < len(seconds) {
			seconds[k] += cost
		}
	}
	worst := 0.0
	for _, v := range seconds {
		worst = max(worst, v)
	}
	rate := admitted / (s.to - s.from).Seconds()
	return row{[]string{account, s.name}, []float64{float64(sent), rate, rate / accountRate, worst / accountRate, refusal.at(0.99)}}
}
