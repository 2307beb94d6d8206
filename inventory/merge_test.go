package inventory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/peer"
)

// genRecord generates records from so few values that ties and conflicts are common.
var genRecord = rapid.Custom(func(t *rapid.T) Record {
	return Record{
		Item: Item{
			ID: "x", Role: "engine", VM: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "vm"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		},
		Removed:   rapid.Bool().Draw(t, "gone"),
		At:        rapid.Int64Range(0, 2).Draw(t, "at"),
		Reader:    rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "reader"),
		FirstSeen: rapid.Int64Range(0, 2).Draw(t, "born"),
		LeavingAt: rapid.Int64Range(0, 3).Draw(t, "left"),
	}
})

// TestMergeIsAJoin guards against two nodes that differ for ever about one VM. The
// nodes receive the same readings in a different order, or one reading twice; the
// result of a merge must not depend on order or repetition.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := genRecord.Draw(t, "a"), genRecord.Draw(t, "b"), genRecord.Draw(t, "c")
		if Merge(a, a) != a {
			t.Fatal("not idempotent")
		}
		if Merge(a, b) != Merge(b, a) {
			t.Fatalf("not commutative: %+v, %+v", Merge(a, b), Merge(b, a))
		}
		if Merge(Merge(a, b), c) != Merge(a, Merge(b, c)) {
			t.Fatal("not associative")
		}
	})
}

// TestLeavingIsNotUndone guards against sending new work to a VM that is about to stop.
// One reader sees the VM leaving; an older reading, or a later reading through a lagging
// replica, shows it live; the two messages arrive out of order. The merged record must
// still show that the VM is leaving.
func TestLeavingIsNotUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaving := genRecord.Draw(t, "leaving")
		leaving.Item.Leaving, leaving.Removed = true, false
		leaving.At = max(leaving.At, 1)
		leaving.FirstSeen = min(leaving.FirstSeen, leaving.At)
		leaving.LeavingAt = leaving.At
		other := genRecord.Draw(t, "other")
		if got := Merge(other, leaving); other.At < leaving.At && !got.Item.Leaving {
			t.Fatalf("an older reading removed the leaving mark: %+v", got)
		}
		other.Removed, other.LeavingAt, other.FirstSeen = false, 0, leaving.FirstSeen
		if got := Merge(other, leaving); !got.MarkedLeaving() {
			t.Fatalf("the leaving mark is lost: %+v", got)
		}
	})
}

// TestChoose guards against a list that no node reads, and against a list that hundreds
// of nodes read. Each row is named after its situation.
func TestChoose(t *testing.T) {
	members := func(self, n int, change func(*peer.Member)) []peer.Member {
		var out []peer.Member
		for i := range n {
			m := peer.Member{ID: fmt.Sprint("r", i), FailureDomain: "a", Alive: true, Self: i == self}
			if !m.Self {
				change(&m)
			}
			out = append(out, m)
		}
		return out
	}
	keep := func(*peer.Member) {}
	count := map[Duty]int{}
	for i := range 40 {
		count[Choose(View{members(i, 40, keep), "a", 0, false})]++
	}
	if count[Reader] != readersPerDomain || count[NotReader] != 38 {
		t.Errorf("duties of one failure domain: %v", count)
	}
	var resting int
	for i := range 40 {
		if Choose(View{members(i, 40, keep), "a", 0, false}) == NotReader {
			resting = i
		}
	}
	for name, tc := range map[string]struct {
		change   func(*peer.Member)
		silent   time.Duration
		standing bool
		want     Duty
	}{
		"others are dead":                   {func(m *peer.Member) { m.Alive = false }, 0, false, Reader},
		"others are leaving":                {func(m *peer.Member) { m.Leaving = true }, 0, false, Reader},
		"others are elsewhere":              {func(m *peer.Member) { m.FailureDomain = "b" }, 0, false, Reader},
		"readers live but can't read":       {keep, silence, false, FallbackReader},
		"readers' update came a moment ago": {keep, silence - 1, false, NotReader},
		"others are suspect, still living":  {func(m *peer.Member) { m.Suspect = true }, 0, false, NotReader},
		"fallback, no reading but its own":  {keep, 0, true, FallbackReader},
	} {
		if got := Choose(View{members(resting, 40, tc.change), "a", tc.silent, tc.standing}); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
	leavingSelf := members(resting, 40, keep)
	leavingSelf[resting].Leaving = true
	if got := Choose(View{leavingSelf, "a", 0, false}); got != NotReader {
		t.Errorf("a node that doesn't read and is leaving: %v", got)
	}
	if got := Choose(View{leavingSelf[resting : resting+1], "a", 0, false}); got != Reader {
		t.Errorf("a lone node that is leaving: %v", got)
	}
}
