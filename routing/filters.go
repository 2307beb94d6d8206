package routing

import (
	"slices"

	"wigeondale/health"
)

// Filter takes away candidates that must not get the attempt. Keep works on
// indices in place and returns those that stay.
type Filter interface {
	Name() string
	Keep(all []Candidate, left []int32, ask *PickRequest, sc *scratch) []int32
}

// each is a filter that looks at one candidate at a time.
type each struct {
	name string
	keep func(c *Candidate, ask *PickRequest) bool
}

func (f each) Name() string { return f.name }

func (f each) Keep(all []Candidate, left []int32, ask *PickRequest, _ *scratch) []int32 {
	kept := left[:0]
	for _, i := range left {
		if f.keep(&all[i], ask) {
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
	// FilterHealthy keeps off those that would get the work as a probe.
	FilterHealthy = "healthy"
	// FilterOtherDomain keeps a copy apart from what it is a copy of.
	FilterOtherDomain = "other-domain"
)

// roleDecode takes no prompts: it continues what a prefill engine began.
const roleDecode = "decode"

func serves(c *Candidate, ask *PickRequest) bool {
	if ask.Ref.Model == "" {
		return true
	}
	return slices.Contains(c.Serves, ask.Ref)
}

func stays(c *Candidate, _ *PickRequest) bool { return !c.leaving() }

func notExcluded(c *Candidate, ask *PickRequest) bool { return !ask.Exclude[c.Backend.ID] }

// knownHealthy asks the health monitor, and takes all if it has no objection to any.
func knownHealthy(c *Candidate, ask *PickRequest) bool {
	return ask.Healthy == nil || ask.Healthy(c.Backend.ID)
}

func otherDomain(c *Candidate, ask *PickRequest) bool {
	return ask.OtherDomain == "" || c.Backend.FailureDomain != ask.OtherDomain
}

func takesPrompts(c *Candidate, _ *PickRequest) bool { return c.Role != roleDecode }

// usable asks the health monitor about the whole set at once.
type usable struct{}

func (usable) Name() string { return FilterUsable }

func (usable) Keep(all []Candidate, left []int32, ask *PickRequest, sc *scratch) []int32 {
	if ask.Usable == nil {
		return each{FilterUsable, healthy}.Keep(all, left, ask, sc)
	}
	sc.ids = sc.ids[:0]
	for _, i := range left {
		sc.ids = append(sc.ids, all[i].Backend.ID)
	}
	ok := ask.Usable(sc.ids)
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

func healthy(c *Candidate, _ *PickRequest) bool {
	return c.State == health.Healthy || c.State == health.Probing
}
