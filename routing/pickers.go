package routing

import "math/rand/v2"

// Picker chooses a candidate by the scores and returns its index in score. affinity holds,
// for each candidate, the part of its score that comes from affinity, such as a cached
// prefix.
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

// twoChoices draws two candidates at random and adds the candidate with the highest affinity,
// if any has affinity. Of these it takes the candidate with the best total score.
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

// argmax takes the first candidate with the highest score. All routers with the same view
// make the same choice, so as a configured picker argmax serves as a baseline for
// comparison with other pickers.
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

// best takes a random candidate among those whose scores are about equal to the highest. It is
// meant for routers that send each other their loads. With known loads, a choice among only
// two random candidates would miss idle engines; and since many candidates are about equal,
// routers that choose at the same moment rarely pick the same engine.
type best struct{}

// scoreTolerance is how far below the highest score another score may be and still count as
// equal.
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

// random chooses any candidate and ignores the scores; it serves as a baseline for
// comparison with other pickers.
type random struct{}

func (random) Choose(score, _ []float64, rng *rand.Rand) int { return rng.IntN(len(score)) }
