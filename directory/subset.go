package directory

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fleet"
	"wigeondale/routing"
)

// Subset chooses size of the ids for one router by rendezvous hash: routers
// spread evenly over the fleet, and a changed fleet changes few choices.
func Subset(router string, ids []string, size int) []string {
	if size <= 0 || len(ids) <= size {
		return slices.Clone(ids)
	}
	key := xxhash.Sum64String(router)
	all := make([]ranked, len(ids))
	for i, id := range ids {
		all[i] = ranked{id: id, weight: routing.Rendezvous(key, id)}
	}
	slices.SortFunc(all, ranked.compare)
	return first(all, size)
}

// ranked is an engine with what it is sorted by: first by age, then by weight.
type ranked struct {
	id     string
	age    int64
	weight uint64
}

func (a ranked) compare(b ranked) int {
	return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(b.weight, a.weight))
}

func first(all []ranked, n int) []string {
	ids := make([]string, 0, n)
	for _, r := range all[:min(n, len(all))] {
		ids = append(ids, r.id)
	}
	return ids
}

// Members returns the engines that this router talks to: for each model the
// subset of those known to serve it. Engines that never reported are explored
// apart, see Unheard.
func (d *Directory) Members(router string, size int) map[string]bool {
	byModel := map[string][]string{}
	for id, r := range d.table.Load().byID {
		for _, model := range r.models() {
			byModel[model] = append(byModel[model], id)
		}
	}
	members := map[string]bool{}
	for _, ids := range byModel {
		for _, id := range Subset(router, ids, size) {
			members[id] = true
		}
	}
	return members
}

// LeastRecentlyReported returns up to n engines outside members to be asked what they serve:
// those that never reported first, in this router's own order, then the rest
// by the age of their reports, so that changes of placement are noticed.
func (d *Directory) LeastRecentlyReported(router string, members map[string]bool, n int) []string {
	key := xxhash.Sum64String(router)
	var all []ranked
	for id, r := range d.table.Load().byID {
		if members[id] || r.candidate().Backend.Kind != fleet.Engine {
			continue
		}
		all = append(all, ranked{id, r.heardAt(), routing.Rendezvous(key, id)})
	}
	slices.SortFunc(all, ranked.compare)
	return first(all, n)
}

// heardAt is when the last report came, in Unix milliseconds of this router, before
// all others for an engine that never reported. By the engines' own clocks, one that
// is behind would be asked in each round.
func (r *record) heardAt() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard.IsZero() {
		return math.MinInt64
	}
	return r.heard.UnixMilli()
}

func (r *record) models() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := map[string]bool{}
	for _, ref := range r.last.Serves {
		models[ref.Model] = true
	}
	return slices.Collect(maps.Keys(models))
}
