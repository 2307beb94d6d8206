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

// Symptom: after a crash while the store is away all work stays on the engines that are
// left, until the store is back. Sequence: the store falls silent, an engine crashes and
// another one starts at its address; requests come. Cause: only the store was asked
// which replicas there are.
func TestSuccessorIsAdoptedWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(t)
	old := f.replica(&fakes.Replica{ID: "e0", Service: "llm", Domain: "d0", Engine: true, Chunks: 2, Listen: freeAddr(t)})
	n := f.serving()
	f.store.SetUnresponsive(true)
	old.Crash()
	young := &fakes.Replica{ID: "e1", Service: "llm", Domain: "d0", Engine: true, Chunks: 2, Listen: old.Addr()}
	if err := young.Start(f.at); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(young.Crash)
	asked := 0
	await(t, "an answer of the new engine", func() bool {
		asked++
		resp, err := n.send(t.Context(), "/draft/x", fmt.Sprint("q", asked), key)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK && len(text) > 0
	})
	f.store.Register(young, false)
	f.store.SetUnresponsive(false)
	await(t, "the store's word", func() bool { return n.news.age(time.Now()) < staleAfter })
	time.Sleep(listedWithin + 2*adoptEvery) // nothing is to happen to it
	if n.dir.Leaving("e1") {
		t.Error("the new engine is taken for gone though the store lists it")
	}
}

// adoptingView knows the engine i-a at one address.
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

// Symptom: work goes to a replica that does not exist. Sequence: a replica was adopted
// and ended before the store was back. Cause: what was found once counts for ever. The
// store's word goes first, in both directions.
func TestAdoptedReplicaNeedsTheStoresWord(t *testing.T) {
	v := adoptingView("llm")
	v.adopt([]adoptedReplica{{Name: "i-b", Addr: "10.0.0.1:80"}, {Name: "i-x", Addr: "10.0.0.9:80"}})
	if !v.dir.Leaving("i-a") || v.dir.Leaving("i-b") || !v.dir.Leaving("i-x") {
		t.Fatalf("leaving: lost %v, found %v, at an unknown address %v", v.dir.Leaving("i-a"), v.dir.Leaving("i-b"), v.dir.Leaving("i-x"))
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
		t.Error("a replica that the store lists is dropped")
	}
}

// Symptom: a request runs at a service that its route does not name. Sequence: an address
// passes to another service of engines. Cause: engines of two services can't be told
// apart by what they say of themselves.
func TestNothingIsAdoptedBesideAnotherEngineService(t *testing.T) {
	if s, ok := adoptingView("llm").engine(); !ok || s.Name != "llm" {
		t.Errorf("the only service of engines is %q, %v", s.Name, ok)
	}
	if s, ok := adoptingView("llm", "other").engine(); ok {
		t.Errorf("%q is looked after beside another service of engines", s.Name)
	}
}
