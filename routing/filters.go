package routing

import (
	"slices"

	"wigeondale/health"
)

// Filter removes candidates that must not get the attempt. The remaining candidates are listed
// in left, by their indices in the slice all. Keep removes indices from left in place and
// returns the indices that are kept.
type Filter interface {
	Name() string
	Keep(all []Candidate, left []int32, req *PickRequest, sc *scratch) []int32
}

// perCandidate is a filter that decides on each candidate separately.
type perCandidate struct {
	name string
	keep func(c *Candidate, req *PickRequest) bool
}

func (f perCandidate) Name() string { return f.name }

func (f perCandidate) Keep(all []Candidate, left []int32, req *PickRequest, _ *scratch) []int32 {
	kept := left[:0]
	for _, i := range left {
		if f.keep(&all[i], req) {
			kept = append(kept, i)
		}
	}
	return kept
}

// Names of the filters.
const (
	FilterServes  = "serves"
	FilterLeaving = "leaving"
	FilterUsable  = "usable"
	FilterExclude = "exclude"
	FilterRole    = "role"
	// FilterHealthy removes backend servers that the health monitor suspects; otherwise
	// the request would serve as a health probe for them.
	FilterHealthy = "healthy"
	// FilterAccepting removes backend servers that ask for no request of this router now
	// (PickRequest.Accepts).
	FilterAccepting = "accepting"
	// FilterOtherDomain removes the backend servers in the failure domain of a run
	// (PickRequest.OtherDomain), so that the copy of the run is kept in another failure
	// domain.
	FilterOtherDomain = "other-domain"
)

// roleDecode is the role of an engine that accepts no prompts: it continues runs whose
// prompt was read by a prefill engine.
const roleDecode = "decode"

func serves(c *Candidate, req *PickRequest) bool {
	if req.Ref.Model == "" {
		return true
	}
	return slices.Contains(c.Serves, req.Ref)
}

func notLeaving(c *Candidate, _ *PickRequest) bool { return !c.leaving() }

func notExcluded(c *Candidate, req *PickRequest) bool { return !req.Exclude[c.Backend.ID] }

// notSuspected reports whether the health monitor has no suspicion about the candidate.
// Without a monitor it returns true for every candidate.
func notSuspected(c *Candidate, req *PickRequest) bool {
	return req.Healthy == nil || req.Healthy(c.Backend.ID)
}

func accepting(c *Candidate, req *PickRequest) bool {
	return req.Accepts == nil || req.Accepts(c.Backend.ID)
}

func otherDomain(c *Candidate, req *PickRequest) bool {
	return req.OtherDomain == "" || c.Backend.FailureDomain != req.OtherDomain
}

func acceptsPrompts(c *Candidate, _ *PickRequest) bool { return c.Role != roleDecode }

// usableFilter keeps the candidates that the health monitor allows to get work. It queries the
// monitor about all candidates in one call, since the bound on ejected backend servers is a
// share of the whole set. If the request has no Usable function, the candidate's State
// decides.
type usableFilter struct{}

func (usableFilter) Name() string { return FilterUsable }

func (usableFilter) Keep(all []Candidate, left []int32, req *PickRequest, sc *scratch) []int32 {
	if req.Usable == nil {
		return perCandidate{FilterUsable, isHealthy}.Keep(all, left, req, sc)
	}
	sc.ids = sc.ids[:0]
	for _, i := range left {
		sc.ids = append(sc.ids, all[i].Backend.ID)
	}
	ok := req.Usable(sc.ids)
	if ok == nil {
		return left
	}
	kept := left[:0]
	for k, i := range left {
		if ok[k] {
			kept = append(kept, i)
		}
	}
	return kept
}

func isHealthy(c *Candidate, _ *PickRequest) bool {
	return c.State == health.Healthy || c.State == health.Probing
}
