package mirror

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// TestLostHistoryIsReadAnew guards against acting on a route that was removed long ago.
// Watches receive nothing while changes are made, and then the store drops its history.
// The failure occurs if the node continues from the newest revision: it would miss the
// changes made before that revision, such as the removal of the route.
func TestLostHistoryIsReadAnew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		s.put("b")
		out := startMirror(t, s)
		s.mu.Lock()
		delete(s.items, "a") // without an event
		s.mu.Unlock()
		s.compact()
		time.Sleep(time.Second)
		if out.has("a") || !out.has("b") {
			t.Errorf("got %v", out.calls)
		}
	})
}

// TestLapsedEntriesMayComeBack guards against counting all replicas as removed after an
// outage of the store, so that every request is refused. Replicas' entries expire during
// the outage and are written again within two seconds after it. Items missing from the
// first read after the outage must not be removed at once.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("back")
		s.put("lost")
		out := startMirror(t, s)
		s.fail(errors.New("down"))
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		clear(s.items)
		s.mu.Unlock()
		s.compact()
		s.fail(nil)
		time.Sleep(1200 * time.Millisecond)
		if !out.has("back") || !out.has("lost") {
			t.Fatalf("removed at once: %v", out.calls)
		}
		s.put("back")
		time.Sleep(3 * time.Second)
		if !out.has("back") || out.has("lost") {
			t.Errorf("got %v", out.calls)
		}
	})
}

// TestFailedCallGetsAFreshConnection guards against a node that misses all further
// changes after a connection broke. The failure occurs if the call after a failed call
// uses the same connection, which stays silent.
func TestFailedCallGetsAFreshConnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		out := startMirror(t, s)
		s.fail(errors.New("silent"))
		time.Sleep(4 * time.Second)
		s.fail(nil)
		s.put("new")
		time.Sleep(1500 * time.Millisecond)
		if s.resets == 0 || !out.has("new") {
			t.Errorf("resets %d, got %v", s.resets, out.calls)
		}
	})
}

// TestNeighbourIsHeardWhileTheStoreTurnsAway guards against keys that work for seconds
// at one node after they were revoked. The store rejects that node and serves the other
// nodes; keys are revoked, and a neighbour sends the change. The node must apply the
// change without waiting for the store.
func TestNeighbourIsHeardWhileTheStoreTurnsAway(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("kept")
		s.put("taken")
		out, m := startMirrorWith(t, s, Config{})
		s.fail(errors.New("turned away"))
		time.Sleep(time.Second)
		m.Merge(Delta{Newest: 90, Items: []infra.Value{{Key: "kept", ModRev: 80}}, Removed: []Removal{{Key: "taken", Rev: 90}}})
		if out.has("taken") || out.items["kept"] != 80 {
			t.Errorf("got %v", out.calls)
		}
	})
}

// TestOnlyReadersCallTheStore guards against a store that every node calls, and against
// a store that no node calls. Before each call, the node must check again whether it is
// a reader of the store.
func TestOnlyReadersCallTheStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		var reads atomic.Bool
		out, m := startMirrorWith(t, s, Config{IsReader: reads.Load})
		if !out.has("a") {
			t.Fatal("the first read was not made")
		}
		s.put("b")
		time.Sleep(5 * time.Second)
		if out.has("b") || m.Age(time.Now()) < 5*time.Second {
			t.Fatalf("read without being a reader: %v", out.calls)
		}
		reads.Store(true)
		time.Sleep(time.Second)
		if !out.has("b") || m.Age(time.Now()) > 2*time.Second {
			t.Errorf("got %v", out.calls)
		}
	})
}

// TestDoubtReachesNeighbours guards against sending work for ever to a replica that
// crashed during an outage of the store, at nodes that don't read the store. The
// replica's entry expires during the outage; a reader holds the removal as unconfirmed,
// sends later changes to its neighbours, and confirms the removal after a while. A node
// that has a newer revision doesn't request earlier changes again, so the reader must
// send the unconfirmed removal together with the later changes.
func TestDoubtReachesNeighbours(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for _, key := range []string{"lost", "back"} {
			s.put(key)
		}
		_, reader := startMirrorWith(t, s, Config{})
		out, other := startMirrorWith(t, s, Config{IsReader: func() bool { return false }})
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
			if err := other.Pull("reader", func(req DeltaRequest) (Delta, error) { return reader.Delta(req), nil }); err != nil {
				t.Fatal(err)
			}
		}
		pull()
		if !out.has("new") || !out.has("lost") || !out.has("back") {
			t.Fatalf("removed at once: %v", out.calls)
		}
		s.put("back")
		time.Sleep(time.Second)
		pull()
		time.Sleep(2 * time.Second)
		if out.has("lost") || !out.has("back") {
			t.Errorf("got %v", out.calls)
		}
	})
}

// TestStoreIsAskedWhereNeighbourKnowsNoRemovals guards against a start of many nodes
// that fills their network links with copies of all items. A neighbour has a newer
// revision, but started later and therefore doesn't know which items were removed
// before its start. The node must get the few changes from the store, and all items
// from the neighbour only while the store is unavailable.
func TestStoreIsAskedWhereNeighbourKnowsNoRemovals(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		out, m := startMirrorWith(t, s, Config{IsReader: func() bool { return false }})
		s.put("b")
		_, later := startMirrorWith(t, s, Config{})
		var requests []DeltaRequest
		request := func(req DeltaRequest) (Delta, error) {
			requests = append(requests, req)
			return later.Delta(req), nil
		}
		if err := m.Pull("later", request); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if !out.has("b") || len(requests) != 1 || requests[0].All {
			t.Fatalf("requests %v, got %v", requests, out.calls)
		}
		s.put("c")
		s.fail(errors.New("turned away"))
		m.CatchUp()
		time.Sleep(time.Second)
		third := New(nil, &recorder{items: map[string]fleet.Revision{}}, Config{})
		third.Merge(Delta{Newest: 90, Full: true, Items: []infra.Value{{Key: "c", ModRev: 80}}})
		if err := m.Pull("third", func(req DeltaRequest) (Delta, error) { return third.Delta(req), nil }); err != nil {
			t.Fatal(err)
		}
		if !out.has("c") || out.has("a") {
			t.Errorf("got %v", out.calls)
		}
	})
}
