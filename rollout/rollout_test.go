package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/chart"
	"wigeondale/fleet"
)

func mustChart(t testing.TB) *chart.Chart {
	c, err := LoadChart()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newRollout(t testing.TB) *Rollout {
	return New(Config{
		Limits: Limits{Share: 0.1, Burst: 50}, Chart: mustChart(t), Routers: func() int { return 1 },
		Random: func() float64 { return 0.5 }, Incarnation: 1,
	})
}

var someOrder = Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Revision: 7}

// Symptom: a bad version gets a multiple of its share. Sequence: requests come to few of
// the routers, or by turns to others, while routers end and start again. Cause: each router
// rounds its part up.
func TestSharesOfAllRoutersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{1, 6, 76, 300}).Draw(t, "routers")
		limits := Limits{Share: 0.1, Burst: 50}
		seed := rapid.Uint64().Draw(t, "seed")
		random := func() float64 {
			seed = seed*6364136223846793005 + 1442695040888963407
			return float64(seed>>11) / (1 << 53)
		}
		rations := make([]*ration, routers)
		for i := range rations {
			rations[i] = newRation(limits, routers, random())
		}
		sent, requests, starts := 0, rapid.IntRange(0, 5000).Draw(t, "requests"), 0
		busy := rapid.IntRange(1, routers).Draw(t, "busy")
		for k := range requests {
			i := int(random() * float64(busy))
			if rations[i].next(usedShare*limits.Share, float64(k)/float64(requests)) {
				sent++
			}
			if random() < 0.0005 { // the router starts again
				rations[i] = newRation(limits, routers, random())
				starts++
			}
		}
		mean := usedShare*limits.Share*float64(requests) + usedBurst*limits.Burst*(1+float64(starts)/float64(routers)) + 0.5*float64(starts)
		// The parts of many routers are rounded each by itself.
		if most := mean + 6*math.Sqrt(float64(routers)/4+1); float64(sent) > most {
			t.Fatalf("%d of %d requests were sent, %.1f are due in the mean", sent, requests, mean)
		}
	})
}

// Symptom: a new version gets requests of which nobody ordered a trial. Sequence: its
// replicas register; the order and the record come later, one by one. Cause: what is not
// known counts as allowed.
func TestNewVersionWaitsForItsTrial(t *testing.T) {
	r := newRollout(t)
	old, fresh := fleet.Backend{Version: "v1"}, fleet.Backend{Version: "v2"}
	if rule := r.Rule(); !rule.Allows(&fresh) || !rule.Allows(&old) {
		t.Error("without an order all versions are used")
	}
	r.SetOrder(someOrder, 0)
	if rule := r.Rule(); rule.Allows(&fresh) || rule.AllowsTrial(&fresh) || !rule.Allows(&old) {
		t.Errorf("ordered: %+v", rule)
	}
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, time.Second)
	if rule := r.Rule(); rule.Allows(&fresh) || !rule.AllowsTrial(&fresh) || !rule.Allows(&old) {
		t.Errorf("on trial: %+v", rule)
	}
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Moving}, 9, 8*time.Second)
	if rule := r.Rule(); !rule.Allows(&fresh) || rule.Allows(&old) || !rule.MovesRuns(&old) {
		t.Errorf("moving: %+v", rule)
	}
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Completed}, 20, 10*time.Second)
	later := fleet.Backend{Version: "v3", Started: 21}
	if rule := r.Rule(); !rule.Allows(&fresh) || rule.Allows(&old) || !rule.Allows(&later) {
		t.Errorf("completed: %+v", rule)
	}
}

// Symptom: a version that was taken back gets requests again. Sequence: news of the trial
// come after those of its end; another version is ordered. Cause: the latest news count,
// and the version of an earlier order counts as an old one.
func TestTakenBackStaysSo(t *testing.T) {
	r := newRollout(t)
	fresh := fleet.Backend{Version: "v2"}
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: RolledBack}, 9, 2*time.Second)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, 3*time.Second)
	if rule := r.Rule(); rule.Stage != RolledBack || rule.Allows(&fresh) || rule.AllowsTrial(&fresh) {
		t.Errorf("got %+v", rule)
	}
	r.SetOrder(Order{Service: "s", Target: "v3", Duration: time.Minute, Revision: 12}, 4*time.Second)
	if rule := r.Rule(); rule.Allows(&fresh) || rule.Target != "v3" {
		t.Errorf("the next order: %+v", rule)
	}
	next, rev, due := r.NextRecord(4*time.Second, ReplicaCounts{New: 1, Old: 1, Domains: 1})
	if !due || rev != 9 || next.Stage != Trial || next.Target != "v3" || len(next.Barred) != 1 {
		t.Errorf("got %+v after %d, due %v", next, rev, due)
	}
}

// Symptom: a router that hears nothing more of the store goes on with a trial that others
// have ended. Cause: what it knew last counts for ever.
func TestTrialEndsWhereTheStoreIsNotHeard(t *testing.T) {
	r := newRollout(t)
	fresh, old := fleet.Backend{Version: "v2"}, fleet.Backend{Version: "v1"}
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, time.Second)
	r.Tick(2*time.Second, false, 1)
	for i := range 100 {
		if r.Assign(fmt.Sprint(i), 3*time.Second) {
			t.Fatal("a request was tried")
		}
	}
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Moving}, 9, 4*time.Second)
	if rule := r.Rule(); !rule.Allows(&fresh) || !rule.Allows(&old) || rule.MovesRuns(&old) {
		t.Errorf("moving, unheard: %+v", rule)
	}
}

// Symptom: a request that waits for an engine is counted once for each look. Cause: it is
// drawn anew each time.
func TestRequestIsDrawnOnce(t *testing.T) {
	r := newRollout(t)
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, 0)
	q := ""
	for i := 0; q == ""; i++ {
		if id := fmt.Sprint(i); r.Assign(id, 3*time.Second) {
			q = id
		}
	}
	for range 100 {
		if !r.Assign(q, 3*time.Second) || r.Assign("0", 3*time.Second) != (q == "0") {
			t.Fatal("the same request was drawn another way")
		}
	}
	if !r.Unassign(q) || r.Unassign(q) {
		t.Error("it is given back once")
	}
}

// Symptom: an order that is withdrawn goes on. Cause: only a bad version is taken back.
func TestWithdrawnOrderIsTakenBack(t *testing.T) {
	r := newRollout(t)
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, time.Second)
	r.WithdrawOrder()
	next, _, due := r.NextRecord(2*time.Second, ReplicaCounts{New: 1, Old: 1, Domains: 1})
	if !due || next.Stage != RolledBack || next.Reason == "" {
		t.Errorf("got %+v, due %v", next, due)
	}
}

// Symptom: a roll-out completes with a third of the replicas that the service needs.
// Sequence: a failure domain of the new version is away when the trial is over. Cause: the
// answers alone are judged.
func TestTooFewReplicasDoNotComplete(t *testing.T) {
	r := newRollout(t)
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, time.Second)
	if next, _, due := r.NextRecord(someOrder.moveAt(), ReplicaCounts{New: 1, Old: 3, Domains: 1}); due {
		t.Errorf("got %+v", next)
	}
	next, _, due := r.NextRecord(someOrder.lateAt(), ReplicaCounts{New: 1, Old: 3, Domains: 1})
	if !due || next.Stage != RolledBack {
		t.Errorf("at the end of its time: %+v, due %v", next, due)
	}
}

// A trial takes all the time that is left by what follows it.
func TestTimesOfAnOrder(t *testing.T) {
	for _, d := range []time.Duration{2 * time.Second, 5 * time.Second, 12 * time.Second, time.Minute, time.Hour} {
		o := Order{Duration: d}
		if at := o.moveAt(); at > d || at < time.Duration(minTrialShare*float64(d)) {
			t.Errorf("%v: moves at %v", d, at)
		}
		if d >= 10*time.Second && o.moveAt()+settle > d-time.Second {
			t.Errorf("%v: no margin", d)
		}
	}
}

// Symptom: a report that is lost, comes twice or late makes a version bad. Cause: its counts
// are added, not taken for the whole.
func TestReportsCountOnce(t *testing.T) {
	r := newRollout(t)
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, 0)
	report := func(number uint64, n uint32) Report {
		return Report{Service: "s", Order: 7, Incarnation: 3, Sequence: number, New: []Count{{CountKey{Route: "r", Domain: "d0", Grade: Failed}, n}}}
	}
	for _, rep := range []Report{report(1, 2), report(3, 3), report(2, 2), report(3, 3)} {
		r.HandleReport("other", rep, time.Second)
	}
	r.Tick(time.Second, true, 1)
	if v, _ := r.Verdict(); v.BadAnswers != 3 {
		t.Errorf("got %+v", v)
	}
}

// Symptom: a sound version is taken back when a failure domain has a fault. Sequence: all
// answers of its replicas in one domain fail, those in two others are well. Cause: the
// domain's answers convict the version alone.
func TestOneDomainAloneDoesNotConvict(t *testing.T) {
	for _, failing := range []int{1, 2} {
		r := newRollout(t)
		r.SetOrder(someOrder, 0)
		r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, 0)
		for i := range 30 {
			for d := range 3 {
				c := CountKey{Route: "r", Domain: fmt.Sprint("d", d), Grade: 10}
				if d < failing {
					c.Grade = Failed
				}
				r.Observe(CountKey{Route: "r", Grade: 10}, false, time.Duration(i)*time.Millisecond)
				r.Observe(c, true, time.Duration(i)*time.Millisecond)
			}
		}
		r.Tick(time.Second, true, 3)
		if v, bad := r.Verdict(); bad != (failing > 1) {
			t.Errorf("%d of 3 domains fail: bad %v, %+v", failing, bad, v)
		}
	}
}

// Symptom: a bad version gets all requests for a second. Sequence: a trial is over; a router
// whose links are slow has heard of no answer. Cause: it takes the service for one that has
// hardly any requests, though requests came to it.
func TestTrialIsNotPassedUnheard(t *testing.T) {
	r := New(Config{Limits: Limits{Share: 0.1, Burst: 50}, Chart: mustChart(t), Routers: func() int { return 4 }, Random: func() float64 { return 0.5 }})
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, time.Second)
	for i := range 12 {
		r.Assign(fmt.Sprint(i), 2*time.Second)
	}
	if next, _, due := r.NextRecord(someOrder.moveAt(), ReplicaCounts{New: 3, Old: 3, Domains: 3}); due {
		t.Errorf("got %+v", next)
	}
}

// Symptom: a version that turns bad a second after its begin gets all requests. Sequence:
// the store answers late, so the trial begins when most of the time before the move is
// over. Cause: the trial ends by the time of the order alone.
func TestTrialThatBeginsLateLastsAWhile(t *testing.T) {
	r := newRollout(t)
	r.SetOrder(someOrder, 0)
	begin := someOrder.moveAt() - 100*time.Millisecond
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, begin)
	ready := ReplicaCounts{New: 3, Old: 3, Domains: 3}
	for at := begin; at < begin+someOrder.leastTrial() && at < someOrder.lateAt()-newsLag; at += simTick {
		if next, _, due := r.NextRecord(at, ready); due {
			t.Fatalf("after %v: %+v", at-begin, next)
		}
	}
}

// Symptom: a sound version of engines seems slow and is taken back. Sequence: its trial goes
// to two engines of sixty in a domain, where prompts wait for each other. Cause: fewer
// replicas take part than the requests of the trial need.
func TestTrialHasReplicasEnough(t *testing.T) {
	limits := Limits{Share: 0.1, Burst: 50}
	for _, each := range []int{1, 3, 60, 1000} {
		var all []fleet.Backend
		for i := range 3 * each {
			all = append(all, fleet.Backend{ID: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%3)})
		}
		byDomain := map[string]int{}
		for id := range TrialReplicas(all, limits) {
			for i := range all {
				if all[i].ID == id {
					byDomain[all[i].FailureDomain]++
				}
			}
		}
		for d := range 3 {
			n := byDomain[fmt.Sprint("d", d)]
			if least := limits.Share * float64(each); float64(n) < least || n < 1 || n > each/3+1 {
				t.Errorf("%d replicas of %d in a domain take part", n, each)
			}
		}
	}
}

// Symptom: a sound version is taken back while all work moves to it. Sequence: nothing comes
// from the old version any more; a route fails one answer in four, as it did there. Cause:
// what is usual is forgotten after some seconds.
func TestUsualIsKeptWhileWorkMoves(t *testing.T) {
	r := newRollout(t)
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, 0)
	grade := func(i int) Grade {
		if i%4 == 0 {
			return Failed
		}
		return 10
	}
	for i := range 140 {
		r.Observe(CountKey{Route: "r", Grade: grade(i)}, false, time.Second)
	}
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Moving}, 9, 2*time.Second)
	for i := range 140 {
		r.Observe(CountKey{Route: "r", Domain: fmt.Sprint("d", i%3), Grade: grade(i)}, true, 2*time.Second+2*oldSpan)
	}
	r.Tick(2*time.Second+2*oldSpan, true, 3)
	if v, bad := r.Verdict(); bad || v.BadAnswers != 35 {
		t.Errorf("bad %v: %+v", bad, v)
	}
}

// Symptom: a trial is not passed for a replica that fails, whatever the others answer. Cause:
// the doubt of its domain counts.
func TestOneDomainIsNoDoubt(t *testing.T) {
	r := newRollout(t)
	r.SetOrder(someOrder, 0)
	r.SetRecord(Record{Order: 7, Target: "v2", Stage: Trial}, 8, time.Second)
	for i := range 60 {
		c := CountKey{Route: "r", Domain: fmt.Sprint("d", i%3), Grade: 10}
		if i%3 == 0 {
			c.Grade = Failed
		}
		r.Observe(CountKey{Route: "r", Grade: 10}, false, 2*time.Second)
		r.Observe(c, true, 2*time.Second)
	}
	r.Tick(2*time.Second, true, 3)
	next, _, due := r.NextRecord(someOrder.moveAt(), ReplicaCounts{New: 3, Old: 3, Domains: 3})
	if !due || next.Stage != Moving {
		t.Errorf("due %v: %+v", due, next)
	}
}
