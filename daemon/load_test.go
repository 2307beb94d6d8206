package daemon

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/intent"
	"wigeondale/peer"
)

// Symptom: a client account gets its whole limit at each router.
// Sequence: three routers see each other's demand; the links between them are
// cut, so that the others' summaries are empty though nobody is dead yet.
// Cause: a lost peer's demand was taken for none.
func TestDemandOutlivesTheLink(t *testing.T) {
	asked := map[string]float64{"acme": 100}
	member := func(id string, linked bool) peer.Member {
		m := peer.Member{ID: id, Alive: true, Linked: linked, Suspect: !linked}
		if linked {
			m.Summary.Demand = asked
		}
		return m
	}
	heard := demands{}
	heard.take([]peer.Member{member("b", true), member("c", true)})
	sum := 0.0
	var own []float64
	var lost []float64
	for _, p := range heard.take([]peer.Member{member("b", false), member("c", false)}) {
		if !p.Unreachable {
			t.Errorf("%s counts as heard", p.Node)
		}
		lost = append(lost, p.Demand["acme"])
	}
	for range 3 {
		sum += admission.LimitShare(100, 100, own, lost)
	}
	if sum > 100*admission.MaxOvershoot {
		t.Errorf("three routers admit %.0f of a limit of 100", sum)
	}
	if heard.take(nil); len(heard) != 0 {
		t.Error("the demand of a member that is gone is kept")
	}
}

// Symptom: callers of one router are refused while those of another are
// served; or places of dead engines are filled at the living ones.
// Sequence: the other router fills both engines; then one of them goes down.
// Cause: only what others leave was taken; engines that are down were counted.
func TestRoomIsSharedFairly(t *testing.T) {
	const places = 20
	ref := fleet.ModelRef{Model: "m", Version: "v1"}
	dir := directory.New(nil)
	dir.Update([]fleet.Backend{{ID: "e1", VM: "v1", Kind: fleet.Engine}, {ID: "e2", VM: "v2", Kind: fleet.Engine}}, time.Now())
	for _, id := range dir.IDs() {
		dir.Report(id, fleet.LoadReport{Incarnation: "i", AsOfUnixMS: time.Now().UnixMilli(), Running: places, Serves: []fleet.ModelRef{ref}}, time.Now())
	}
	accs := newAccounts(dir)
	accs.set(&intent.State{Traffic: map[string]intent.Traffic{
		"m": {Model: "m", Weights: []intent.Weight{{Version: "v1", Percent: 100}}},
	}})
	mon := health.NewMonitor(health.DefaultPolicy(), nil, metrics.NewSet())
	fresh := func() *room {
		return &room{dir: dir, mon: mon, accs: accs, perEngine: places, routers: func() int { return 2 }}
	}
	if got := fresh().all("m"); got != places {
		t.Errorf("room for %d beside a router that has all places, want half of them", got)
	}
	for range 100 {
		mon.Result("e2", backend.ErrNotSent)
	}
	if got := fresh().all("m"); got != places/2 {
		t.Errorf("room for %d with one engine down, want half of the other's", got)
	}
}

// Symptom: after some retries over its life, a router that serves generations
// only never retries again.
// Sequence: the retry budget is spent; generations go on being admitted.
// Cause: their first tries earned nothing; a resume is no first try.
func TestGenerationsEarnRetries(t *testing.T) {
	ctl := admission.NewController(admission.Config{}, nil, nil)
	ctl.SetLimits(map[string]admission.Limit{"acme": {}})
	budget := admission.NewRetryBudget(0.5, 1)
	a := admitter{ctl, budget}
	for _, resume := range []bool{true, false} {
		for budget.Take() {
		}
		for range 2 {
			done, err := a.Admit(t.Context(), generation.Ticket{Account: "acme", Model: "m", Cost: 1, Resume: resume})
			if err != nil {
				t.Fatal(err)
			}
			done()
		}
		if budget.Take() == resume {
			t.Errorf("resume %v: a retry is earned: %v", resume, !resume)
		}
	}
}
