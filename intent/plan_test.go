package intent

import (
	"slices"
	"strings"
	"testing"

	"wigeondale/fleet"
)

func view() FleetView {
	v1 := fleet.ModelRef{Model: "m", Version: "v1"}
	v := FleetView{Serves: map[string][]fleet.ModelRef{}, Weights: map[string]int64{"m@v2": 100}, WeightRate: 2}
	for _, id := range []string{"1", "2", "3", "4"} {
		b := fleet.Backend{ID: "e" + id, VM: "vm" + id, FailureDomain: "d" + id, Kind: fleet.Engine}
		v.Backends = append(v.Backends, b)
		v.Serves[b.ID] = []fleet.ModelRef{v1}
	}
	return v
}

func traffic(weights ...Weight) Change {
	return Change{Kind: KindTraffic, Op: Set, Traffic: &Traffic{Model: "m", Weights: weights}}
}

func TestMakePlan(t *testing.T) {
	grant := Change{Kind: KindAccess, Op: Set, Access: &Access{Account: "a", Model: "m"}}
	all := []Change{leave("vm1"), leave("vm2"), leave("vm3"), leave("vm4")}
	badHash := Change{Kind: KindAccount, Op: Set, Account: &Account{ID: "a", KeyHashes: []string{"demo-key"}}}
	tests := []struct {
		name     string
		in       Intents
		conflict string // "" means a plan that can be confirmed
		waves    int
		bytes    int64
		left     int // replicas of m@v1 after the plan
	}{
		{name: "account and access", in: Intents{Changes: []Change{account("a"), grant}}, left: 4},
		{name: "unknown account", in: Intents{Changes: []Change{grant}}, conflict: "unknown client account"},
		{name: "key not hashed", in: Intents{Changes: []Change{badHash}}, conflict: "key hash"},
		{name: "weights", in: Intents{Changes: []Change{traffic(Weight{Version: "v1", Percent: 90})}}, conflict: "sum to 100"},
		{name: "twice", in: Intents{Changes: []Change{account("a"), account("a")}}, conflict: "twice"},
		{name: "half to v2", in: Intents{Changes: []Change{traffic(Weight{Version: "v1", Percent: 50}, Weight{Version: "v2", Percent: 50})}}, waves: 2, bytes: 200, left: 4},
		{name: "all to v2", in: Intents{Changes: []Change{traffic(Weight{Version: "v2", Percent: 100})}}, waves: 4, bytes: 400, left: 0},
		{name: "one VM leaves", in: Intents{Changes: all[:1]}, left: 3},
		{name: "last VM leaves", in: Intents{Changes: all}, conflict: "no replica", left: 0},
		{name: "forced", in: Intents{Changes: all, Force: true}, left: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := MakePlan(NewState(), view(), "op", "1", tt.in)
			got := ""
			if p.Refused() {
				got = p.Conflicts[0].Reason
			}
			if (tt.conflict == "") != (got == "") || !strings.Contains(got, tt.conflict) {
				t.Fatalf("conflict = %q, want %q", got, tt.conflict)
			}
			if len(p.Waves) != tt.waves || p.WeightBytes != tt.bytes {
				t.Errorf("%d waves, %d bytes; want %d, %d", len(p.Waves), p.WeightBytes, tt.waves, tt.bytes)
			}
			for _, c := range p.CapacityLeft {
				if c.Ref.Version == "v1" && c.After != tt.left {
					t.Errorf("replicas left = %d, want %d", c.After, tt.left)
				}
			}
		})
	}
}

// TestLeavesThatAreFatalTogether guards against a model that loses all replicas although no
// single plan would remove the last one. Two operators each remove half of the model's VMs,
// in plans made at the same revision. The plans have no object in common, so comparing
// objects alone would accept both.
func TestLeavesThatAreFatalTogether(t *testing.T) {
	s := NewState()
	one := MakePlan(s, view(), "op", "1", Intents{Changes: []Change{leave("vm1"), leave("vm2")}})
	two := MakePlan(s, view(), "op", "2", Intents{Changes: []Change{leave("vm3"), leave("vm4")}})
	next, err := s.Apply(one.Revision(1))
	if err != nil {
		t.Fatal(err)
	}
	if len(next.Conflicts(two)) == 0 {
		t.Fatal("the second plan goes through and leaves no replica")
	}
}

// TestForgottenPlanIsRefused guards against a plan that takes effect again when it is
// confirmed a second time, long after the first. By then the plan's id has been dropped
// from the bounded history, so the history must reach back at least as far as the oldest
// base that is accepted.
func TestForgottenPlanIsRefused(t *testing.T) {
	s := NewState()
	p := MakePlan(s, FleetView{}, "op", "1", Intents{Changes: []Change{leave("vm1")}})
	for n := uint64(1); n < HistoryWindow+10; n++ {
		r := Revision{N: n}
		if n == 5 {
			r = p.Revision(n)
		}
		next, err := s.Apply(r)
		if err != nil {
			t.Fatal(err)
		}
		s = next
		_, known := s.Plans[p.ID]
		if n >= 5 && !known && len(s.Conflicts(p)) == 0 {
			t.Fatalf("at revision %d the plan accepted as 5 would be accepted again", n)
		}
	}
	if len(s.Plans)+len(s.Touched) != 0 {
		t.Fatalf("%d plans and %d objects are remembered for ever", len(s.Plans), len(s.Touched))
	}
}

// TestUnknownSizeLoadsAlone guards against loads that run at the same time and together
// need far more than the weight store's rate for minutes. The store returns no size for a
// version that is placed on many engines. If the unknown size counted as 0, all of these
// loads would be in one wave.
func TestUnknownSizeLoadsAlone(t *testing.T) {
	const rate, hosts = 10, 100
	loads := []Load{{Backend: "a", Bytes: 1}, {Backend: "b"}, {Backend: "c"}, {Backend: "d", Bytes: 1}, {Backend: "e", Bytes: 1}}
	var sizes []int
	for _, w := range Waves(loads, rate, hosts) {
		sizes = append(sizes, len(w.Loads))
	}
	if !slices.Equal(sizes, []int{1, 1, 1, 2}) {
		t.Fatalf("waves of %v loads", sizes)
	}
}
