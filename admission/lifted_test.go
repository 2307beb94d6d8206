package admission

import (
	"testing"
	"time"

	"wigeondale/schedule"
)

// Guards against a lifted less urgent request that finds no room, and for which urgent requests that would find some have to wait.
func TestLiftedRequestHoldsNoMoreUrgentOne(t *testing.T) {
	for _, cost := range []float64{1, 50000} {
		s := newOrderSim(ShareByArrival, 3)
		s.fits = func(r *simRequest) bool { return r.Priority == 0 }
		served := 0
		s.granted = func(*simRequest) { served++ }
		s.arrive(2, "less", cost)
		for range 600 {
			s.arrive(0, "urgent", 100)
			s.step()
			if len(s.waiting) > 1 {
				t.Fatalf("cost %v: an urgent request waits after %d grants", cost, served)
			}
		}
		if !s.queue.Poll(s.waiting[0].Item, s.now).Due {
			t.Errorf("cost %v: after %v the less urgent request isn't lifted", cost, 600*pollStep)
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
