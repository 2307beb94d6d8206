package hosted

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
	"wigeondale/route"
)

// After a crash while the store is unavailable, a replacement must get work, so that the work
// does not stay on the remaining engines. The store stops responding, an engine crashes and
// another engine starts at its address. The store must not be the only source of replicas.
func TestSuccessorIsAdoptedWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(t)
	old := f.startReplica(&fakes.Replica{ID: "e0", Service: "llm", Domain: "d0", Engine: true, Chunks: 2, Listen: freeAddr(t)})
	n := f.startServingNode()
	f.store.SetUnresponsive(true)
	old.Crash()
	successor := &fakes.Replica{ID: "e1", Service: "llm", Domain: "d0", Engine: true, Chunks: 2, Listen: old.Addr()}
	if err := successor.Start(f.replicaAt); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(successor.Crash)
	sent := 0
	await(t, "a response of the new engine", func() bool {
		sent++
		resp, err := n.send(t.Context(), "/draft/x", fmt.Sprint("q", sent), key)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK && len(text) > 0
	})
	f.store.Register(successor, false)
	f.store.SetUnresponsive(false)
	await(t, "an up-to-date copy of the store", func() bool { return n.storeSync.age(time.Now()) < staleAfter })
	time.Sleep(listedWithin + 2*adoptInterval) // the new engine must stay in use during this time
	if n.dir.Leaving("e1") {
		t.Error("the new engine is leaving although the store lists it")
	}
}

// adoptingView returns a view of a configuration that has the named services of engines. The
// view knows one engine, i-a.
func adoptingView(engines ...string) *view {
	v := newTestView()
	cfg := &route.Config{Version: 2, Services: []route.Service{{Name: "app"}}}
	for _, name := range engines {
		cfg.Services = append(cfg.Services, route.Service{Name: name, Engine: true, Memory: 55000})
	}
	v.table.Install(route.NewTable(cfg))
	v.Put(replicaEntry("i-a", "10.0.0.1:80", 5))
	v.BatchDone()
	return v
}

// A replica is adopted, and exits before the store is available again. Once the store is
// available, this replica must get no more work, since the store does not list the replica. An
// adopted replica that the store lists must stay.
func TestAdoptedReplicaNeedsTheStoresWord(t *testing.T) {
	v := adoptingView("llm")
	v.adopt([]adoptedReplica{{Name: "i-b", Addr: "10.0.0.1:80"}, {Name: "i-x", Addr: "10.0.0.9:80"}})
	if !v.dir.Leaving("i-a") || v.dir.Leaving("i-b") || !v.dir.Leaving("i-x") {
		t.Fatalf("leaving: unreachable %v, found %v, at an unknown address %v", v.dir.Leaving("i-a"), v.dir.Leaving("i-b"), v.dir.Leaving("i-x"))
	}
	v.dropAdopted()
	if !v.dir.Leaving("i-b") {
		t.Error("a replica that the store does not list still gets work")
	}
	v.adopt([]adoptedReplica{{Name: "i-c", Addr: "10.0.0.1:80"}})
	v.Put(replicaEntry("i-c", "10.0.0.1:80", 7))
	v.BatchDone()
	v.dropAdopted()
	if v.dir.Leaving("i-c") {
		t.Error("a replica that the store lists was removed")
	}
}

// A request must not run at a service that its route does not name. An address can pass to
// another service of engines, and the engines of two services can't be distinguished by what
// they report, so nothing may be adopted where there are two services of engines.
func TestNothingIsAdoptedBesideAnotherEngineService(t *testing.T) {
	if s, ok := adoptingView("llm").engineService(); !ok || s.Name != "llm" {
		t.Errorf("the only service of engines is %q, %v", s.Name, ok)
	}
	if s, ok := adoptingView("llm", "other").engineService(); ok {
		t.Errorf("%q is used although there is another service of engines", s.Name)
	}
}
