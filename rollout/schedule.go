package rollout

import "time"

const (
	// storeLag is the assumed age of an order when this router receives it.
	storeLag = time.Second
	// settleTime is the least time from the decision that all work moves until the roll-out is
	// recorded as completed, so that the old replicas may stop. It is long enough for the
	// other routers, which are notified of the decision within storeLag.
	settleTime = 1700 * time.Millisecond
	// writeMargin is the time that is left of an order's duration when the roll-out is recorded as
	// completed although streams run at old replicas.
	writeMargin = 900 * time.Millisecond
	// runsInterval is how often a router repeats how many streams run at old replicas, and
	// runsMaxAge the age of such a report above which the router counts as lost.
	runsInterval = 500 * time.Millisecond
	runsMaxAge   = 4 * runsInterval
	// marginShare of an order's duration, and minMargin at least, is reserved for a store that
	// answers slowly and for the case that another router has to take over writing the record.
	marginShare = 0.12
	minMargin   = 1500 * time.Millisecond
	// minTrialShare of an order's duration goes to the trial, however short the duration is.
	minTrialShare = 0.4
	// minTrialAfterStart is the least time from the actual start of a trial until the trial
	// may pass. If minTrialAfterStartShare of the order's duration is less, that share is used
	// instead. If the trial starts late because the store answered late, the time until the
	// planned end may be too short to see an answer.
	minTrialAfterStart      = 2 * time.Second
	minTrialAfterStartShare = 0.25
	// rollbackMargin is the time that is left of an order's duration when a roll-out whose
	// trial has not passed is rolled back.
	rollbackMargin = settleTime + 200*time.Millisecond
)

// trialEnd returns the time from the order to the planned end of the trial. A version that
// turns bad after a while is found only during the trial, so the trial takes all of the
// order's duration except the margin and settleTime, and at least minTrialShare of the
// duration.
func (o Order) trialEnd() time.Duration {
	margin := max(minMargin, time.Duration(marginShare*float64(o.Duration)))
	least := time.Duration(minTrialShare * float64(o.Duration))
	return max(o.Duration-margin-settleTime, least)
}

// stopAt returns the time from the order until which the completion waits for the streams at old
// replicas, which stop with it.
func (o Order) stopAt() time.Duration { return max(o.Duration-writeMargin, o.trialEnd()+settleTime) }

// giveUpAt returns the time from the order after which a roll-out whose trial has not passed can't
// complete in time.
func (o Order) giveUpAt() time.Duration { return max(o.Duration-rollbackMargin, o.trialEnd()) }

// minTrialAfterStart returns the minimum duration of the order's trial.
func (o Order) minTrialAfterStart() time.Duration {
	return min(minTrialAfterStart, time.Duration(minTrialAfterStartShare*float64(o.Duration)))
}
