package schedule

import "time"

// lessUrgentEvery means that, while urgent and less urgent work both wait, one grant in lessUrgentEvery goes to less urgent
// work.
const lessUrgentEvery = 4

// LessUrgentShare is the part of the grants that less urgent work gets while both wait.
const LessUrgentShare = 1.0 / lessUrgentEvery

// Alternation decides between two priorities that have queues and slots of their own. The load for which it decides: a
// flood of urgent requests, which would starve started work of the lower priority. Less urgent work gets one grant in
// lessUrgentEvery, and a grant if it was passed over for DueAfter. The zero value is ready for use.
type Alternation struct {
	contended uint64 // grants while both waited
	turns     Turns
}

const lessUrgent = 1 // the less urgent priority in turns

// UrgentFirst decides the next grant while both priorities wait and have a slot.
func (a *Alternation) UrgentFirst(now time.Time) bool {
	a.turns.Observe(lessUrgent, now)
	a.contended++
	if a.contended%lessUrgentEvery == 0 || a.turns.Due(lessUrgent, now) {
		a.turns.Granted(lessUrgent, now)
		return false
	}
	return true
}
