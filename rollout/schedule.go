package rollout

import "time"

const (
	// newsLag is how long an order may have been there when this router learns of it.
	newsLag = time.Second
	// settle is the time from the decision that all work moves to the word that the old
	// replicas may stop. Other routers learn of the decision within newsLag, and move
	// their runs MoveGrace later.
	settle = 1700 * time.Millisecond
	// MoveGrace is how long runs stay where they are once they are to move, so that a
	// copy of each can be made where it goes on.
	MoveGrace = 600 * time.Millisecond
	// marginShare of an order's time, and minMargin at least, is kept for a store that
	// answers late and for a router that takes over from another one.
	marginShare = 0.12
	minMargin   = 1500 * time.Millisecond
	// minTrialShare of an order's time goes to the trial, however short the time is.
	minTrialShare = 0.4
	// leastTrial is how long a trial lasts at least once it has begun, and leastTrialShare
	// the part of the order's time, if that is less: where the store answered late, what is
	// left by the order's time may be too short to see an answer.
	leastTrial      = 2 * time.Second
	leastTrialShare = 0.25
	// lastCall is how long before the end of its time a roll-out that has not passed its
	// trial is taken back.
	lastCall = settle + 200*time.Millisecond
)

// moveAt is when, after the order, the trial ends. A version that turns bad late is found
// only while the trial lasts, so it takes all the time that there is.
func (o Order) moveAt() time.Duration {
	margin := max(minMargin, time.Duration(marginShare*float64(o.Duration)))
	least := time.Duration(minTrialShare * float64(o.Duration))
	return max(o.Duration-margin-settle, least)
}

// lateAt is when a roll-out that has not passed its trial can't complete in time.
func (o Order) lateAt() time.Duration { return max(o.Duration-lastCall, o.moveAt()) }

// leastTrial is how long its trial lasts at least.
func (o Order) leastTrial() time.Duration {
	return min(leastTrial, time.Duration(leastTrialShare*float64(o.Duration)))
}
