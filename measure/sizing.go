package measure

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/cost/simulate"
)

type sizingCommand struct {
	Out  string `arg:"--out" default:"out" help:"folder for CSV and SVG files"`
	Mode Mode   `arg:"--mode" default:"quick" help:"quick: 8 and 59 routers; full: 300 and 985 as well, and more seeds"`
}

// sizingFleets are the simulated fleets, in routers and engines.
var sizingFleets = []struct{ routers, engines, seeds int }{{8, 24, 12}, {59, 180, 4}, {300, 900, 2}, {985, 3000, 1}}

const (
	sizingQuickFleets = 2
	sizingStart       = 60 * time.Second  // until the estimates have seen answers
	sizingTime        = 110 * time.Second // in all
	sizingBurst       = 0.5               // of long streams, relative to the usual rate
	sizingParallel    = 4
)

// sizingLoads are the streams a second for each engine: well below, near and above what the engines can
// take with lengths known exactly.
var sizingLoads = []float64{0.18, 0.24, 0.27}

// sizingWays lists the ways to state what a request costs; the last ones are learned sizes with other
// hints of the clients.
func sizingWays() (names []string, of map[string]simulate.Config) {
	of = map[string]simulate.Config{}
	add := func(name, policy string, hints simulate.Hints) {
		names = append(names, name)
		of[name] = simulate.Config{Policy: policy, Hints: hints}
	}
	for _, p := range simulate.Policies {
		add(p, p, simulate.HintsMixed)
	}
	for _, h := range []simulate.Hints{simulate.HintsMissing, simulate.HintsTenfold, simulate.HintsHostile} {
		add("learned, hints "+string(h), "learned", h)
	}
	return names, of
}

// sizing simulates ways to state what a request costs, on the same streams, and writes what became of
// these.
func sizing(c sizingCommand, stdout io.Writer) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return Error.Wrap(err)
	}
	env := &Env{Mode: c.Mode, Out: c.Out, Stdout: stdout, name: "sizing"}
	t := &Table{Name: "ways", Columns: []string{"routers", "streams/s/engine", "way", "streams", "good", "refused", "late", "preempted", "preemptions", "mean first ms", "of the way"}}
	var points []Point
	fleets := sizingFleets
	if c.Mode != Full {
		fleets = fleets[:sizingQuickFleets]
	}
	for _, f := range fleets {
		for _, rate := range sizingLoads {
			names, got, err := sizingRun(f.routers, f.engines, f.seeds, rate)
			if err != nil {
				return err
			}
			for _, name := range names {
				r := got[name]
				t.Add(fmt.Sprint(f.routers), fmt.Sprint(rate), name, fmt.Sprint(r.Streams), fmt.Sprintf("%.4f", r.Good()), fmt.Sprint(r.Refused),
					fmt.Sprint(r.Late), fmt.Sprint(r.Preempted), fmt.Sprint(r.Preemptions), fmt.Sprint(r.First.Milliseconds()), wayOf(got, r))
				points = append(points, Point{fmt.Sprintf("%s %d", name, f.routers), 1000 * float64(r.Preemptions) / float64(max(r.Streams, 1)), r.Good()})
			}
		}
	}
	if err := env.Save(t); err != nil {
		return err
	}
	return env.SavePlot("ways", "Streams in time and not preempted", "preemptions per 1,000 streams", "share", points)
}

// sizingRun plays the same streams with each way.
func sizingRun(routers, engines, seeds int, rate float64) (names []string, got map[string]simulate.Result, err error) {
	names, configs := sizingWays()
	results := make([]simulate.Result, len(names))
	var group errgroup.Group
	group.SetLimit(sizingParallel)
	for i, name := range names {
		group.Go(func() error {
			c := configs[name]
			c.Routers, c.Engines, c.PerEngine = routers, engines, rate
			c.Length, c.From, c.BurstFactor = sizingTime, sizingStart, sizingBurst
			for seed := range seeds {
				c.Seed = uint64(seed + 1)
				r, err := simulate.Run(c)
				if err != nil {
					return Error.Wrap(err)
				}
				results[i].Add(r)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, nil, err
	}
	got = map[string]simulate.Result{}
	for i, name := range names {
		got[name] = results[i]
	}
	return names, got, nil
}

// wayOf returns how far a result is on the way from no estimate to the perfect one, or "-" if these
// hardly differ.
func wayOf(got map[string]simulate.Result, r simulate.Result) string {
	none, perfect := got["none"].Good(), got["perfect"].Good()
	if perfect-none < 0.001 {
		return "-"
	}
	return fmt.Sprintf("%.2f", (r.Good()-none)/(perfect-none))
}
