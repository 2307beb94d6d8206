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

// overload sends about twice the load that the engines can serve for a while, then the normal
// load again.
type overload struct{}

// Name implements Experiment.
func (overload) Name() string { return "overload" }

// The overload experiment has two client accounts: Account, which sends most of the load,
// and smallAccount.
const smallAccount = "small"

// Six engines with 16 slots each and generations of 2 s (drafts) give a capacity of 48 drafts per
// second, less what the short generations (lookups) use.
const (
	overloadEngines = 6
	normalDrafts    = 20 // per second, of Account
	excessDrafts    = 70 // per second, in addition, during the overload
	smallDrafts     = 2  // per second, of smallAccount
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

// unlimitedRequests is a limit on requests per engine that is never reached. It disables admission
// control, so that only the engines queue and refuse requests.
const unlimitedRequests = 100_000

// loadPolicies returns fleets with the names and settings of the policies under comparison.
func loadPolicies(m Mode) []Fleet {
	set := func(perEngine, reserve, retry int) func(*settings.Settings) {
		return func(s *settings.Settings) {
			s.Limits.RequestsPerEngine = perEngine
			s.Limits.ReservePercent = reserve
			s.Policy.RetryBudgetPercent = retry
		}
	}
	all := []Fleet{
		{Name: "engines-alone", Set: set(unlimitedRequests, 0, 20)},
		{Name: "engines-alone-retry-100", Set: set(unlimitedRequests, 0, 100)},
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

// overloadTimes holds the times at which the overload starts (over), the load returns to
// normal (normal) and the load ends (end).
type overloadTimes struct{ over, normal, end time.Duration }

func (t overloadTimes) phases() []phase {
	return []phase{{"before", 0, t.over}, {"overload", t.over, t.normal}, {"after", t.normal, t.end}}
}

// phase is a span of time; a request belongs to the phase in which it arrived.
type phase struct {
	name     string
	from, to time.Duration
}

// Run implements Experiment.
func (x overload) Run(ctx context.Context, env *Env) error {
	times, n := overloadTimes{2 * time.Second, 5 * time.Second, 8 * time.Second}, 1
	if env.Mode == Full {
		times, n = overloadTimes{4 * time.Second, 12 * time.Second, 26 * time.Second}, 3
	}
	got, err := runSeeds(n, func(seed uint64) ([][]row, error) {
		return runOnFleets(ctx, env, func(ctx context.Context, r *Running, start time.Time) ([][]row, error) {
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
	large, small := clientSender(r, Account, APIKey), clientSender(r, smallAccount, smallAccount)
	answers, err := driveLoads(ctx, start, []timedLoad{
		{0, Load{[]Class{shortDrafts.rate(normalDrafts), pageLookups}, seed, t.end}, large},
		{0, Load{[]Class{shortDrafts.rate(smallDrafts).named("small-draft")}, seed, t.end}, small},
		{t.over, Load{[]Class{shortDrafts.rate(excessDrafts)}, seed + 100, t.normal - t.over}, large},
		{t.over, Load{[]Class{probes}, seed, t.normal - t.over}, singleTrySender(r, Account, APIKey)},
	})
	if err != nil {
		return nil, err
	}
	return loadRows(ctx, r, answers, t.phases(), t.normal)
}

// loadRows returns the rows of the tables phases and summary.
func loadRows(ctx context.Context, r *Running, answers []Answer, phases []phase, normal time.Duration) ([][]row, error) {
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

func phaseRow(name string, p phase, class string, answers []Answer) row {
	var s answerStats
	for i := range answers {
		a := &answers[i]
		if a.Class != class || a.StartedAt < p.from || a.StartedAt >= p.to {
			continue
		}
		s.add(a)
	}
	return row{[]string{name, p.name, class}, []float64{float64(s.sent), percent(s.complete, s.sent),
		s.first.at(0.5), s.first.at(0.99), s.total.at(0.5), s.total.at(0.99)}}
}

// summaryRow returns the figures of one run that show whether started requests complete and
// whether refusals are fast, correct and have a Retry-After.
func summaryRow(name string, answers []Answer, rec *load.Record, phases []phase, normal time.Duration) row {
	var refusal durations
	var retryAfters durations
	started, survived, refused, withRetryAfter, wrongNotRun, useful, generated := 0, 0, 0, 0, 0, 0, 0
	attempts := attemptsOf(rec)
	for i := range answers {
		a := &answers[i]
		generated += generatedTokens(attempts[a.Request]) // by request, since the record contains earlier runs too
		if len(a.Tokens) > 0 {
			started++
		}
		if len(a.Tokens) > 0 && a.Outcome == fleet.Complete {
			survived++
			useful += len(a.Tokens)
		}
		if a.Outcome == fleet.NotRun && generatedTokens(attempts[a.Request]) > 0 {
			wrongNotRun++
		}
		if a.Class != probes.Name || a.Outcome != fleet.NotRun {
			continue
		}
		refused++
		refusal = append(refusal, a.EndedAt-a.StartedAt)
		if a.RetryAfter > 0 {
			withRetryAfter++
			retryAfters = append(retryAfters, a.RetryAfter)
		}
	}
	end := phases[len(phases)-1].to
	recovered, worst := recovery(answers, phases[0], normal, end)
	return row{[]string{name}, []float64{float64(started), percent(survived, started), float64(refused), refusal.at(0.5), refusal.at(0.99),
		percent(withRetryAfter, refused), retryAfters.at(0.5) / 1000, float64(wrongNotRun), 1000 * float64(generated-useful) / float64(max(useful, 1)),
		float64(useful) / end.Seconds(), recovered, worst}}
}

func generatedTokens(list []engineAttempt) int {
	n := 0
	for _, try := range list {
		n += try.Generated
	}
	return n
}

// recovery evaluates the requests that arrive in each second after the load is normal
// again. A second is good if 95 of 100 of its requests complete and get their first token
// within three times the median from before the overload. It returns the number of seconds
// until the first good second, and the percentage of requests that meet both conditions in
// the worst second from there on: 100 means that the latency did not rise a second time.
func recovery(answers []Answer, before phase, normal, end time.Duration) (after, worst float64) {
	limit := map[string]time.Duration{}
	for _, class := range []string{"lookup", "draft"} {
		p50 := phaseRow("", before, class, answers).vals[2]
		limit[class] = time.Duration(3 * p50 * float64(time.Millisecond))
	}
	const good = 95
	after, worst = -1, -1
	for from := normal; from+time.Second <= end; from += time.Second {
		share := percentInTime(answers, from, limit)
		if after < 0 && share >= good {
			after, worst = (from - normal).Seconds(), share
		}
		if after >= 0 {
			worst = min(worst, share)
		}
	}
	return after, worst
}

func percentInTime(answers []Answer, from time.Duration, limit map[string]time.Duration) float64 {
	sent, ok := 0, 0
	for i := range answers {
		a := &answers[i]
		bound, counted := limit[a.Class]
		if !counted || a.StartedAt < from || a.StartedAt >= from+time.Second {
			continue
		}
		sent++
		if a.Outcome == fleet.Complete && a.Tokens[0]-a.StartedAt <= bound {
			ok++
		}
	}
	return percent(ok, sent)
}
