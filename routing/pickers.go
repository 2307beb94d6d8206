package routing

import "math/rand/v2"

// Picker chooses an index by the scores. affinity holds the part of each score that
// expresses affinity to that candidate.
type Picker interface {
	Choose(score, affinity []float64, rng *rand.Rand) int
}

// Names of the pickers.
const (
	PickTwoChoices = "two-choices"
	PickArgmax     = "argmax"
	PickRandom     = "random"
	PickBest       = "best"
)

var pickers = map[string]Picker{
	PickTwoChoices: twoChoices{},
	PickArgmax:     argmax{},
	PickRandom:     random{},
	PickBest:       best{},
}

// twoChoices draws two candidates at random, adds the one with the highest affinity if
// any has affinity, and takes the one with the best total score.
type twoChoices struct{}

func (twoChoices) Choose(score, affinity []float64, rng *rand.Rand) int {
	best := rng.IntN(len(score))
	if other := rng.IntN(len(score)); score[other] > score[best] {
		best = other
	}
	top := argmax{}.Choose(affinity, nil, nil)
	if affinity[top] > 0 && score[top] > score[best] {
		best = top
	}
	return best
}

// argmax takes the first of the highest scores. All routers with the same view make the
// same choice, so it serves as a baseline.
type argmax struct{}

func (argmax) Choose(score, _ []float64, _ *rand.Rand) int {
	best := 0
	for k, s := range score {
		if s > score[best] {
			best = k
		}
	}
	return best
}

// best takes one of the highest scores, at random among scores that are about equal. It
// is meant for routers that send each other their loads: two random choices would then
// miss idle engines, and routers that choose at the same moment rarely pick the same
// engine, since many are about equal.
type best struct{}

// scoreTolerance is how far below the highest a score still counts as equal.
const scoreTolerance = 0.02

func (best) Choose(score, _ []float64, rng *rand.Rand) int {
	top := score[argmax{}.Choose(score, nil, nil)]
	chosen, n := 0, 0
	for k, s := range score {
		if s < top-scoreTolerance {
			continue
		}
		n++
		if rng.IntN(n) == 0 {
			chosen = k
		}
	}
	return chosen
}

// random ignores the scores; it serves as a baseline.
type random struct{}

func (random) Choose(score, _ []float64, rng *rand.Rand) int { return rng.IntN(len(score)) }
