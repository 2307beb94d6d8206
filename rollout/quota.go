package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fleet"
)

// Limits bound the requests that reach a version that may turn out to be bad, over all routers
// together.
type Limits struct {
	Share float64 // share of the requests for the service
	Burst float64 // number of requests in addition to the share
}

const (
	// usedShare and usedBurst are the parts of Limits.Share and Limits.Burst that a trial uses.
	// The rest is reserved for requests sent to the new version between its first bad answers
	// and the moment the last router stops sending to it.
	usedShare = 0.6
	usedBurst = 0.7
	// firstShare is the part of the used share that the new version gets at the start of a
	// trial, and firstFor how long this part applies.
	firstShare = 0.25
	firstFor   = 1500 * time.Millisecond
	// trialReplicaFactor is the ratio between the share of the new replicas that take part in
	// a trial and the share of the requests that they get. The ratio is above 1 since the
	// requests of Limits.Burst come on top of the share, and new replicas with more load than
	// the old replicas would appear slow.
	trialReplicaFactor = 3
)

// share returns the part of the requests that goes to the new version at the given time since the
// start of the trial.
func (l Limits) share(trial time.Duration) float64 {
	if trial < firstFor {
		return firstShare * usedShare * l.Share
	}
	return usedShare * l.Share
}

// quota limits one router's requests to the version on trial. Each router counts only its own
// requests; the quotas of all routers add up to the share of all requests, whichever router they
// arrive at.
//
// Each quota starts at a random fraction of one request. If all routers rounded the same way, then
// with many routers that see a few requests each, rounding down would send nothing to the new
// version, and rounding up would send it one request for each router.
type quota struct {
	allowed float64 // requests allowed so far by the share
	extra   float64 // requests allowed in addition, by the end of the trial
	sent    int
}

// newQuota returns the quota of one of several routers; random is uniform in [0, 1).
func newQuota(l Limits, routers int, random float64) *quota {
	q := &quota{allowed: random}
	q.setBurst(l, routers)
	return q
}

func (q *quota) setBurst(l Limits, routers int) {
	q.extra = usedBurst * l.Burst / float64(max(routers, 1))
}

// admit counts one request and reports whether the request goes to the new version. elapsed is
// the part of the trial that has elapsed, from 0 to 1. The requests allowed in addition to the
// share become available evenly over the trial, since a version may turn bad after a while.
func (q *quota) admit(share, elapsed float64) bool {
	q.allowed += share
	if float64(q.sent+1) > q.allowed+q.extra*min(elapsed, 1) {
		return false
	}
	q.sent++
	return true
}

// undo gives back the quota that admit used for a request that was not sent to the new version
// after all.
func (q *quota) undo() { q.sent-- }

// TrialReplicas chooses the replicas of the new version that take part in a trial, at least
// one in each failure domain. It chooses so few replicas that each has about as much load as
// it will have after the roll-out: a version that fails only under load then fails during the
// trial. All routers choose the same replicas.
func TrialReplicas(replicas []fleet.Backend, l Limits) map[string]bool {
	byDomain := map[string][]string{}
	for i := range replicas {
		b := &replicas[i]
		byDomain[b.FailureDomain] = append(byDomain[b.FailureDomain], b.ID)
	}
	set := map[string]bool{}
	for _, ids := range byDomain {
		slices.SortFunc(ids, byHash)
		n := int(math.Ceil(trialReplicaFactor * usedShare * l.Share * float64(len(ids))))
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
