package routing

import "math/rand/v2"

// Picker chooses an index by the scores. affinity holds the part of each score
// that expresses affinity.
type Picker interface {
	Choose(score, affinity []float64, rng *rand.Rand) int
}

// Names of the pickers.
const (
	PickTwoChoices = "two-choices"
	PickArgmax     = "argmax"
	PickRandom     = "random"
)

var pickers = map[string]Picker{
	PickTwoChoices: twoChoices{},
	PickArgmax:     argmax{},
	PickRandom:     random{},
}

// twoChoices draws two at random, adds the one with the highest affinity if
// any has some, and takes the best of them by the whole score.
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

// argmax takes the first of the highest scores. All routers with the same
// view make the same choice, so it serves as a baseline.
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

// random ignores the scores; it serves as a baseline.
type random struct{}

func (random) Choose(score, _ []float64, rng *rand.Rand) int { return rng.IntN(len(score)) }
