package inventory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/peer"
)

// drawn draws from so few values that ties and conflicts are common.
var drawn = rapid.Custom(func(t *rapid.T) Record {
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

// Symptom: two nodes differ for ever about one VM. Sequence: they hear the same
// readings in another order, or one of them twice. Cause: a merge whose result
// depends on order or repetition.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawn.Draw(t, "a"), drawn.Draw(t, "b"), drawn.Draw(t, "c")
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

// Symptom: a VM about to go is sent new work. Sequence: one reader sees it
// leaving; an older reading, or a later one through a replica that lags, shows
// it live; the two cross on their way. Cause: the later message is believed.
func TestLeavingIsNotUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leaving := drawn.Draw(t, "leaving")
		leaving.Item.Leaving, leaving.Removed = true, false
		leaving.At = max(leaving.At, 1)
		leaving.FirstSeen = min(leaving.FirstSeen, leaving.At)
		leaving.LeavingAt = leaving.At
		other := drawn.Draw(t, "other")
		if got := Merge(other, leaving); other.At < leaving.At && !got.Item.Leaving {
			t.Fatalf("an older reading undid it: %+v", got)
		}
		other.Removed, other.LeavingAt, other.FirstSeen = false, 0, leaving.FirstSeen
		if got := Merge(other, leaving); !got.MarkedLeaving() {
			t.Fatalf("no trace of it: %+v", got)
		}
	})
}

// Symptom: no node reads the list, or hundreds do. Sequence and cause: each
// row's name.
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
		"others are dead":                  {func(m *peer.Member) { m.Alive = false }, 0, false, Reader},
		"others are leaving":               {func(m *peer.Member) { m.Leaving = true }, 0, false, Reader},
		"others are elsewhere":             {func(m *peer.Member) { m.FailureDomain = "b" }, 0, false, Reader},
		"readers live but can't read":      {keep, silence, false, FallbackReader},
		"readers' news came a moment ago":  {keep, silence - 1, false, NotReader},
		"others are suspect, still living": {func(m *peer.Member) { m.Suspect = true }, 0, false, NotReader},
		"stands in, heard by itself alone": {keep, 0, true, FallbackReader},
	} {
		if got := Choose(View{members(resting, 40, tc.change), "a", tc.silent, tc.standing}); got != tc.want {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
	own := members(resting, 40, keep)
	own[resting].Leaving = true
	if got := Choose(View{own, "a", 0, false}); got != NotReader {
		t.Errorf("a node that rests and is leaving: %v", got)
	}
	if got := Choose(View{own[resting : resting+1], "a", 0, false}); got != Reader {
		t.Errorf("a lone node that is leaving: %v", got)
	}
}
