package mirror

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/infra"
)

// Symptom: a node acts on a route that was removed long ago. Sequence: watches
// hear nothing while changes are made; then the store drops its history. Cause:
// the watch goes on from the newest revision and what lies between is missed.
func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		s.put("b")
		out := follow(t, s)
		s.mu.Lock()
		delete(s.items, "a") // without an event
		s.mu.Unlock()
		s.compact()
		time.Sleep(time.Second)
		if out.has("a") || !out.has("b") {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: after an outage of the store all replicas count as gone, and every
// request is refused. Sequence: entries lapse while the store is away and are
// back within two seconds. Cause: what is missing at the first read is taken for
// gone at once.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("back")
		s.put("lost")
		out := follow(t, s)
		s.fail(errors.New("down"))
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		clear(s.items)
		s.mu.Unlock()
		s.compact()
		s.fail(nil)
		time.Sleep(1200 * time.Millisecond)
		if !out.has("back") || !out.has("lost") {
			t.Fatalf("taken for gone at once: %v", out.log)
		}
		s.put("back")
		time.Sleep(3 * time.Second)
		if !out.has("back") || out.has("lost") {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: news of the store stays away for good after a cut. Cause: the next
// call waits on a connection that fell silent.
func TestFailedCallGetsAFreshConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		out := follow(t, s)
		s.fail(errors.New("silent"))
		time.Sleep(4 * time.Second)
		s.fail(nil)
		s.put("new")
		time.Sleep(1500 * time.Millisecond)
		if s.resets == 0 || !out.has("new") {
			t.Errorf("resets %d, got %v", s.resets, out.log)
		}
	})
}

// Symptom: keys that were taken away work for seconds at one node. Sequence: the
// store turns that node away and serves the others; keys are taken away, and a
// neighbour tells. Cause: the node waits for the store.
func TestNeighbourIsHeardWhileTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("kept")
		s.put("taken")
		out, m := followAs(t, s, Config{})
		s.fail(errors.New("turned away"))
		time.Sleep(time.Second)
		m.Merge(Delta{Newest: 90, Items: []infra.Value{{Key: "kept", ModRev: 80}}, Removed: []Removal{{Key: "taken", Rev: 90}}})
		if out.has("taken") || out.now["kept"] != 80 {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: the store is asked by every node, or by none. Cause: who reads is not
// decided anew at each call.
func TestOnlyReadersCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		var reads atomic.Bool
		out, m := followAs(t, s, Config{IsReader: reads.Load})
		if !out.has("a") {
			t.Fatal("the first read was not made")
		}
		s.put("b")
		time.Sleep(5 * time.Second)
		if out.has("b") || m.Age(time.Now()) < 5*time.Second {
			t.Fatalf("read without being a reader: %v", out.log)
		}
		reads.Store(true)
		time.Sleep(time.Second)
		if !out.has("b") || m.Age(time.Now()) > 2*time.Second {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: a replica that crashed during an outage of the store gets work for ever
// at nodes that don't read the store. Sequence: its entry lapses while the store is
// away; a reader doubts that, tells of later changes, and takes it for gone after a
// while. Cause: nobody asks again for what was before a change that is known.
func TestDoubtReachesNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for _, key := range []string{"lost", "back"} {
			s.put(key)
		}
		_, reader := followAs(t, s, Config{})
		out, other := followAs(t, s, Config{IsReader: func() bool { return false }})
		s.fail(errors.New("down"))
		time.Sleep(time.Second)
		s.mu.Lock()
		clear(s.items)
		s.mu.Unlock()
		s.compact()
		s.put("new")
		s.fail(nil)
		time.Sleep(1500 * time.Millisecond)
		pull := func() {
			if err := other.Pull("reader", func(q DeltaRequest) (Delta, error) { return reader.Delta(q), nil }); err != nil {
				t.Fatal(err)
			}
		}
		pull()
		if !out.has("new") || !out.has("lost") || !out.has("back") {
			t.Fatalf("taken for gone at once: %v", out.log)
		}
		s.put("back")
		time.Sleep(time.Second)
		pull()
		time.Sleep(2 * time.Second)
		if out.has("lost") || !out.has("back") {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: a start of many nodes at once fills their lines with copies of
// everything. Sequence: a node is told of something newer by one that began later,
// and so can't say what was removed in between. Cause: the node was given
// everything, though the store had the few changes.
func TestStoreIsAskedWhereNeighbourKnowsNoRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		out, m := followAs(t, s, Config{IsReader: func() bool { return false }})
		s.put("b")
		_, later := followAs(t, s, Config{})
		var asked []DeltaRequest
		ask := func(q DeltaRequest) (Delta, error) {
			asked = append(asked, q)
			return later.Delta(q), nil
		}
		if err := m.Pull("later", ask); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if !out.has("b") || len(asked) != 1 || asked[0].All {
			t.Fatalf("asked %v, got %v", asked, out.log)
		}
		s.put("c")
		s.fail(errors.New("turned away"))
		m.CatchUp()
		time.Sleep(time.Second)
		third := New(nil, &seen{now: map[string]int64{}}, Config{})
		third.Merge(Delta{Newest: 90, Full: true, Items: []infra.Value{{Key: "c", ModRev: 80}}})
		if err := m.Pull("third", func(q DeltaRequest) (Delta, error) { return third.Delta(q), nil }); err != nil {
			t.Fatal(err)
		}
		if !out.has("c") || out.has("a") {
			t.Errorf("got %v", out.log)
		}
	})
}
