package simulate

import (
	"time"

	"wigeondale/cost"
	"wigeondale/directory"
)

// Policies lists the ways to state what a request costs, from knowing nothing to knowing all.
var Policies = []string{"none", "maximum", "mean", "learned", "perfect"}

// sizeAge is how long the model uses an estimate, to run faster.
const sizeAge = 400 * time.Millisecond

// size is what a policy says of a request.
type size struct{ answer, spread float64 }

// knowledge is what one router knows of lengths, by its policy.
type knowledge struct {
	policy  string
	lengths *cost.Estimator
	mean    float64 // fading mean of all lengths
	seen    int
	prompt  float64 // fading mean
	rest    cost.Distribution
	restOK  bool
	restAt  time.Time // when rest was estimated
}

func newKnowledge(policy string) *knowledge {
	return &knowledge{policy: policy, lengths: cost.New(), prompt: meanPrompt}
}

const service = "llm"

// priority is that of all streams of the model.
const priority = 0

func (s *stream) request() cost.Request {
	return cost.Request{Service: service, Route: s.route, Account: s.account, Priority: priority, Hint: s.hint, Maximum: s.maximum}
}

// sizeOf returns what a request counts as.
func (k *knowledge) sizeOf(s *stream, now time.Time) size {
	switch k.policy {
	case "none":
		return size{}
	case "mean":
		if k.seen > 0 {
			return size{answer: k.mean}
		}
	case "perfect":
		return size{answer: s.length}
	case "learned":
		if d, ok := k.lengths.Estimate(s.request(), now); ok {
			mean, variance := d.Moments()
			return size{mean, variance}
		}
	}
	return size{answer: float64(s.maximum)}
}

// loadOf returns what a router makes of an engine's report.
func (k *knowledge) loadOf(e *engine, now time.Time) directory.Load {
	typical := directory.RequestSize{Prompt: k.prompt, Answer: statedMaximum}
	switch k.policy {
	case "none":
		typical.Rest = func(int, int) (float64, float64) { return 0, 0 }
		typical.Answer = 0
	case "mean":
		if k.seen > 0 {
			typical.Answer = k.mean
		}
	case "learned":
		if now.Sub(k.restAt) >= sizeAge {
			k.rest, k.restOK = k.lengths.RestOf(service, priority, now)
			k.restAt = now
		}
		if d := &k.rest; k.restOK {
			typical.Answer, typical.Spread = d.Moments()
			typical.Spread += promptSpread
			typical.Rest = func(_, chunks int) (float64, float64) { return d.Rest(float64(chunks * tokensPerChunk)) }
		}
	}
	load := directory.LoadOf(e.report, typical)
	if k.policy == "perfect" {
		load.Memory, load.Spread = e.truth, 0
	}
	return load
}

func (k *knowledge) ended(s *stream, now time.Time) {
	k.seen++
	k.mean += (s.length - k.mean) / min(float64(k.seen), 20)
	k.lengths.Observe(s.request(), s.length, true, now)
}
