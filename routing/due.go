package routing

import "slices"

// ScoreDue names the scorer that draws work off the failure domain that is
// likeliest to crash next.
const ScoreDue = "due-domain"

// dueScorer draws work off the domain whose backend servers are older than those
// of every other domain.
//
// Where whole domains crash again and again, the one that has not crashed for
// the longest time is the likeliest to be next: what makes them crash (a rolling
// upgrade, a power feed that is switched over) goes from one to the other. Work
// placed there is lost in the middle. It shows as the same answers resumed at
// each crash, and as copies that are gone when they are needed. The ages of the
// lifetimes in the registry are the same for all routers, outlast their restarts
// and need no memory. Where starts of domains are mixed, as after a first start
// or a release, there is no such domain and all get the same score. It is no
// filter: with one domain down and one avoided the others would be overloaded.
type dueScorer struct{}

func (dueScorer) Score(v View, out []float64) {
	oldest, found := oldestDomain(v.all)
	for k := range out {
		if !found || v.at(k).Backend.FailureDomain != oldest {
			out[k] = 1
		}
	}
}

// ages are the first and the third quartile of the starts within one domain. A
// crash leaves out some of a domain, whose lifetimes go on.
type ages struct{ first, third int64 }

func quartiles(starts []int64) ages {
	slices.Sort(starts)
	n := len(starts)
	return ages{first: starts[n/4], third: starts[n-1-n/4]}
}

// oldestDomain is the domain most of whose backend servers are older than most
// of each other domain.
func oldestDomain(all []Candidate) (string, bool) {
	starts := map[string][]int64{}
	for i := range all {
		b := &all[i].Backend
		if b.Started != 0 && !all[i].leaving() {
			starts[b.FailureDomain] = append(starts[b.FailureDomain], b.Started)
		}
	}
	if len(starts) < 2 {
		return "", false
	}
	domains := make(map[string]ages, len(starts))
	for name, s := range starts {
		domains[name] = quartiles(s)
	}
	for name, a := range domains {
		if a.beforeAll(name, domains) {
			return name, true
		}
	}
	return "", false
}

func (a ages) beforeAll(name string, domains map[string]ages) bool {
	for other, o := range domains {
		if other != name && a.third >= o.first {
			return false
		}
	}
	return true
}
