package rollout

import (
	"testing"
	"time"

	"wigeondale/fleet"
)

// Guards against a roll-out that begins again, since the operator has written its order again after the store
// came back from a copy: at a router that knew the order, and at one that has just started.
func TestOrderWrittenAgainIsTheSame(t *testing.T) {
	c, err := LoadChart()
	if err != nil {
		t.Fatal(err)
	}
	order := Order{Service: "app", Target: "v2", Duration: time.Minute, Revision: fleet.RevisionOf(0, 50)}
	again := order
	again.Revision = fleet.RevisionOf(1, 30)
	for _, stage := range []Stage{Completed, RolledBack} {
		record := Record{Order: order.Revision, Target: "v2", Stage: stage}
		knew, started := New(Config{Chart: c, Random: func() float64 { return 0 }, Routers: func() int { return 1 }}), New(Config{Chart: c, Random: func() float64 { return 0 }, Routers: func() int { return 1 }})
		knew.SetOrder(order, time.Second)
		knew.SetRecord(record, fleet.RevisionOf(0, 60), 2*time.Second)
		for name, r := range map[string]*Rollout{"knew": knew, "started": started} {
			r.SetRecord(record, fleet.RevisionOf(1, 20), 3*time.Second)
			r.SetOrder(again, 4*time.Second)
			if got := r.Stage(); got != stage {
				t.Errorf("%s: stage %s, was %s", name, got, stage)
			}
			if next, _, due := r.NextRecord(5*time.Second, ReplicaCounts{New: 3, Old: 3, Domains: 3}); due {
				t.Errorf("%s: writes %+v", name, next)
			}
		}
		if rule := knew.Rule(); stage == Completed && rule.CompletedRevision.Era() != 0 {
			t.Errorf("replicas that started after the completion count as started before: %v", rule.CompletedRevision)
		}
		next := again
		next.Revision, next.Target = fleet.RevisionOf(1, 40), "v3"
		knew.SetOrder(next, 6*time.Second)
		if knew.Stage() != Waiting {
			t.Errorf("a new order does not begin: %s", knew.Stage())
		}
	}
}
