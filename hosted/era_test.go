package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// loseWrites makes the store write what a later return to an earlier copy loses, and waits until all
// nodes know of it.
func (f *testFleet) loseWrites(nodes []*testNode) {
	f.t.Helper()
	for i := range 20 {
		f.store.Put(fmt.Sprint("op/other", i), []byte("x"))
	}
	at := f.store.Revision()
	for _, n := range nodes {
		await(f.t, "the writes that will be lost", func() bool { return n.mirror.Newest().Number() >= at })
	}
}

func (n *testNode) accepts(apiKey string) bool {
	status, _ := n.get("/look/x", fmt.Sprint("k", time.Now().UnixNano()), apiKey)
	return status == http.StatusOK
}

// Guards against writes after the store has come back from a copy that don't count, since their
// revisions are below those known before: a key that is taken away, a replica that leaves.
func TestWritesAfterTheStoreWentBackCount(t *testing.T) {
	f := newFleet(t)
	leaving := f.startApp("a0", "d0")
	f.startApp("a1", "d1")
	nodes := f.startServingNodes(3)
	f.configure(key, "other")
	for _, n := range nodes {
		await(t, "the second key", func() bool { return n.accepts("other") })
	}
	for range 2 { // a store may go back twice
		earlier := f.store.Copy()
		f.loseWrites(nodes)
		f.store.GoBack(earlier)
	}
	f.configure("other")
	f.store.Register(leaving, true)
	for _, n := range nodes {
		await(t, "the end of the key", func() bool { return !n.accepts(key) && n.accepts("other") })
		await(t, "the leaving of the replica", func() bool { return n.dir.Leaving("a0") })
	}
}

// Guards against a configuration, a leaving or a removal that is undone by the older copy, until it is
// written again; what stays missing ends.
func TestNothingKnownGoesBackWithTheStore(t *testing.T) {
	f := newFleet(t)
	leaving, removed := f.startApp("a0", "d0"), f.startApp("a1", "d1")
	f.startApp("a2", "d0")
	nodes := f.startServingNodes(2)
	for _, n := range nodes {
		await(t, "all replicas", func() bool { return len(n.dir.IDs()) == 3 })
	}
	earlier := f.store.Copy()
	added := f.startApp("a3", "d1")
	f.store.Register(leaving, true)
	f.store.Unregister(removed)
	f.configure("late")
	f.loseWrites(nodes)
	for _, n := range nodes {
		await(t, "the new key", func() bool { return n.accepts("late") })
		await(t, "the leaving", func() bool { return n.dir.Leaving("a0") && n.dir.Leaving("a1") })
	}
	seen := map[*fakes.Replica]int{leaving: len(leaving.Arrivals()), removed: len(removed.Arrivals())}
	f.store.GoBack(earlier)
	for _, n := range nodes {
		await(t, "the new era", func() bool { return n.mirror.Newest().Era() == 1 })
		if _, known := n.dir.Backend("a3"); !known || n.dir.Leaving("a3") {
			t.Error("a replica that is not in the copy ends at once")
		}
		for range 10 {
			if !n.accepts("late") || n.accepts(key) {
				t.Fatal("the configuration goes back")
			}
		}
	}
	for r, n := range seen {
		if got := len(r.Arrivals()) - n; got != 0 {
			t.Errorf("%d requests reached %s, which leaves or has ended", got, r.ID)
		}
	}
	for _, n := range nodes {
		await(t, "the end of what stays missing", func() bool { return n.dir.Leaving(added.ID) })
	}
}

// Guards against a node whose entry the store has lost, and against the renewal of a lease whose number
// may belong to another node now.
func TestNodesRegisterAgainAfterTheStoreWentBack(t *testing.T) {
	f := newFleet(t)
	f.startApp("a0", "d0")
	f.configure(key)
	empty := f.store.Copy()
	nodes := []*testNode{f.startNode("n1"), f.startNode("n2")}
	registered := func() bool {
		for _, n := range nodes {
			if i, ok := f.store.Get(nodePrefix + n.set.Node.ID); !ok || i.Lease == 0 {
				return false
			}
		}
		return true
	}
	await(t, "registration", registered)
	for _, n := range nodes {
		await(t, "the link", func() bool { return n.peers.hasLink() })
	}
	linkKey, _ := f.store.Get(peerKeyKey)
	f.store.GoBack(empty)
	await(t, "registration in the new era", registered)
	await(t, "the key of the links", func() bool {
		i, ok := f.store.Get(peerKeyKey)
		return ok && string(i.Value) == string(linkKey.Value)
	})
	for _, r := range f.store.Renewals() {
		if r.Era == 1 {
			t.Errorf("lease %d of the earlier era is renewed", r.Lease)
		}
	}
}
