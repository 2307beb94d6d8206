package measure

import (
	"context"
	"time"

	"wigeondale/fakes/engine"
	"wigeondale/fleet"
	"wigeondale/intent"
	"wigeondale/load"
	"wigeondale/settings"
)

// overload sends about twice what the engines can take for a while, then the
// normal load again.
type overload struct{}

// Name implements Experiment.
func (overload) Name() string { return "overload" }

// Accounts of the overload experiment: Account is the large one.
const smallAccount = "small"

// Six engines of 16 places and drafts of 2 s: 48 drafts a second, less what
// the lookups take.
const (
	overloadEngines = 6
	normalDrafts    = 20 // a second, of the large account
	excessDrafts    = 70 // a second, on top, while overloaded
	smallDrafts     = 2
)

var (
	shortDrafts = Class{Name: "draft", MaxTokens: 100, PromptBytes: 2 << 10, Documents: 32,
		Priority: fleet.Batch, Timeout: 5 * time.Second}
	pageLookups = Class{Name: "lookup", Rate: 30, MaxTokens: 8, PromptBytes: 512, Documents: 32,
		Priority: fleet.Interactive, Timeout: time.Second}
	probes = Class{Name: "probe", Rate: 10, MaxTokens: 100, PromptBytes: 2 << 10, Documents: 32,
		Priority: fleet.Batch, Timeout: 5 * time.Second}
)

func (c Class) rate(perSecond float64) Class {
	c.Rate = perSecond
	return c
}

func (c Class) named(name string) Class {
	c.Name = name
	return c
}

// openRequests is a bound per engine that never binds: admission is then out,
// and requests queue and are refused at the engines alone.
const openRequests = 100_000

// loadPolicies names the settings under comparison.
func loadPolicies(m Mode) []Fleet {
	set := func(perEngine, reserve, retry int) func(*settings.Settings) {
		return func(s *settings.Settings) {
			s.Limits.RequestsPerEngine = perEngine
			s.Limits.ReservePercent = reserve
			s.Policy.RetryBudgetPercent = retry
		}
	}
	all := []Fleet{
		{Name: "engines-alone", Set: set(openRequests, 0, 20)},
		{Name: "engines-alone-retry-100", Set: set(openRequests, 0, 100)},
		{Name: "fixed-64", Set: set(64, 12, 20)},
		{Name: "fixed-16", Set: set(16, 12, 20)},
		{Name: "learned-no-reserve", Set: set(0, 0, 20)},
		{Name: "default"},
	}
	if m == Quick {
		return []Fleet{all[0], all[4], all[5]}
	}
	return all
}

// Fleets implements Experiment.
func (overload) Fleets(m Mode) []Fleet {
	var out []Fleet
	for _, f := range loadPolicies(m) {
		f.FailureDomains = []string{"bog-a", "bog-b", "mde-a"}
		f.Engines, f.Routers = overloadEngines, 3
		f.Engine = overloadEngine
		f.Accounts = []intent.Account{{ID: smallAccount, TokensPerSecond: unlimitedRate, Burst: unlimitedRate, MaxConcurrent: 100_000}}
		out = append(out, f)
	}
	return out
}

var overloadEngine = engine.Config{
	Serves: []fleet.ModelRef{{Model: Model, Version: version}},
	StepMS: 20, PrefillUSPerBlock: 1500, MaxRunning: 16, MaxWaiting: 16, CacheBlocks: 1024,
	ReportLagMS: 200, EventsLagMS: 300, EventsDropPercent: 5,
}

// overloadTimes are the moments at which the load changes.
type overloadTimes struct{ over, normal, end time.Duration }

func (t overloadTimes) phases() []stretch {
	return []stretch{{"before", 0, t.over}, {"overload", t.over, t.normal}, {"after", t.normal, t.end}}
}

// stretch is a time between two moments, by the arrival of requests.
type stretch struct {
	name     string
	from, to time.Duration
}

// Run implements Experiment.
func (x overload) Run(ctx context.Context, env *Env) error {
	times, n := overloadTimes{2 * time.Second, 5 * time.Second, 8 * time.Second}, 1
	if env.Mode == Full {
		times, n = overloadTimes{4 * time.Second, 12 * time.Second, 26 * time.Second}, 3
	}
	got, err := seeds(n, func(seed uint64) ([][]row, error) {
		return eachFleet(ctx, env, func(ctx context.Context, r *Running, start time.Time) ([][]row, error) {
			return x.run(ctx, r, start, times, seed)
		})
	})
	if err != nil {
		return err
	}
	return saveLoadTables(env, got)
}

func saveLoadTables(env *Env, got [][][]row) error {
	err := saveMedians(env, "phases", []string{"policy", "phase", "class", "sent", "complete %", "first token p50 ms", "p99 ms", "whole p50 ms", "p99 ms"}, got[0])
	if err != nil {
		return err
	}
	return saveMedians(env, "summary", []string{"policy", "started", "survived %", "refused", "refusal p50 ms", "p99 ms", "with Retry-After %", "Retry-After p50 s",
		"untrue not-run", "extra tokens/1000", "useful tokens/s", "recovered after s", "worst second %"}, got[1])
}

func (x overload) run(ctx context.Context, r *Running, start time.Time, t overloadTimes, seed uint64) ([][]row, error) {
	large, small := as(r, Account, APIKey), as(r, smallAccount, smallAccount)
	answers, err := driveParts(ctx, start, []part{
		{0, Load{[]Class{shortDrafts.rate(normalDrafts), pageLookups}, seed, t.end}, large},
		{0, Load{[]Class{shortDrafts.rate(smallDrafts).named("small-draft")}, seed, t.end}, small},
		{t.over, Load{[]Class{shortDrafts.rate(excessDrafts)}, seed + 100, t.normal - t.over}, large},
		{t.over, Load{[]Class{probes}, seed, t.normal - t.over}, once(r, Account, APIKey)},
	})
	if err != nil {
		return nil, err
	}
	return loadRows(ctx, r, answers, t.phases(), t.normal)
}

// loadRows makes the rows of both tables.
func loadRows(ctx context.Context, r *Running, answers []Answer, phases []stretch, normal time.Duration) ([][]row, error) {
	rec, err := load.FetchRecord(ctx, r.Record())
	if err != nil {
		return nil, err
	}
	var rows []row
	for _, p := range phases {
		for _, class := range []string{"lookup", "draft", "small-draft"} {
			rows = append(rows, phaseRow(r.Name, p, class, answers))
		}
	}
	return [][]row{rows, {summaryRow(r.Name, answers, rec, phases, normal)}}, nil
}

func phaseRow(name string, p stretch, class string, answers []Answer) row {
	var s answered
	for i := range answers {
		a := &answers[i]
		if a.Class != class || a.Began < p.from || a.Began >= p.to {
			continue
		}
		s.add(a)
	}
	return row{[]string{name, p.name, class}, []float64{float64(s.sent), percent(s.complete, s.sent),
		s.first.at(0.5), s.first.at(0.99), s.whole.at(0.5), s.whole.at(0.99)}}
}

// summaryRow sums up one run: what was started must end whole, what was
// refused must be told at once, truly and with a time to come back.
func summaryRow(name string, answers []Answer, rec *load.Record, phases []stretch, normal time.Duration) row {
	var refusal durations
	var advice durations
	started, survived, refused, advised, untrue, useful, made := 0, 0, 0, 0, 0, 0, 0
	attempts := attemptsOf(rec)
	for i := range answers {
		a := &answers[i]
		made += generated(attempts[a.Request]) // the record holds earlier runs too
		if len(a.Tokens) > 0 {
			started++
		}
		if len(a.Tokens) > 0 && a.Outcome == fleet.Complete {
			survived++
			useful += len(a.Tokens)
		}
		if a.Outcome == fleet.NotRun && generated(attempts[a.Request]) > 0 {
			untrue++
		}
		if a.Class != probes.Name || a.Outcome != fleet.NotRun {
			continue
		}
		refused++
		refusal = append(refusal, a.Ended-a.Began)
		if a.RetryWait > 0 {
			advised++
			advice = append(advice, a.RetryWait)
		}
	}
	end := phases[len(phases)-1].to
	recovered, worst := recovery(answers, phases[0], normal, end)
	return row{[]string{name}, []float64{float64(started), percent(survived, started), float64(refused), refusal.at(0.5), refusal.at(0.99),
		percent(advised, refused), advice.at(0.5) / 1000, float64(untrue), 1000 * float64(made-useful) / float64(max(useful, 1)),
		float64(useful) / end.Seconds(), recovered, worst}}
}

func generated(list []tried) int {
	n := 0
	for _, try := range list {
		n += try.Generated
	}
	return n
}

// recovery looks at the requests that arrive in each second after the load is
// normal again: a second is good when 95 of 100 get their first token within
// three times the median of before. It returns the seconds until the first
// good one, and of the worst second after it the share that was good: 100
// means that there was no second dip.
func recovery(answers []Answer, before stretch, normal, end time.Duration) (after, worst float64) {
	limit := map[string]time.Duration{}
	for _, class := range []string{"lookup", "draft"} {
		p50 := phaseRow("", before, class, answers).vals[2]
		limit[class] = time.Duration(3 * p50 * float64(time.Millisecond))
	}
	const good = 95
	after, worst = -1, -1
	for from := normal; from+time.Second <= end; from += time.Second {
		share := inTime(answers, from, limit)
		if after < 0 && share >= good {
			after, worst = (from - normal).Seconds(), share
		}
		if after >= 0 {
			worst = min(worst, share)
		}
	}
	return after, worst
}

func inTime(answers []Answer, from time.Duration, limit map[string]time.Duration) float64 {
	sent, ok := 0, 0
	for i := range answers {
		a := &answers[i]
		bound, counted := limit[a.Class]
		if !counted || a.Began < from || a.Began >= from+time.Second {
			continue
		}
		sent++
		if a.Outcome == fleet.Complete && a.Tokens[0]-a.Began <= bound {
			ok++
		}
	}
	return percent(ok, sent)
}
