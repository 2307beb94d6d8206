package admission

import (
	"testing"
	"time"

	"wigeondale/schedule"
)

// Guards against a lifted less urgent request that finds no room, and for which urgent requests that would find some have to wait,
// again and again.
func TestLiftedRequestHoldsMoreUrgentOnesOnceAndShortly(t *testing.T) {
	for _, cost := range []float64{1, 50000} {
		s := newOrderSim(ShareByArrival, 3)
		s.fits = func(r *simRequest) bool { return r.Priority == 0 }
		s.granted = func(*simRequest) {}
		s.arrive(2, "less", cost)
		held := time.Duration(0)
		for range 1000 {
			if len(s.waiting) == 1 {
				s.arrive(0, "urgent", 100)
			}
			s.step()
			if len(s.waiting) > 1 {
				held += pollStep
			}
		}
		if held > 200*time.Millisecond {
			t.Errorf("cost %v: urgent requests were held for %v", cost, held)
		}
		if !s.queue.Poll(s.waiting[0].Item, s.now).Due {
			t.Errorf("cost %v: the less urgent request isn't lifted", cost)
		}
	}
}

// Guards against less urgent requests that pass a started answer of their own or another priority without a bound.
func TestStartedAnswerHoldsNewRequests(t *testing.T) {
	q, now := NewWaitQueue(), time.Unix(1000, 0)
	q.Poll(schedule.Item{ID: "started", Stage: schedule.Started, Priority: 2, Cost: 1}, now)
	if !q.Poll(schedule.Item{ID: "new", Stage: schedule.New, Cost: 1}, now).Held {
		t.Error("a new request is not held")
	}
}

// Guards against started answers that wait behind others for which room is reserved: their clients already read.
func TestStartedAnswersAreNotHeld(t *testing.T) {
	q, now := NewWaitQueue(), time.Unix(1000, 0)
	q.Poll(schedule.Item{ID: "urgent", Stage: schedule.Started, Cost: 1}, now)
	if q.Poll(schedule.Item{ID: "less", Stage: schedule.Started, Priority: 2, Cost: 1}, now).Held {
		t.Error("a started answer is held")
	}
}
