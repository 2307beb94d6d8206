package inventory

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testFleet is a set of nodes on a fake clock. The first fleetReaders nodes read the VM
// list, each through a replica of the list with a lag of its own.
type testFleet struct {
	*rapid.T
	now     time.Time
	list    [][]Item // the list at each second
	nodes   []*State
	readers []*Observer
	lags    []int // by reader, in seconds
}

const (
	fleetNodes   = 5
	fleetReaders = 3
)

func newTestFleet(t *rapid.T) *testFleet {
	w := &testFleet{T: t, now: time.Unix(1_000_000, 0), list: [][]Item{nil}}
	for i := range 6 {
		w.list[0] = append(w.list[0], Item{ID: fmt.Sprint("x", i), VM: fmt.Sprint("v", i), Role: "engine"})
	}
	for range fleetNodes {
		w.nodes = append(w.nodes, NewState())
	}
	for i := range fleetReaders {
		w.readers = append(w.readers, NewObserver(fmt.Sprint("r", i)))
		w.lags = append(w.lags, rapid.IntRange(0, 5).Draw(t, "lag"))
	}
	return w
}

// advanceSecond advances the clock by a second; one entry of the list may change.
func (w *testFleet) advanceSecond() {
	w.now = w.now.Add(time.Second)
	list := slices.Clone(w.list[len(w.list)-1])
	n := rapid.IntRange(0, len(list)-1).Draw(w.T, "entry")
	switch rapid.SampledFrom([]string{"", "", "leaving", "move", "remove", "add"}).Draw(w.T, "change") {
	case "leaving":
		list[n].Leaving = !list[n].Leaving
	case "move":
		list[n].Addr += "."
	case "remove":
		if len(list) > 4 {
			list = slices.Delete(list, n, n+1)
		}
	case "add":
		id := fmt.Sprint("x", rapid.IntRange(0, 8).Draw(w.T, "id"))
		if !slices.ContainsFunc(list, func(i Item) bool { return i.ID == id }) {
			list = append(list, Item{ID: id, VM: "v" + id, Role: "engine"})
		}
	}
	w.list = append(w.list, list)
}

func (w *testFleet) read(i, lag int) {
	shown := w.list[max(len(w.list)-1-lag, 0)]
	changes, _ := w.readers[i].Observe(w.nodes[i], shown, w.now)
	w.nodes[i].Merge(changes, w.now)
	for n, s := range w.nodes {
		if n != i && rapid.IntRange(0, 3).Draw(w.T, "flood arrives") > 0 {
			s.Merge(changes, w.now)
		}
	}
}

func (w *testFleet) digest(a, b int) {
	buckets := w.nodes[a].Differing(w.nodes[b].Answer(w.nodes[a].Digest()))
	for len(buckets) > 0 {
		batch := w.nodes[a].Batch(buckets)
		batch.Buckets = buckets[:batch.Done]
		answer, _ := w.nodes[b].Exchange(batch, w.now)
		w.nodes[a].Merge(answer.Records, w.now)
		buckets = buckets[answer.Done:]
	}
}

func (w *testFleet) restart(i int) {
	w.nodes[i] = NewState()
	if i < fleetReaders {
		w.readers[i] = NewObserver(fmt.Sprint("r", i))
	}
}

func (w *testFleet) step() {
	node := rapid.IntRange(0, fleetNodes-1)
	switch rapid.SampledFrom([]string{"second", "read", "read", "read", "digest", "restart"}).Draw(w.T, "step") {
	case "second":
		w.advanceSecond()
	case "read":
		i := rapid.IntRange(0, fleetReaders-1).Draw(w.T, "reader")
		w.read(i, w.lags[i])
	case "digest":
		w.digest(node.Draw(w.T, "a"), node.Draw(w.T, "b"))
	case "restart":
		w.restart(node.Draw(w.T, "node"))
	}
}

// settleAll advances the clock while the list stays unchanged. Tests call it so that the
// readers merge the list's final state into their inventories: each reader sees that state,
// and every mismatch between the list and an inventory lasts longer than mismatchTimeout.
func (w *testFleet) settleAll() {
	for _, pause := range []time.Duration{time.Second, time.Second, mismatchTimeout, mismatchTimeout} {
		w.now = w.now.Add(pause)
		for i := range fleetReaders {
			w.read(i, 0)
		}
		for range 2 {
			for a := range fleetNodes {
				w.digest(a, (a+1)%fleetNodes)
			}
		}
	}
}

// TestAllConvergeToTheNewestReading guards against a node that goes on sending work to
// a VM that was removed, or sends none to a new VM, while other nodes have the current
// list. Readers have different lags, floods are lost, nodes and readers restart, in any
// order; then the list stays unchanged. The failure occurs if no reader sends a change,
// or if an older reading prevails for good.
func TestAllConvergeToTheNewestReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestFleet(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step()
		}
		w.settleAll()
		want := map[string]Item{}
		for _, i := range w.list[len(w.list)-1] {
			want[i.key()] = i
		}
		for n, s := range w.nodes {
			got := map[string]Item{}
			for _, r := range s.Live() {
				got[r.Item.key()] = r.Item
			}
			if !maps.Equal(got, want) {
				t.Fatalf("node %d has %v, want %v", n, got, want)
			}
			if s.Digest().Root != w.nodes[0].Digest().Root {
				t.Fatalf("node %d has a different digest for the same list", n)
			}
		}
	})
}

func engines(n int) []Item {
	var list []Item
	for i := range n {
		list = append(list, Item{ID: fmt.Sprint("x", i), VM: fmt.Sprint("v", i), Addr: "10.0.0.1:80", Role: "engine"})
	}
	return list
}

// TestShrunkReadingIsHeldBack guards against losing all backend servers of the fleet. The
// service that serves the VM list restarts and returns nothing at first, then a part of
// the list; a reading that lacks more than half of the entries must not be applied at
// once. Each row lists readings that are 6 s apart.
func TestShrunkReadingIsHeldBack(t *testing.T) {
	for name, tc := range map[string]struct {
		shown []int // entries of each reading, 6 s apart
		want  []int // live records after each reading
	}{
		"empty for ever":              {[]int{0, 0, 0, 0}, []int{10, 10, 10, 10}},
		"half missing is accepted":    {[]int{5}, []int{5}},
		"more only when confirmed":    {[]int{4, 4, 4}, []int{10, 10, 4}},
		"back before confirmed":       {[]int{4, 10, 4, 4}, []int{10, 10, 10, 10}},
		"empty confirms nothing":      {[]int{4, 0, 4, 4}, []int{10, 10, 10, 10}},
		"a list that fills up":        {[]int{1, 2, 3, 4, 9}, []int{10, 10, 10, 10, 9}},
		"a list that keeps shrinking": {[]int{4, 3, 2}, []int{10, 10, 2}},
		"a removal of one needs none": {[]int{9}, []int{9}},
	} {
		s, o, now := NewState(), NewObserver("r1"), time.Unix(1_000_000, 0)
		observe := func(n int) {
			changes, _ := o.Observe(s, engines(n), now)
			s.Merge(changes, now)
			now = now.Add(6 * time.Second)
		}
		observe(10)
		for i, n := range tc.shown {
			observe(n)
			if got := len(s.Live()); got != tc.want[i] {
				t.Errorf("%s: after reading %d %d are live, want %d", name, i+1, got, tc.want[i])
			}
		}
	}
}

// TestLaggingReaderUndoesNothing guards against a change that is undone and repeated on
// all nodes for as long as one replica of the list lags. r1 sees a removal; r2, through
// the lagging replica, still lists the VM in each of its readings; then r2 restarts. The
// failure occurs if a reader reports every difference between its reading and the
// inventory as a change.
func TestLaggingReaderUndoesNothing(t *testing.T) {
	s, now := NewState(), time.Unix(1_000_000, 0)
	r1, r2 := NewObserver("r1"), NewObserver("r2")
	read := func(o *Observer, n int) {
		changes, _ := o.Observe(s, engines(n), now)
		s.Merge(changes, now)
		now = now.Add(time.Second)
	}
	read(r1, 10)
	read(r2, 10)
	read(r1, 9)
	for range 5 {
		read(r2, 10)
		if len(s.Live()) != 9 {
			t.Fatal("an older reading undid a removal")
		}
	}
	r2 = NewObserver("r2")
	read(r2, 10)
	if len(s.Live()) != 9 {
		t.Fatal("the first reading of a new reader undid a removal")
	}
}

// TestLateReading guards against a change that is undone for a moment or arrives half a
// minute late. The clock of r1 is ahead, and r1 reports that an engine has moved. A reading
// of r2 started before r1's reading, is answered later, and shows an older move. Then the
// engine moves again in the list. The failure occurs if the late reading of r2 counts as a
// new reading, or if the change that it showed counts as already reported.
func TestLateReading(t *testing.T) {
	s, now := NewState(), time.Unix(1_000_000, 0)
	r1, r2 := NewObserver("r1"), NewObserver("r2")
	read := func(o *Observer, addr string, at time.Duration) string {
		list := engines(10)
		list[9].Addr = addr
		changes, _ := o.Observe(s, list, now.Add(at))
		s.Merge(changes, now.Add(at))
		return s.records[list[9].key()].Item.Addr
	}
	read(r1, "a:0", 0)
	read(r2, "a:0", 0)
	read(r1, "a:2", 5*time.Second)
	if got := read(r2, "a:1", 4*time.Second); got != "a:2" {
		t.Errorf("a reading that started before puts %s in force", got)
	}
	read(r2, "a:3", 4*time.Second)
	if got := read(r2, "a:3", 6*time.Second); got != "a:3" {
		t.Errorf("%s is still in force after the time of the other clock", got)
	}
}

// TestLeavingIsKeptBesideAnotherChange guards against sending new work to a VM that is
// about to stop, as TestLeavingIsNotUndone does. Here r2 still sees the VM live and
// reports another change of the VM before it receives r1's report that the VM is leaving.
// The record must still show that the VM is leaving.
func TestLeavingIsKeptBesideAnotherChange(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	changesOf := func(reader string, at time.Duration, change func(*Item)) []Record {
		s, o, list := NewState(), NewObserver(reader), engines(1)
		first, _ := o.Observe(s, list, now)
		s.Merge(first, now)
		change(&list[0])
		changes, _ := o.Observe(s, list, now.Add(at))
		return changes
	}
	left := changesOf("r1", time.Second, func(i *Item) { i.Leaving = true })
	live := changesOf("r2", 2*time.Second, func(i *Item) { i.ChecksFence = true })
	if r := Merge(left[0], live[0]); r.Item.Leaving || !r.MarkedLeaving() {
		t.Errorf("the leaving mark is lost: %+v", r)
	}
}
