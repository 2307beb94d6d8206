package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fleet"
)

// Limits bound the requests that reach a version which may turn out to be bad, over all
// routers together.
type Limits struct {
	Share float64 // of the requests for the service
	Burst float64 // requests more
}

const (
	// usedShare and usedBurst are the parts of the limits that a trial uses. The rest is
	// for the time from the first bad answers until the last router has stopped.
	usedShare = 0.6
	usedBurst = 0.7
	// firstShare is the part of that with which a trial begins, and firstFor how long.
	firstShare = 0.25
	firstFor   = 1500 * time.Millisecond
	// trialRoom is how much larger the part of the new replicas that take part in a trial is
	// than the share of the requests that goes to them: the burst comes on top of the share,
	// and replicas that have more to do than the old ones would seem slow.
	trialRoom = 3
)

// share is the part of the requests that goes to the new version after some time of trial.
func (l Limits) share(trial time.Duration) float64 {
	if trial < firstFor {
		return firstShare * usedShare * l.Share
	}
	return usedShare * l.Share
}

// ration hands out a router's part of the trial. Each router counts its own requests only;
// the parts of all add up to the share of all requests, whichever router they come to.
//
// What goes wrong if each router rounds its part the same way: with many routers that see
// a few requests each, rounding down tries nothing, and rounding up gives the new version
// a request for each router. So each begins at a random point of its first step.
type ration struct {
	due   float64 // requests that the new version may have had by now, by their share
	extra float64 // that it may have besides, by the end of the trial
	sent  int
}

// newRation returns the ration of one of some routers; random is 0 to 1.
func newRation(l Limits, routers int, random float64) *ration {
	return &ration{due: random, extra: usedBurst * l.Burst / float64(max(routers, 1))}
}

// next counts one request and tells whether it goes to the new version. over is how much of
// the trial is over, 0 to 1: what may come besides the share is spread over its time, since
// a version may turn bad late.
func (r *ration) next(share, over float64) bool {
	r.due += share
	if float64(r.sent+1) > r.due+r.extra*min(over, 1) {
		return false
	}
	r.sent++
	return true
}

// giveBack takes back a request that did not go to the new version after all.
func (r *ration) giveBack() { r.sent-- }

// TrialReplicas chooses the replicas of the new version that take part in a trial: one at least
// in each failure domain, and so few that each has about as much to do as it will have
// later, so that a version which is bad under load shows it. All routers choose the same.
func TrialReplicas(replicas []fleet.Backend, l Limits) map[string]bool {
	byDomain := map[string][]string{}
	for i := range replicas {
		b := &replicas[i]
		byDomain[b.FailureDomain] = append(byDomain[b.FailureDomain], b.ID)
	}
	set := map[string]bool{}
	for _, ids := range byDomain {
		slices.SortFunc(ids, byHash)
		n := int(math.Ceil(trialRoom * usedShare * l.Share * float64(len(ids))))
		for _, id := range ids[:max(n, 1)] {
			set[id] = true
		}
	}
	return set
}

func byHash(a, b string) int {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}
