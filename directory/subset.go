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

// Subset chooses size of the ids for one router by rendezvous hash, so that the choices
// of all routers spread evenly over the fleet and a change of the fleet changes few
// choices. If size is 0 or less, it chooses all ids.
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
	return firstIDs(all, size)
}

// ranked is an engine with its sort keys: the lowest age comes first, then the highest
// weight.
type ranked struct {
	id     string
	age    int64
	weight uint64
}

func (a ranked) compare(b ranked) int {
	return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(b.weight, a.weight))
}

func firstIDs(all []ranked, n int) []string {
	ids := make([]string, 0, n)
	for _, r := range all[:min(n, len(all))] {
		ids = append(ids, r.id)
	}
	return ids
}

// Members returns the engines that this router polls regularly: for each model, the
// subset of the engines known to serve it. Engines that never reported are polled
// separately, see LeastRecentlyReported.
func (d *Directory) Members(router string, size int) map[string]bool {
	byModel := map[string][]string{}
	for _, r := range d.index.all() {
		id := r.id
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

// LeastRecentlyReported returns up to n engines outside members, to be polled for the
// models that they serve. Engines that never sent a report come first, in an order that
// differs between routers; then come the other engines, the oldest report first, so that
// changes of placement are noticed.
func (d *Directory) LeastRecentlyReported(router string, members map[string]bool, n int) []string {
	key := xxhash.Sum64String(router)
	var all []ranked
	for _, r := range d.index.all() {
		id := r.id
		if members[id] || r.candidate().Backend.Kind != fleet.Engine {
			continue
		}
		all = append(all, ranked{id, r.lastReportMS(), routing.Rendezvous(key, id)})
	}
	slices.SortFunc(all, ranked.compare)
	return firstIDs(all, n)
}

// lastReportMS returns when the last report arrived, in Unix milliseconds by this
// router's clock. For an engine that never sent a report it returns the lowest value,
// so that the engine comes before all other engines. If the engines' own clocks were
// used, an engine whose clock is behind would be polled in each round.
func (r *record) lastReportMS() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reportedAt.IsZero() {
		return math.MinInt64
	}
	return r.reportedAt.UnixMilli()
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
