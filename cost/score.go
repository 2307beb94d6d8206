package cost

import (
	"math"
	"time"
)

const (
	// scoreScale turns a difference of losses, relative to the usual loss, into logarithms of odds.
	scoreScale = 4
	// maxGain bounds how far a single answer may count for or against a predictor.
	maxGain = 3
	// maxAdvantage bounds the logarithm of the odds between two predictors, so that a predictor that
	// turns good is used again after a few answers.
	maxAdvantage = 8
	// priorAdvantage is the advantage of a predictor of which nothing is known.
	priorAdvantage = -2
)

// rating is a fading sum of how much better one predictor foretold answers than another one, in
// logarithms of odds.
type rating struct{ sum, weight float64 }

func (r *rating) add(gain, keep float64) {
	r.sum, r.weight = r.sum*keep+gain, r.weight*keep+1
}

// loss returns how far the distribution was from a length (the continuous ranked probability score, in
// tokens: for a distribution that is a single value, its distance). What counts are tokens, since
// the memory of an engine is a sum of tokens. The likelihood would prefer a hint that is wrong by a factor
// of ten in either direction, although its mean is useless.
func (d *Distribution) loss(length float64) float64 {
	var sum, below float64
	left := 0.0
	for i, p := range d.cell {
		right := d.edge(float64(i + 1))
		// Within a cell, the share below is that at its middle.
		f := below + p/2
		before := min(max(length-left, 0), right-left)
		sum += before*f*f + (right-left-before)*(1-f)*(1-f)
		below += p
		left = right
		if right >= d.maximum {
			break
		}
	}
	return sum
}

// score compares what the predictors foretold with the answer, before they learn from it.
func (e *Estimator) score(q *Request, length float64, now time.Time) {
	nodes := e.chain(q.keys()...)
	if !known(nodes, now) {
		return
	}
	e.count(q, length, now)
	maximum := float64(q.Maximum)
	lossOf := func(nodes []*node, p int) float64 {
		d := newDistribution(predict(nodes, p, q, now), maximum, nodes[0].reached)
		return d.loss(length)
	}
	base := lossOf(nodes, byLength)
	first := nodes[0]
	first.usualLoss += (base - first.usualLoss) / shrink
	gain := func(loss, than float64) float64 {
		return min(max(scoreScale*(than-loss)/max(first.usualLoss, 1), -maxGain), maxGain)
	}
	keep := fadeFactor(now.Sub(first.histograms[byLength].at)) * (1 - 1.0/memory)
	for p := byHint; p < predictors; p++ {
		if _, stated := q.reference(p); !stated {
			continue
		}
		g := gain(lossOf(nodes, p), base)
		for _, n := range nodes {
			n.ratings[p].add(g, keep)
		}
	}
	// The rating of the last level is kept by the one above it, which sees more answers.
	if last := len(nodes) - 1; last > 0 {
		general, special := lossOf(nodes[:last], byLength), lossOf([]*node{nodes[last]}, byLength)
		if nodes[last].histograms[byLength].weightAt(now) >= minObservations/2 {
			nodes[last-1].finer.add(gain(special, general), keep)
		}
	}
}

// advantage returns the logarithm of the odds of a predictor against byLength.
func advantage(nodes []*node, predictor int) float64 {
	if predictor == byLength {
		return 0
	}
	out := float64(priorAdvantage)
	for i, n := range nodes {
		r := n.ratings[predictor]
		if r.weight <= 0 {
			continue
		}
		if i == len(nodes)-1 {
			out += r.sum
			break
		}
		// A more general node counts for few answers: it is about other accounts as well.
		out = priorAdvantage + r.sum/r.weight*min(r.weight, shrink)
	}
	return min(max(out, -maxAdvantage), maxAdvantage)
}

// predictorWeights returns the weights of the predictors: the odds by which they foretold the
// answers of this client account, and, where there are few of these, of the route and the service.
// So a hint is worth what the account's hints were worth.
func predictorWeights(nodes []*node, q *Request) (out [predictors]float64) {
	var sum float64
	for p := range out {
		if _, stated := q.reference(p); !stated {
			continue
		}
		out[p] = math.Exp(advantage(nodes, p))
		sum += out[p]
	}
	for p := range out {
		out[p] /= sum
	}
	return out
}

// trust returns how far the next finer level is believed, between 0 and 1. After the workload has
// shifted, the histograms of single client accounts, which see few answers, are outdated for longer than that
// of all.
func (n *node) trust() float64 {
	return 1 / (1 + math.Exp(-min(max(1+n.finer.sum, -maxAdvantage), maxAdvantage)))
}
