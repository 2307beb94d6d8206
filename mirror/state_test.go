package mirror

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/infra"
)

// Symptom: an old configuration is back, or a replica that is gone gets work again.
// Sequence: news come through a neighbour; an answer of the store that was under
// way brings what was before. Cause: the later arrival wins. What holds in the end
// is the newest change of each item, in whatever order they came.
func TestItemsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out := &seen{now: map[string]int64{}}
		s := newState(out)
		n := rapid.IntRange(1, 30).Draw(t, "changes")
		revs := rapid.Permutation(slices.Collect(func(yield func(int64) bool) {
			for i := range n {
				if !yield(int64(i + 1)) {
					return
				}
			}
		})).Draw(t, "order")
		keys := rapid.SampledFrom([]string{"a", "b", "c"})
		newest, want := map[string]int64{}, map[string]int64{}
		for _, rev := range revs {
			key, gone := keys.Draw(t, "key"), rapid.Bool().Draw(t, "gone")
			if gone {
				s.remove(key, rev, doubts{})
			} else {
				s.put(infra.Value{Key: key, ModRev: rev})
			}
			if rev < newest[key] {
				continue
			}
			newest[key] = rev
			delete(want, key)
			if !gone {
				want[key] = rev
			}
		}
		if !maps.Equal(out.now, want) {
			t.Fatalf("got %v, want %v", out.now, want)
		}
	})
}

// Symptom: nodes differ for ever. Sequence: changes and removals reach one node;
// others learn of them by differences that are made at any moment, of a node that
// lags by any amount, in pages of any size, with changes between two pages. Each
// must end with just what the first holds.
func TestDifferencesMakeNodesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(nil, &seen{now: map[string]int64{}}, Config{}), New(nil, &seen{now: map[string]int64{}}, Config{})
		first.synced = true
		first.state.keep = 5 // so that a lag beyond it comes up
		first.state.pageBytes = rapid.IntRange(1, 30).Draw(t, "page")
		second.lost.Store(true) // so that it asks for everything where it must
		rev := int64(0)
		keys := rapid.Custom(func(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "number")) })
		change := func() {
			rev += rapid.Int64Range(1, 3).Draw(t, "gap")
			for _, key := range rapid.SliceOfNDistinct(keys, 1, 4, rapid.ID).Draw(t, "keys") { // of one transaction
				if rapid.Bool().Draw(t, "put") {
					first.state.put(infra.Value{Key: key, ModRev: rev})
				} else {
					first.state.remove(key, rev, doubts{})
				}
			}
			first.state.reach(rev)
		}
		ask := func(q DeltaRequest) (Delta, error) {
			d := first.Delta(q)
			if rapid.IntRange(0, 3).Draw(t, "meanwhile") == 0 {
				change()
			}
			return d, nil
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "step") > 0 {
				change()
			} else if err := second.Pull("first", ask); err != nil {
				t.Fatal(err)
			}
		}
		rev++
		first.state.put(infra.Value{Key: "last", ModRev: rev})
		first.state.reach(rev)
		if err := second.Pull("first", func(q DeltaRequest) (Delta, error) { return first.Delta(q), nil }); err != nil {
			t.Fatal(err)
		}
		if !maps.EqualFunc(first.state.items, second.state.items, func(a, b infra.Value) bool { return a.ModRev == b.ModRev }) {
			t.Fatalf("first %v, second %v", first.state.items, second.state.items)
		}
	})
}

// Symptom: nodes that don't read the store miss a change for ever. Sequence: while
// a node reads page after page, one item changes that was read already, and then
// one that wasn't. Cause: the newest change that it saw was taken for the revision
// up to which it knows all.
func TestLaterPagesDoNotHideChanges(t *testing.T) {
	s := newState(&seen{now: map[string]int64{}})
	s.replace([]infra.Value{{Key: "a", ModRev: 3}, {Key: "z", ModRev: 9}}, 5, doubts{})
	if s.newest != 5 {
		t.Errorf("claims to know all up to %d, want 5", s.newest)
	}
}

// Symptom: a replica gets work more than two seconds after the store acknowledged that
// it is gone. Sequence: the store is back for a second and a half when a replica leaves;
// the reader that had lost the store holds that to be doubtful for half a second more,
// and tells its neighbours before another reader does.
// Cause: each neighbour doubted for the whole time anew.
func TestDoubtEndsEverywhereAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left, whole = 500 * time.Millisecond, 2 * time.Second
		reader, out := newState(&seen{now: map[string]int64{}}), &seen{now: map[string]int64{}}
		neighbour := newState(out)
		for _, s := range []*state{&reader, &neighbour} {
			s.put(infra.Value{Key: "a", ModRev: 1})
			s.reach(1)
		}
		reader.remove("a", 2, doubts{on: true, end: time.Now().Add(left)})
		reader.reach(2)
		neighbour.merge(reader.delta(DeltaRequest{After: 1}), time.Now().Add(whole))
		time.Sleep(left - 10*time.Millisecond)
		neighbour.dropDoubted(time.Now())
		if len(out.now) != 1 {
			t.Error("it is gone while it may come back")
		}
		time.Sleep(20 * time.Millisecond)
		neighbour.dropDoubted(time.Now())
		if len(out.now) != 0 {
			t.Error("the neighbour doubts for longer than the reader")
		}
	})
}

// fragile fails on some items.
type fragile struct{ seen }

func (f *fragile) Put(v infra.Value) {
	if v.Key == "bad" {
		panic("as asked")
	}
	f.seen.Put(v)
}

func (f *fragile) Removed(key string) {
	if key == "bad" {
		panic("as asked")
	}
	f.seen.Removed(key)
}

// Guards against: one item that makes its reader panic ends every node, again at each start.
func TestItemThatFailsItsReaderEndsNoNode(t *testing.T) {
	out := &fragile{seen{now: map[string]int64{}}}
	s := newState(contained{out: out})
	s.put(infra.Value{Key: "bad", ModRev: 1})
	s.put(infra.Value{Key: "good", ModRev: 2})
	s.remove("bad", 3, doubts{})
	s.settle()
	if !maps.Equal(out.now, map[string]int64{"good": 2}) {
		t.Errorf("got %v", out.now)
	}
}
