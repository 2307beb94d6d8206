package mirror

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// TestItemsNeverGoBack guards against the return of an old configuration, or of work
// sent to a removed replica. Changes arrive through a neighbour, and then a delayed
// response of the store brings an older state. The result must be the newest change of
// each item, whatever the order of arrival.
func TestItemsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out := &recorder{items: map[string]fleet.Revision{}}
		s := newState(out)
		n := rapid.IntRange(1, 30).Draw(t, "changes")
		revs := rapid.Permutation(slices.Collect(func(yield func(fleet.Revision) bool) {
			for i := range n {
				if !yield(fleet.Revision(i + 1)) {
					return
				}
			}
		})).Draw(t, "order")
		keys := rapid.SampledFrom([]string{"a", "b", "c"})
		newest, want := map[string]fleet.Revision{}, map[string]fleet.Revision{}
		for _, rev := range revs {
			key, removed := keys.Draw(t, "key"), rapid.Bool().Draw(t, "gone")
			if removed {
				s.remove(key, rev, removalPolicy{})
			} else {
				s.put(infra.Value{Key: key, ModRev: rev})
			}
			if rev < newest[key] {
				continue
			}
			newest[key] = rev
			delete(want, key)
			if !removed {
				want[key] = rev
			}
		}
		if !maps.Equal(out.items, want) {
			t.Fatalf("got %v, want %v", out.items, want)
		}
	})
}

// TestDifferencesMakeNodesEqual guards against nodes that differ for ever. Changes and
// removals reach one node. A second node gets them from the first as deltas, which are
// made at any time and with any lag, and as pages of any size with changes between two
// pages. Both nodes must end with the same items.
func TestDifferencesMakeNodesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(nil, &recorder{items: map[string]fleet.Revision{}}, Config{}), New(nil, &recorder{items: map[string]fleet.Revision{}}, Config{})
		first.synced = true
		first.state.removed = removalLog{minKept: 5} // so that a larger lag occurs
		first.state.recent.max = rapid.IntRange(1, 8).Draw(t, "recent")
		first.state.pageBytes = rapid.IntRange(1, 30).Draw(t, "page")
		second.failing.Store(true) // so that it requests all items where needed
		rev := fleet.Revision(0)
		keys := rapid.Custom(func(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "number")) })
		change := func() {
			rev += fleet.Revision(rapid.Int64Range(1, 3).Draw(t, "gap"))
			for _, key := range rapid.SliceOfNDistinct(keys, 1, 4, rapid.ID).Draw(t, "keys") { // keys changed by one transaction
				if rapid.Bool().Draw(t, "put") {
					first.state.put(infra.Value{Key: key, ModRev: rev})
				} else {
					first.state.remove(key, rev, removalPolicy{})
				}
			}
			first.state.advance(rev)
		}
		request := func(req DeltaRequest) (Delta, error) {
			d := first.Delta(req)
			if rapid.IntRange(0, 3).Draw(t, "meanwhile") == 0 {
				change()
			}
			return d, nil
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "step") > 0 {
				change()
			} else if err := second.Pull("first", request); err != nil {
				t.Fatal(err)
			}
		}
		rev++
		first.state.put(infra.Value{Key: "last", ModRev: rev})
		first.state.advance(rev)
		if err := second.Pull("first", func(req DeltaRequest) (Delta, error) { return first.Delta(req), nil }); err != nil {
			t.Fatal(err)
		}
		if !maps.EqualFunc(first.state.items, second.state.items, func(a, b infra.Value) bool { return a.ModRev == b.ModRev }) {
			t.Fatalf("first %v, second %v", first.state.items, second.state.items)
		}
	})
}

// TestLaterPagesDoNotHideChanges guards against changes that never reach nodes that
// don't read the store. While a node reads page after page, an item changes that was
// already read, and then an item changes that wasn't. The revision of the newest item
// must not count as the revision up to which all changes are known.
func TestLaterPagesDoNotHideChanges(t *testing.T) {
	s := newState(&recorder{items: map[string]fleet.Revision{}})
	s.replace([]infra.Value{{Key: "a", ModRev: 3}, {Key: "z", ModRev: 9}}, 5, removalPolicy{})
	if s.newest != 5 {
		t.Errorf("has all changes up to %d, want 5", s.newest)
	}
}

// TestDoubtEndsEverywhereAtOnce guards against sending work to a replica more than two
// seconds after the store acknowledged its removal. The store has been working again for a
// second and a half when the replica leaves. One reader had lost contact with the store, so
// it treats the removal as unconfirmed for half a second more. This reader is the first to
// send the removal to its neighbours. The neighbours must also treat the removal as
// unconfirmed for only that half second, not for the whole time again.
func TestDoubtEndsEverywhereAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const remaining, full = 500 * time.Millisecond, 2 * time.Second
		reader, out := newState(&recorder{items: map[string]fleet.Revision{}}), &recorder{items: map[string]fleet.Revision{}}
		neighbour := newState(out)
		for _, s := range []*state{&reader, &neighbour} {
			s.put(infra.Value{Key: "a", ModRev: 1})
			s.advance(1)
		}
		reader.remove("a", 2, removalPolicy{unconfirmed: true, until: time.Now().Add(remaining)})
		reader.advance(2)
		neighbour.merge(reader.delta(DeltaRequest{After: 1}), time.Now().Add(full))
		time.Sleep(remaining - 10*time.Millisecond)
		neighbour.confirmExpired(time.Now())
		if len(out.items) != 1 {
			t.Error("it is removed while it may come back")
		}
		time.Sleep(20 * time.Millisecond)
		neighbour.confirmExpired(time.Now())
		if len(out.items) != 0 {
			t.Error("the removal stays unconfirmed for longer than at the reader")
		}
	})
}

// panickingReceiver panics on some items.
type panickingReceiver struct{ recorder }

func (r *panickingReceiver) Put(v infra.Value) {
	if v.Key == "bad" {
		panic("panics on purpose")
	}
	r.recorder.Put(v)
}

func (r *panickingReceiver) Removed(key string) {
	if key == "bad" {
		panic("panics on purpose")
	}
	r.recorder.Removed(key)
}

// TestItemThatFailsItsReaderEndsNoNode guards against an item that makes the receiver
// panic and thereby stops every node, and stops it again after each start.
func TestItemThatFailsItsReaderEndsNoNode(t *testing.T) {
	out := &panickingReceiver{recorder{items: map[string]fleet.Revision{}}}
	s := newState(panicGuard{out: out, failed: metrics.NewSet().NewCounter("failed")})
	s.put(infra.Value{Key: "bad", ModRev: 1})
	s.put(infra.Value{Key: "good", ModRev: 2})
	s.remove("bad", 3, removalPolicy{})
	s.flush()
	if !maps.Equal(out.items, map[string]fleet.Revision{"good": 2}) {
		t.Errorf("got %v", out.items)
	}
}

// TestMassRemovalReachesNeighbours guards against a read of the store by every node after the
// crash of a failure domain: the removals of its thousands of replicas were forgotten before
// the neighbours had requested them.
func TestMassRemovalReachesNeighbours(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const items = 3000
		s := newState(&recorder{items: map[string]fleet.Revision{}})
		for i := range items {
			s.put(infra.Value{Key: strconv.Itoa(i), ModRev: fleet.Revision(i + 1)})
		}
		s.advance(items)
		for i := range items - 1 {
			s.remove(strconv.Itoa(i), fleet.Revision(items+i+1), removalPolicy{})
		}
		s.advance(2 * items)
		if d := s.delta(DeltaRequest{After: items}); d.RemovalsUnknown || len(d.Removed) != items-1 {
			t.Errorf("%d removals of %d, unknown %v", len(d.Removed), items-1, d.RemovalsUnknown)
		}
		time.Sleep(removalsKept)
		s.remove(strconv.Itoa(items-1), 2*items+1, removalPolicy{})
		if n := len(s.removed.entries); n != minRemovals || len(s.tombstones) != n {
			t.Errorf("%d removals and %d tombstones are kept, want %d", n, len(s.tombstones), minRemovals)
		}
	})
}
