package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// StepConfig names one step. Weight is used by scorers only; 0 means 1.
type StepConfig struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight,omitempty"`
}

// weightedScorer is a scorer with its weight. affinity is set for scorers that draw a request
// to particular candidates, such as candidates that may have the request's prompt prefix
// cached.
type weightedScorer struct {
	scorer   Scorer
	weight   float64
	affinity bool
}

var filters = map[string]Filter{
	FilterServes:  perCandidate{FilterServes, serves},
	FilterLeaving: perCandidate{FilterLeaving, notLeaving},
	FilterUsable:  usableFilter{},
	FilterExclude: perCandidate{FilterExclude, notExcluded},
	FilterRole:    perCandidate{FilterRole, acceptsPrompts},

	FilterMemory:      perCandidate{FilterMemory, fitsMemory},
	FilterBacklog:     perCandidate{FilterBacklog, backlogWithinBound},
	FilterFresh:       freshFilter{},
	FilterFreshOnly:   perCandidate{FilterFreshOnly, hasRecentReport},
	FilterStale:       perCandidate{FilterStale, hasStaleReport},
	FilterAccepting:   perCandidate{FilterAccepting, accepting},
	FilterOtherDomain: perCandidate{FilterOtherDomain, otherDomain},
	FilterHealthy:     perCandidate{FilterHealthy, notSuspected},
}

var scorers = map[string]weightedScorer{
	ScoreLoad:       {scorer: loadScorer{}},
	ScoreReported:   {scorer: reportedScorer{}},
	ScorePrefix:     {scorer: prefixScorer{}, affinity: true},
	ScoreRendezvous: {scorer: rendezvousScorer{}, affinity: true},
	ScoreDomain:     {scorer: domainScorer{}},
	ScoreDelay:      {scorer: delayScorer{}},
	ScoreMemory:     {scorer: memoryScorer{}},
	ScoreSpread:     {scorer: spreadScorer{}, affinity: true},
	ScoreSlots:      {scorer: slotsScorer{}, affinity: true},
}

// DefaultSteps returns the steps that are used when the settings name none. ScorePrefix is
// not included: ScoreRendezvous sends requests with the same prompt prefix to the same
// engine without the polling for cache events that ScorePrefix needs.
func DefaultSteps() []StepConfig {
	return []StepConfig{
		{Name: FilterServes},
		{Name: FilterRole},
		{Name: FilterLeaving},
		{Name: FilterExclude},
		{Name: FilterAccepting},
		{Name: FilterUsable},
		{Name: ScoreLoad, Weight: 1},
		{Name: ScoreRendezvous, Weight: 0.4},
		{Name: ScoreDomain, Weight: 0.05},
		{Name: ScoreSpread, Weight: 0.2},
		{Name: ScoreSlots, Weight: 0.5},
		{Name: PickTwoChoices},
	}
}

// Uses reports whether steps contains a step of the given name.
func Uses(steps []StepConfig, name string) bool {
	return slices.ContainsFunc(steps, func(s StepConfig) bool { return s.Name == name })
}

// New builds a Router from named steps. Unknown names, a missing or second picker and a
// missing required filter (serves, leaving, exclude) are errors: a configuration must
// not be able to send work to a leaving backend server.
func New(steps []StepConfig, rng *rand.Rand) (*Router, error) {
	r := &Router{rng: rng}
	r.pool.New = func() any { return &scratch{} }
	named := map[string]bool{}
	for _, s := range steps {
		if named[s.Name] {
			return nil, Error.New("step %q is named twice", s.Name)
		}
		named[s.Name] = true
		if err := r.add(s); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	for _, required := range []string{FilterServes, FilterLeaving, FilterExclude} {
		if !named[required] {
			return nil, Error.New("step %q is missing", required)
		}
	}
	if r.picker == nil {
		return nil, Error.New("no picker: name one of %q, %q, %q", PickTwoChoices, PickArgmax, PickRandom)
	}
	return r, nil
}

func (r *Router) add(s StepConfig) error {
	if f, ok := filters[s.Name]; ok {
		r.filters = append(r.filters, f)
		return nil
	}
	if w, ok := scorers[s.Name]; ok {
		w.weight = s.Weight
		if w.weight == 0 {
			w.weight = 1
		}
		if w.weight < 0 {
			return fmt.Errorf("step %q: weight %g is negative", s.Name, s.Weight)
		}
		r.scorers = append(r.scorers, w)
		return nil
	}
	p, ok := pickers[s.Name]
	if !ok {
		return fmt.Errorf("step %q is unknown", s.Name)
	}
	if r.picker != nil {
		return fmt.Errorf("step %q is a second picker", s.Name)
	}
	r.picker = p
	return nil
}
