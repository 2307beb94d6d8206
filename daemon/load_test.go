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

// The demand of a peer whose link is down must still count until the peer is removed. When
// the links between three routers were down, each router assumed that the others had no
// demand, and a client account got its whole limit at each router.
func TestDemandOutlivesTheLink(t *testing.T) {
	demand := map[string]float64{"acme": 100}
	member := func(id string, linked bool) peer.Member {
		m := peer.Member{ID: id, Alive: true, Linked: linked, Suspect: !linked}
		if linked {
			m.Summary.Demand = demand
		}
		return m
	}
	received := demands{}
	received.update([]peer.Member{member("b", true), member("c", true)})
	sum := 0.0
	var reachable []float64
	var unreachable []float64
	for _, p := range received.update([]peer.Member{member("b", false), member("c", false)}) {
		if !p.Unreachable {
			t.Errorf("%s counts as reachable", p.Node)
		}
		unreachable = append(unreachable, p.Demand["acme"])
	}
	for range 3 {
		sum += admission.LimitShare(100, 100, reachable, unreachable)
	}
	if sum > 100*admission.MaxOvershoot {
		t.Errorf("three routers admit %.0f of a limit of 100", sum)
	}
	if received.update(nil); len(received) != 0 {
		t.Error("the demand of a removed member is kept")
	}
}

// Routers share the slots of engines evenly, so that callers of one router are not refused
// while those of another are served. Here the other router fills both engines. This router
// must still get its share and not only the slots that are left free. Slots of an engine
// that is down must not be counted: the requests admitted for these slots would go to the
// remaining engines.
func TestRoomIsSharedFairly(t *testing.T) {
	const slots = 20
	ref := fleet.ModelRef{Model: "m", Version: "v1"}
	dir := directory.New(nil)
	dir.Update([]fleet.Backend{{ID: "e1", VM: "v1", Kind: fleet.Engine}, {ID: "e2", VM: "v2", Kind: fleet.Engine}}, time.Now())
	for _, id := range dir.IDs() {
		dir.Report(id, fleet.LoadReport{Incarnation: "i", AsOfUnixMS: time.Now().UnixMilli(), Running: slots, Serves: []fleet.ModelRef{ref}}, time.Now())
	}
	accs := newAccounts(dir)
	accs.set(&intent.State{Traffic: map[string]intent.Traffic{
		"m": {Model: "m", Weights: []intent.Weight{{Version: "v1", Percent: 100}}},
	}})
	mon := health.NewMonitor(health.DefaultPolicy(), nil, metrics.NewSet())
	newCounter := func() *slotCounter {
		return &slotCounter{dir: dir, mon: mon, accs: accs, perEngine: slots, routers: func() int { return 2 }}
	}
	if got := newCounter().all("m"); got != slots {
		t.Errorf("%d slots while another router uses all of them, want half", got)
	}
	for range 100 {
		mon.Result("e2", backend.ErrNotSent)
	}
	if got := newCounter().all("m"); got != slots/2 {
		t.Errorf("%d slots with one engine down, want half of the other's", got)
	}
}

// First tries of generations must add to the retry budget; resumes must not. When first
// tries added nothing, a router that serves only generations never retried again once its
// initial budget was spent.
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
