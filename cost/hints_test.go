package cost

import (
	"math"
	"math/rand/v2"
	"testing"
)

// absoluteError returns the mean absolute error of the median, the best guess for it.
func absoluteError(w workload, seed uint64) float64 {
	var sum, n float64
	play(New(), w, rand.New(rand.NewPCG(seed, 5)), start, 2000, 40, func(_ Request, d Distribution, ok bool, length float64) {
		if ok {
			sum += math.Abs(d.Quantile(0.5) - length)
			n++
		}
	})
	return sum / n
}

// Guards against a hint that is believed because it was sent: a client account could make its requests seem small,
// and wrong hints would make the estimate worse than none. And against one that is never used.
func TestHintsAreWorthWhatTheyWereWorth(t *testing.T) {
	base := workloads["one kind"]
	with := func(hint func(rng *rand.Rand, length float64) int) workload {
		return func(rng *rand.Rand) (Request, float64) {
			q, length := base(rng)
			other := rand.New(rand.NewPCG(uint64(length*1e6), 7)) // the same requests with and without hints
			q.Hint = hint(other, length)
			return q, length
		}
	}
	none := absoluteError(base, 1)
	for name, c := range map[string]struct {
		hint func(rng *rand.Rand, length float64) int
		most float64
	}{
		"missing":  {func(*rand.Rand, float64) int { return 0 }, 1},
		"constant": {func(*rand.Rand, float64) int { return 1 }, 1.02},
		"huge":     {func(*rand.Rand, float64) int { return math.MaxInt }, 1.02},
		"random":   {func(rng *rand.Rand, _ float64) int { return 1 + rng.IntN(1<<rng.IntN(20)) }, 1.02},
		"wrong by a factor of ten": {func(rng *rand.Rand, l float64) int {
			return int(max(l*math.Pow(10, float64(2*rng.IntN(2)-1)), 1))
		}, 1.02},
		"good":                         {func(rng *rand.Rand, l float64) int { return int(max(l*math.Exp(0.3*rng.NormFloat64()), 1)) }, 0.7},
		"ten times too long, reliably": {func(rng *rand.Rand, l float64) int { return int(10 * l * math.Exp(0.3*rng.NormFloat64())) }, 0.7},
	} {
		got := absoluteError(with(c.hint), 1)
		t.Logf("%s: %.3f of the error without hints", name, got/none)
		if got > c.most*none {
			t.Errorf("%s: the error is %.3f of that without hints", name, got/none)
		}
	}
}

// Guards against one client account whose hints say nothing making those of the others worthless, and the other way round.
func TestHintsAreJudgedByAccount(t *testing.T) {
	e, rng := New(), rand.New(rand.NewPCG(1, 9))
	var liar, honest, n float64
	play(e, func(rng *rand.Rand) (Request, float64) {
		q := request("r", rng.IntN(2))
		length := logNormal(rng, 300, 0.8)
		q.Hint = int(max(length*math.Exp(0.1*rng.NormFloat64()), 1))
		if q.Account == "a0" {
			q.Hint = 1 + rng.IntN(100000)
		}
		return q, length
	}, rng, start, 2000, 40, func(q Request, d Distribution, ok bool, _ float64) {
		if n++; n < 500 {
			return
		}
		w := predictorWeights(e.chain(q.keys()...), &q)
		if q.Account == "a0" {
			liar = max(liar, w[byHint])
		} else {
			honest = max(honest, 1-w[byHint])
		}
	})
	if liar > 0.2 || honest > 0.2 {
		t.Errorf("weight of the liar's hint up to %.2f, that of the honest one down to %.2f", liar, 1-honest)
	}
}
