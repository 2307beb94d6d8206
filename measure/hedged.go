package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"wigeondale/client"
	"wigeondale/fakes/service"
	"wigeondale/fleet"
	"wigeondale/load"
	"wigeondale/settings"
)

// hedged compares budgets for hedged calls of a service that is not a model engine. A
// budget is to lower the latency at the high percentiles, and its cost is the number of
// executions in excess of the calls.
type hedged struct{}

// Name implements Experiment.
func (hedged) Name() string { return "hedge" }

// These constants describe the load and the fault of the hedge experiment: at random times
// one answer of a random replica is delayed, as a pause or a lost packet would delay it.
const (
	tagService   = "tags"
	tagReplicas  = 4
	callRate     = 300.0 // per second
	lateRate     = 9.0   // per second: 3% of the calls
	lateMS       = 250
	callDeadline = time.Second
)

// lookupAnswer is the part of the service's answer that is checked.
type lookupAnswer struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Fleets implements Experiment.
func (hedged) Fleets(Mode) []Fleet {
	var out []Fleet
	for _, percent := range []int{0, 2, 5, 10} {
		f := Fleet{Name: fmt.Sprintf("budget-%d", percent), FailureDomains: []string{"bog-a", "bog-b", "mde-a"},
			Engines: 1, Engine: overloadEngine, Routers: 3,
			Set: func(s *settings.Settings) {
				s.Policy.Hedge = settings.Hedge{Enabled: percent > 0, BudgetPercent: percent}
			}}
		for i := range tagReplicas {
			f.Services = append(f.Services, service.Config{ID: fmt.Sprintf("s%d", i+1), VM: fmt.Sprintf("vm-s%d", i+1),
				FailureDomain: f.FailureDomains[i%3], Service: tagService})
		}
		out = append(out, f)
	}
	return out
}

// Run implements Experiment.
func (x hedged) Run(ctx context.Context, env *Env) error {
	length, n := 3*time.Second, 1
	if env.Mode == Full {
		length, n = 15*time.Second, 3
	}
	got, err := runSeeds(n, func(seed uint64) ([][]row, error) {
		return runOnFleets(ctx, env, func(ctx context.Context, r *Running, start time.Time) ([][]row, error) {
			return x.run(ctx, r, start, length, seed)
		})
	})
	if err != nil {
		return err
	}
	return saveMedians(env, "lookups", []string{"policy", "calls", "complete %", "p50 ms", "p95 ms", "p98 ms", "p99 ms", "p99.9 ms", "extra lookups %"}, got[0])
}

func (hedged) run(ctx context.Context, r *Running, start time.Time, length time.Duration, seed uint64) ([][]row, error) {
	before, err := executedLookups(ctx, r)
	if err != nil {
		return nil, err
	}
	faults := make(chan error, 1)
	go func() { faults <- delayAnswers(ctx, r, start, length, rand.New(rand.NewPCG(seed, 1))) }()
	took, calls, err := callAll(ctx, r, start, length, rand.New(rand.NewPCG(seed, 2)))
	if err != nil {
		return nil, err
	}
	if err := <-faults; err != nil {
		return nil, err
	}
	after, err := executedLookups(ctx, r)
	if err != nil {
		return nil, err
	}
	return [][]row{{{[]string{r.Name}, []float64{float64(calls), percent(len(took), calls), took.at(0.5), took.at(0.95), took.at(0.98),
		took.at(0.99), took.at(0.999), percent(after-before-calls, calls)}}}}, nil
}

// delayAnswers delays one answer of a random replica at each of a series of random times.
func delayAnswers(ctx context.Context, r *Running, start time.Time, length time.Duration, rng *rand.Rand) error {
	at := time.Second // routers first need time to learn the delay after which they hedge
	for {
		at += time.Duration(rng.ExpFloat64() / lateRate * float64(time.Second))
		if at > length {
			return nil
		}
		if !load.SleepUntil(ctx, start.Add(at)) {
			return Error.Wrap(ctx.Err())
		}
		args := map[string]any{"ms": lateMS, "n": 1}
		if err := SetFault(ctx, r, fmt.Sprintf("s%d", rng.IntN(tagReplicas)+1), "late", args); err != nil {
			return err
		}
	}
}

// callAll makes the calls and returns the durations of the complete ones and the number of
// all. It returns an error if an answer is wrong.
func callAll(ctx context.Context, r *Running, start time.Time, length time.Duration, rng *rand.Rand) (durations, int, error) {
	c := client.New(r.Endpoints, APIKey, client.Options{RoundRobin: true, MaxTries: 1})
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		took  durations
		wrong error
		calls int
	)
	var at time.Duration
	for ; ; calls++ {
		at += time.Duration(rng.ExpFloat64() / callRate * float64(time.Second))
		if at > length || !load.SleepUntil(ctx, start.Add(at)) {
			break
		}
		wg.Go(func() {
			d, err := callOne(ctx, c, fmt.Sprintf("tag-%d", calls))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				wrong = err
			}
			if d > 0 {
				took = append(took, d)
			}
		})
	}
	wg.Wait()
	return took, calls, wrong
}

func callOne(ctx context.Context, c *client.Client, key string) (time.Duration, error) {
	res, err := c.Call(ctx, client.CallRequest{
		Service: tagService, Path: "lookup/" + key, Timeout: callDeadline, Priority: fleet.Interactive,
	})
	if err != nil {
		return 0, nil // 0 counts as not complete
	}
	var got lookupAnswer
	if err := json.Unmarshal(res.Body, &got); err != nil {
		return 0, Error.Wrap(err)
	}
	if got.Key != key || got.Value != service.Digest([]byte(key)) {
		return 0, Error.New("the answer to %q is that of %q", key, got.Key)
	}
	return res.Duration, nil
}

func executedLookups(ctx context.Context, r *Running) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.Record(), nil)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	defer resp.Body.Close()
	var rec struct {
		Totals struct {
			Lookups int `json:"lookups"`
		} `json:"totals"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&rec); err != nil {
		return 0, Error.Wrap(err)
	}
	return rec.Totals.Lookups, nil
}
