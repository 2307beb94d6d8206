package inventory

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is a fleet of nodes on a fake clock, of which the first ones read the
// list, each through a replica with a lag of its own.
type world struct {
	*rapid.T
	now     time.Time
	list    [][]Item // the list second by second
	nodes   []*State
	readers []*Observer
	lags    []int // seconds
}

const (
	worldNodes   = 5
	worldReaders = 3
)

func newWorld(t *rapid.T) *world {
	w := &world{T: t, now: time.Unix(1_000_000, 0), list: [][]Item{nil}}
	for i := range 6 {
		w.list[0] = append(w.list[0], Item{ID: fmt.Sprint("x", i), VM: fmt.Sprint("v", i), Role: "engine"})
	}
	for range worldNodes {
		w.nodes = append(w.nodes, NewState())
	}
	for i := range worldReaders {
		w.readers = append(w.readers, NewObserver(fmt.Sprint("r", i)))
		w.lags = append(w.lags, rapid.IntRange(0, 5).Draw(t, "lag"))
	}
	return w
}

// second passes, in which one entry of the list may change.
func (w *world) second() {
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

func (w *world) read(i, lag int) {
	shown := w.list[max(len(w.list)-1-lag, 0)]
	changes, _ := w.readers[i].Observe(w.nodes[i], shown, w.now)
	w.nodes[i].Merge(changes, w.now)
	for n, s := range w.nodes {
		if n != i && rapid.IntRange(0, 3).Draw(w.T, "flood arrives") > 0 {
			s.Merge(changes, w.now)
		}
	}
}

func (w *world) digest(a, b int) {
	asked := w.nodes[a].Differing(w.nodes[b].Answer(w.nodes[a].Digest()))
	for len(asked) > 0 {
		batch := w.nodes[a].Batch(asked)
		batch.Buckets = asked[:batch.Done]
		answer, _ := w.nodes[b].Exchange(batch, w.now)
		w.nodes[a].Merge(answer.Records, w.now)
		asked = asked[answer.Done:]
	}
}

func (w *world) restart(i int) {
	w.nodes[i] = NewState()
	if i < worldReaders {
		w.readers[i] = NewObserver(fmt.Sprint("r", i))
	}
}

func (w *world) step() {
	node := rapid.IntRange(0, worldNodes-1)
	switch rapid.SampledFrom([]string{"second", "read", "read", "read", "digest", "restart"}).Draw(w.T, "step") {
	case "second":
		w.second()
	case "read":
		i := rapid.IntRange(0, worldReaders-1).Draw(w.T, "reader")
		w.read(i, w.lags[i])
	case "digest":
		w.digest(node.Draw(w.T, "a"), node.Draw(w.T, "b"))
	case "restart":
		w.restart(node.Draw(w.T, "node"))
	}
}

// calm lets the list stand still until each reader has seen the end of it, and
// has borne a difference for longer than settle.
func (w *world) calm() {
	for _, pause := range []time.Duration{time.Second, time.Second, settle, settle} {
		w.now = w.now.Add(pause)
		for i := range worldReaders {
			w.read(i, 0)
		}
		for range 2 {
			for a := range worldNodes {
				w.digest(a, (a+1)%worldNodes)
			}
		}
	}
}

// Symptom: one node goes on sending work to a VM that is gone, or never to a
// new one, while the others know better. Sequence: readers with different lags,
// floods lost, nodes and readers restarted, in any order; then the list stands
// still. Cause: a change that no reader told, or an order that lets an older
// reading win for good.
func TestAllConvergeToTheNewestReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step()
		}
		w.calm()
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
				t.Fatalf("node %d has another digest for the same list", n)
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

// Symptom: the whole fleet loses its backend servers. Sequence: the VM list is
// restarted and shows nothing, then a part. Cause: a reading is believed at once
// however much it lacks. The rows are readings a second or more apart.
func TestShrunkReadingIsHeldBack(t *testing.T) {
	for name, tc := range map[string]struct {
		shown []int // entries of each reading, 6 s apart
		want  []int // live records after each
	}{
		"empty for ever":            {[]int{0, 0, 0, 0}, []int{10, 10, 10, 10}},
		"half gone is believed":     {[]int{5}, []int{5}},
		"more only when confirmed":  {[]int{4, 4, 4}, []int{10, 10, 4}},
		"back before confirmed":     {[]int{4, 10, 4, 4}, []int{10, 10, 10, 10}},
		"empty confirms nothing":    {[]int{4, 0, 4, 4}, []int{10, 10, 10, 10}},
		"a list that fills up":      {[]int{1, 2, 3, 4, 9}, []int{10, 10, 10, 10, 9}},
		"a list that shrinks on":    {[]int{4, 3, 2}, []int{10, 10, 2}},
		"a removal of one needs no": {[]int{9}, []int{9}},
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

// Symptom: a change comes, goes and comes again on all nodes, for as long as
// one replica of the list lags. Sequence: r1 sees a removal; r2, through the
// replica behind, still lists the VM, in each of its readings; then r2 restarts.
// Cause: a reader puts whatever it reads in force.
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

// Symptom: a change is undone for a moment, or comes half a minute late.
// Sequence: r1, whose clock is ahead, tells that an engine has moved; a reading
// of r2 that began before shows an older move; the list then moves it again.
// Cause: a reading answered late is taken for a new one; or what it showed is
// taken for told.
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
		t.Errorf("a reading that began before puts %s in force", got)
	}
	read(r2, "a:3", 4*time.Second)
	if got := read(r2, "a:3", 6*time.Second); got != "a:3" {
		t.Errorf("%s is still in force when the other clock was passed", got)
	}
}

// Symptom: as in TestLeavingIsNotUndone. Sequence: r2 tells of another change of
// the VM, which it still sees live, before it hears that r1 saw it leaving.
func TestLeavingIsKeptBesideAnotherChange(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	told := func(reader string, at time.Duration, change func(*Item)) []Record {
		s, o, list := NewState(), NewObserver(reader), engines(1)
		first, _ := o.Observe(s, list, now)
		s.Merge(first, now)
		change(&list[0])
		changes, _ := o.Observe(s, list, now.Add(at))
		return changes
	}
	left := told("r1", time.Second, func(i *Item) { i.Leaving = true })
	live := told("r2", 2*time.Second, func(i *Item) { i.ChecksFence = true })
	if r := Merge(left[0], live[0]); r.Item.Leaving || !r.MarkedLeaving() {
		t.Errorf("no trace of it: %+v", r)
	}
}
