package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// workload draws requests and the true lengths of their answers.
type workload func(rng *rand.Rand) (Request, float64)

func request(route string, account int) Request {
	return Request{Service: "llm", Route: route, Account: fmt.Sprint("a", account), Maximum: 2000}
}

func logNormal(rng *rand.Rand, median, sigma float64) float64 {
	return min(max(median*math.Exp(sigma*rng.NormFloat64()), 1), 2000)
}

// workloads are dissimilar: lengths of one kind, two kinds by route, a length for each client
// account, and lengths that are a share of the maximum, most of which reach it.
var workloads = map[string]workload{
	"one kind": func(rng *rand.Rand) (Request, float64) {
		return request("r", rng.IntN(24)), logNormal(rng, 300, 0.8)
	},
	"two routes": func(rng *rand.Rand) (Request, float64) {
		if rng.IntN(2) == 0 {
			return request("short", rng.IntN(24)), logNormal(rng, 40, 0.5)
		}
		return request("long", rng.IntN(24)), logNormal(rng, 700, 0.3)
	},
	"by account": func(rng *rand.Rand) (Request, float64) {
		a := rng.IntN(4)
		return request("r", a), logNormal(rng, 50*math.Pow(2, float64(a)), 0.6)
	},
	"share of the maximum": func(rng *rand.Rand) (Request, float64) {
		q := request("r", rng.IntN(24))
		q.Maximum = 100 + rng.IntN(1900)
		return q, math.Ceil(float64(q.Maximum) * (0.2 + 0.75*rng.Float64()))
	},
}

// hinted adds hints that are right at the median and off by a factor of 1.5 or so.
func hinted(w workload, sigma float64) workload {
	return func(rng *rand.Rand) (Request, float64) {
		q, length := w(rng)
		q.Hint = max(int(length*math.Exp(sigma*rng.NormFloat64())), 1)
		return q, length
	}
}

// play lets an estimator learn from n answers at the given rate, and calls each with the estimate before it
// learns from the answer.
func play(e *Estimator, w workload, rng *rand.Rand, from time.Time, n int, perSecond float64, each func(q Request, d Distribution, ok bool, length float64)) time.Time {
	now := from
	for range n {
		now = now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		q, length := w(rng)
		d, ok := e.Estimate(q, now)
		each(q, d, ok, length)
		e.Observe(q, length, true, now)
	}
	return now
}

// Guards against intervals that promise too much: then engines overflow, although the memory reserved
// for the spread seems enough. Or too little: then memory stays unused.
func TestIntervalsCover(t *testing.T) {
	for name, w := range workloads {
		for _, hints := range []bool{false, true} {
			if hints {
				w = hinted(w, 0.4)
			}
			var inside, all, above float64
			play(New(), w, rand.New(rand.NewPCG(1, 2)), start, 2000, 40, func(_ Request, d Distribution, ok bool, length float64) {
				if !ok {
					return
				}
				all++
				if length >= d.Quantile(0.1) && length <= d.Quantile(0.9) {
					inside++
				}
				if length > d.Quantile(0.8) {
					above++
				}
			})
			t.Logf("%s, hints %v: %.3f in the interval, %.3f above the 80%% quantile of %v", name, hints, inside/all, above/all, all)
			// Where maximum and hint both say something, the estimate uses the better one, and is wider than need be.
			most := 0.85
			if hints && name == "share of the maximum" {
				most = 0.95
			}
			if c := inside / all; c < 0.75 || c > most {
				t.Errorf("%s, hints %v: the 80%% interval covers %.3f", name, hints, c)
			}
		}
	}
}

// Guards against an estimator that keeps to what a workload was: its requests would be counted with the lengths of the
// day before, until memory runs out.
func TestBackAfterAShift(t *testing.T) {
	for _, c := range []struct{ from, to float64 }{{800, 200}, {100, 700}} {
		e, rng := New(), rand.New(rand.NewPCG(3, 4))
		kind := func(median float64) workload {
			return func(rng *rand.Rand) (Request, float64) {
				return request("r", rng.IntN(24)), logNormal(rng, median, 0.4)
			}
		}
		now := play(e, kind(c.from), rng, start, 2000, 20, func(Request, Distribution, bool, float64) {})
		now = play(e, kind(c.to), rng, now, 200, 20, func(Request, Distribution, bool, float64) {}) // 10 s
		var estimated, best, n float64
		play(e, kind(c.to), rng, now, 400, 20, func(_ Request, d Distribution, _ bool, length float64) {
			mean, _ := d.Moments()
			estimated += mean
			best += length
			n++
		})
		t.Logf("from %v to %v: estimated %.0f, true mean %.0f", c.from, c.to, estimated/n, best/n)
		if off := math.Abs(estimated/best - 1); off > 0.2 {
			t.Errorf("10 s after the shift the estimate is off by %.2f", off)
		}
	}
}

// Guards against answers that were cut counting as short ones. Long answers are cut more often, and here a third of
// all are. What lies beyond the longest answer seen to its end counts as the maximum, so the estimate is somewhat too long.
func TestCutAnswersAreLowerBounds(t *testing.T) {
	e, rng, now := New(), rand.New(rand.NewPCG(1, 1)), start
	var sum, n float64
	for i := range 3000 {
		now = now.Add(25 * time.Millisecond)
		length, cut := logNormal(rng, 300, 0.5), 100+500*rng.ExpFloat64()
		e.Observe(request("r", 1), math.Ceil(min(length, cut)), length <= cut, now)
		if d, ok := e.Estimate(request("r", 1), now); ok && i > 200 {
			mean, _ := d.Moments()
			sum, n = sum+mean, n+1
		}
	}
	t.Logf("mean %.0f", sum/n)
	if mean, want := sum/n, 300*math.Exp(0.125); mean < 0.95*want || mean > 1.25*want {
		t.Errorf("mean %.0f, the true one is %.0f", mean, want)
	}
}

// Guards against estimates beyond what a request states, states that grow with what clients send, and numbers that
// are none, whatever is observed.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := New(), start
		draw := func() Request {
			return Request{
				Service: "s", Route: rapid.SampledFrom([]string{"", "r", "\x00"}).Draw(t, "route"),
				Account: rapid.String().Draw(t, "account"), Priority: rapid.IntRange(-5, 20).Draw(t, "priority"),
				Hint: rapid.Int().Draw(t, "hint"), Maximum: rapid.IntRange(-1, 1<<20).Draw(t, "maximum"),
			}
		}
		for range rapid.IntRange(0, 60).Draw(t, "answers") + 10 {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(2*time.Second)).Draw(t, "passes")))
			length := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 10000)).Draw(t, "length")
			e.Observe(draw(), length, rapid.Bool().Draw(t, "complete"), now)
		}
		q := draw()
		d, ok := e.Estimate(q, now)
		if !ok {
			return
		}
		generated := float64(rapid.IntRange(0, 1<<20).Draw(t, "generated"))
		mean, variance := d.Moments()
		rest, restVariance := d.Rest(generated)
		for _, v := range []float64{mean, variance, rest, restVariance, d.Quantile(0.5), d.Quantile(1)} {
			if math.IsNaN(v) || v < 0 {
				t.Fatalf("%v in %+v", v, q)
			}
		}
		limit := float64(q.Maximum)
		if mean > limit*(1+1e-9) || d.Quantile(1) > limit || rest > max(limit-generated, 0)*(1+1e-9) || d.Quantile(0.2) > d.Quantile(0.8) {
			t.Fatalf("mean %v, rest %v after %v, maximum %v", mean, rest, generated, limit)
		}
	})
}

// Guards against state that grows with the number of client accounts, and against made-up names that push out what is known.
func TestStateIsBounded(t *testing.T) {
	e, now := New(), start
	for i := range 200 {
		e.Observe(request("r", 0), 100, true, now.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 3 * 5600 {
		e.Observe(Request{Service: "llm", Route: fmt.Sprint("x", i%7), Account: fmt.Sprint("h", i), Maximum: 2000}, 1900, true, now.Add(time.Second))
	}
	if n := e.Stats().Nodes; n > maxNodes {
		t.Errorf("%d nodes", n)
	}
	d, _ := e.Estimate(request("r", 0), now.Add(time.Second))
	if mean, _ := d.Moments(); mean > 400 {
		t.Errorf("the account known before is estimated at %.0f", mean)
	}
	later := now.Add(10 * nodeTTL)
	if _, ok := e.Estimate(request("r", 0), later); ok {
		t.Error("an old observation still counts")
	}
	e.Observe(request("new", 0), 100, true, later)
	if n := e.Stats().Nodes; n > 10 {
		t.Errorf("%d nodes after a long time", n)
	}
}

// Guards against a run being expected to end at once because it has outlasted the typical answer.
func TestRestOfALongRun(t *testing.T) {
	e, rng := New(), rand.New(rand.NewPCG(1, 1))
	now := play(e, func(rng *rand.Rand) (Request, float64) { // mostly short, a tenth long
		if rng.IntN(10) == 0 {
			return request("r", 0), logNormal(rng, 1500, 0.1)
		}
		return request("r", 0), logNormal(rng, 100, 0.3)
	}, rng, start, 2000, 40, func(Request, Distribution, bool, float64) {})
	d, ok := e.RestOf("llm", 0, now)
	if !ok {
		t.Fatal("nothing is known")
	}
	young, _ := d.Rest(0)
	old, _ := d.Rest(500)
	if young > 400 || old < 700 {
		t.Errorf("expected rest %.0f at the start, %.0f after 500 tokens", young, old)
	}
}

// Guards against sizes in chunks being taken for sizes in tokens: memory would be overcommitted by the tokens in a chunk.
func TestCalibration(t *testing.T) {
	var c Calibration
	if _, ok := c.PerChunk("llm", start); ok {
		t.Error("known from the start")
	}
	c.Observe("llm", 5000, 5010, 2, start)     // too few chunks
	c.Observe("llm", 5000, 900_000, 50, start) // implausible
	c.Observe("llm", 5000, 100, 50, start)
	if _, ok := c.PerChunk("llm", start); ok {
		t.Error("known from implausible reports")
	}
	for range 10 {
		c.Observe("llm", 5000, 5600, 100, start)
	}
	if got, ok := c.PerChunk("llm", start); !ok || math.Abs(got-6) > 0.01 {
		t.Errorf("%v, %v", got, ok)
	}
	if !c.Wanted("llm", 50, start.Add(time.Minute)) || c.Wanted("llm", 50, start.Add(time.Minute)) {
		t.Error("a new report must be wanted once")
	}
	if _, ok := c.PerChunk("llm", start.Add(2*calibrationTTL)); ok {
		t.Error("an old report still counts")
	}
}

// Guards against a heavy request counting as an ordinary one, and against work that a single slow answer makes boundless.
func TestWorkOfRoutes(t *testing.T) {
	var w Work
	if got := w.Of("s", "r", start); got != 1 {
		t.Errorf("unknown: %v", got)
	}
	for range 200 {
		w.Observe("s", "light", 20*time.Millisecond, start)
		w.Observe("s", "heavy", 180*time.Millisecond, start)
	}
	if l, h := w.Of("s", "light", start), w.Of("s", "heavy", start); l > 0.5 || h < 1.4 || h > 2 {
		t.Errorf("light %v, heavy %v", l, h)
	}
	for range 20 {
		w.Observe("s", "stuck", time.Hour, start)
	}
	for range 500 {
		w.Observe("s", "light", 20*time.Millisecond, start)
	}
	if got := w.Of("s", "stuck", start); got > maxWork {
		t.Errorf("after slow answers: %v", got)
	}
}

func BenchmarkEstimate(b *testing.B) {
	e := New()
	now := play(e, hinted(workloads["by account"], 0.4), rand.New(rand.NewPCG(1, 1)), start, 2000, 40, func(Request, Distribution, bool, float64) {})
	q := request("r", 1)
	q.Hint = 300
	for b.Loop() {
		e.Estimate(q, now)
	}
}
