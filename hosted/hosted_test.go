package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
	"wigeondale/settings"
)

// Guards against a node without a configuration that denies an allowed request, so that the client
// does not come back.
func TestWithoutConfigurationARequestIsRefused(t *testing.T) {
	f := newFleet(t)
	n := f.startNode("n1")
	resp, err := n.send(t.Context(), "/draft/x", "q0", key)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d with %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if n.ready() {
		t.Error("ready without a configuration")
	}
	f.startEngines(2, 3, 0)
	f.configure(key)
	await(t, "readiness", n.ready)
	if status, body := n.get("/draft/x", "q1", key); status != 200 || body != generationText("q1", 3) {
		t.Errorf("got %d %q", status, body)
	}
}

func TestRoutesAndKeys(t *testing.T) {
	f := newFleet(t)
	app := f.startApp("a0", "d0")
	n := f.startServingNode()
	for _, c := range []struct {
		path, key string
		want      int
	}{{"/look/x", key, 200}, {"/look/x", "stranger", 401}, {"/nowhere/x", key, 404}, {"/lookalike", key, 404}} {
		if status, _ := n.get(c.path, "q", c.key); status != c.want {
			t.Errorf("%s with %s: got %d, want %d", c.path, c.key, status, c.want)
		}
	}
	got := app.Arrivals()
	if len(got) != 1 || got[0].Header.Get("X-Tenant-Id") != "acc" || got[0].Header.Get("X-Api-Key") != "" {
		t.Errorf("the replica saw %+v", got)
	}
}

// Guards against a generation that is cut off when its engine crashes or falls silent without
// closing the connection, in the middle of a stream whose copy is in the other failure domain.
func TestDraftOutlivesItsEngine(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*fakes.Replica)
	}{{"crash", (*fakes.Replica).Crash}, {"silence", (*fakes.Replica).Freeze}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			engines := f.startEngines(4, 40, 10*time.Millisecond)
			n := f.startServingNode()
			resp, first := n.startedGeneration("q1")
			lost := running(engines, "q1")
			c.end(lost)
			rest, err := io.ReadAll(resp.Body)
			lost.Thaw()
			if err != nil || first+string(rest) != generationText("q1", 40) {
				t.Fatalf("%v: got %q", err, first+string(rest))
			}
			fromCopy := 0
			for _, e := range engines {
				for _, a := range e.Arrivals() {
					if a.Ran && a.FromCopy() {
						fromCopy++
						if e.Domain == lost.Domain {
							t.Error("the copy was in the failure domain of the run")
						}
					}
				}
			}
			if fromCopy != 1 {
				t.Errorf("%d runs continued from a copy", fromCopy)
			}
		})
	}
}

// Guards against runs that go on after their client has disconnected.
func TestClientLeaves(t *testing.T) {
	f := newFleet(t)
	engines := f.startEngines(2, 100000, 5*time.Millisecond)
	n := f.startServingNode()
	ctx, leave := context.WithCancel(t.Context())
	resp, err := n.send(ctx, "/draft/x", "q1", key)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	e := running(engines, "q1")
	leave()
	await(t, "the end of the run", func() bool { return e.OpenRequests() == 0 })
}

// Guards against requests that are sent to a leaving replica seconds after the node received the
// update.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	f := newFleet(t)
	a := f.startApp("a0", "d0")
	b := f.startApp("a1", "d1")
	n := f.startServingNode()
	await(t, "both replicas", func() bool { return len(n.dir.IDs()) == 2 })
	f.store.Register(a, true)
	f.store.Register(b, false)
	await(t, "the update", func() bool { return n.dir.Leaving("a0") })
	f.store.Register(a, false) // an older update that arrives late
	for i := range 20 {
		if status, _ := n.get("/look/x", fmt.Sprint("q", i), key); status != 200 {
			t.Fatalf("got %d", status)
		}
	}
	if got := len(a.Arrivals()); got != 0 {
		t.Errorf("%d requests reached it", got)
	}
}

// hasLink reports whether any other node is linked.
func (p *peers) hasLink() bool {
	p.mu.Lock()
	mesh := p.mesh
	p.mu.Unlock()
	if mesh == nil {
		return false
	}
	_, ok := mesh.RandomNeighbour()
	return ok
}

// Guards against a revoked key that is still accepted by a node which the store rejects: the store
// responds to the other node only when the key is revoked, so the node must get the update from the
// other one.
func TestRevocationIsHeardThroughAnotherNode(t *testing.T) {
	f := newFleet(t)
	f.startApp("a0", "d0")
	f.configure(key, "other")
	door := f.store.NewEndpoint()
	t.Cleanup(door.Close)
	n1, n2 := f.startNode("n1"), f.startNodeAt("n2", door.Addr())
	await(t, "readiness", func() bool { return n1.ready() && n2.ready() })
	await(t, "the link", func() bool { return n2.peers.hasLink() })
	door.Disable()
	f.configure("other")
	await(t, "the revocation at the other node", func() bool {
		status, _ := n2.get("/look/x", "q", key)
		return status == http.StatusUnauthorized
	})
}

// Guards against a rolling restart that cuts off generations: when the signal comes while a stream
// is open, the node must be unready at once, finish the stream, and then exit.
func TestShutdownCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.startEngines(2, 60, 10*time.Millisecond)
	n := f.startServingNode()
	resp := n.requestGeneration("q1")
	n.signals <- syscall.SIGTERM
	await(t, "unreadiness", func() bool { return n.readyStatus() == http.StatusServiceUnavailable })
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != generationText("q1", 60) {
		t.Errorf("%v: got %d bytes", err, len(body))
	}
	<-n.done
}

// Guards against a process that exits at a signal which only means that its settings changed.
func TestReloadCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.startApp("a0", "d0")
	n := f.startServingNode()
	n.signals <- syscall.SIGHUP
	if status, _ := n.get("/look/x", "q", key); status != 200 || !n.ready() {
		t.Errorf("got %d", status)
	}
}

// Guards against a request that gets no answer within its route's timeout because a silent replica
// is waited for until the client's own time is over.
func TestAnswerAtTheRoutesTimeout(t *testing.T) {
	f := newFleet(t)
	a := f.startApp("a0", "d0")
	a.SetFaults(fakes.Faults{NoResponse: true})
	n := f.startServingNode()
	if status, _ := n.get("/short/x", "q", key); status != http.StatusGatewayTimeout {
		t.Errorf("got %d", status)
	}
}

// Guards against reading a prompt again: a client whose router crashed must be sent to the replica
// that has its prompt cached.
func TestReturningClientFindsItsPrompt(t *testing.T) {
	f := newFleet(t)
	engines := f.startEngines(6, 5, 0)
	f.configure(key)
	n := f.startNode("n1")
	await(t, "all replicas", func() bool { return len(n.dir.IDs()) == 6 })
	await(t, "readiness", n.ready)
	if status, _ := n.get("/draft/x", "q1", key); status != 200 {
		t.Fatalf("got %d", status)
	}
	var cachedAt string
	for _, e := range engines {
		if len(e.Arrivals()) > 0 {
			cachedAt = e.ID
		}
	}
	req, err := fakes.ClientRequest{
		Addr: n.front.Addr().String(), Path: "/draft/x", ID: "q2", Key: key, Budget: 15 * time.Second, LastChunk: 3, Prompt: "aa:40,q1:60",
	}.HTTPRequest()
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != fakes.Chunk("q2", 4)+fakes.Chunk("q2", 5) {
		t.Errorf("%v: got %q", err, body)
	}
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if a.ID == "q2" && e.ID != cachedAt {
				t.Errorf("ran at %s, the prompt is cached at %s", e.ID, cachedAt)
			}
		}
	}
}

// Guards against one invalid item of the store that ends a node or removes its configuration.
func TestBadItemsLeaveTheLastGoodValue(t *testing.T) {
	f := newFleet(t)
	f.startApp("a0", "d0")
	n := f.startServingNode()
	f.store.Put(fakes.ConfigKey, []byte("{"))
	f.store.Put("servers/a1", []byte(`{"service":1}`))
	f.configure(key, "late")
	await(t, "the next valid version", func() bool {
		status, _ := n.get("/look/x", "q", "late")
		return status == 200
	})
}

func TestSettingsAreChecked(t *testing.T) {
	_, err := settings.Parse([]byte(`{"node": {"id": "n"}, "hosted": {"front_address": "here", "retry_share": -1, "odd": 1}}`))
	problems, ok := errors.AsType[settings.Problems](err)
	if !ok {
		t.Fatalf("got %v", err)
	}
	text := problems.Error()
	for _, path := range []string{"hosted.front_address", "hosted.retry_share", "hosted.odd", "hosted.store_address"} {
		if !strings.Contains(text, path) {
			t.Errorf("%s is not named in %s", path, text)
		}
	}
}

// An operator sees a node's state without its logs; the state must contain no key.
func TestInspection(t *testing.T) {
	f := newFleet(t)
	f.startApp("a0", "d0")
	n := f.startServingNode()
	n.get("/look/x", "q", key)
	page := func(path string) string {
		resp, err := http.Get("http://" + n.stats.Addr().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	// The request is counted when it has ended, which is after its response arrived.
	await(t, "the metric", func() bool {
		return strings.Contains(page("/metrics"), `wigeon_relayed_total{kind="repeatable",result="complete"} 1`)
	})
	state := page("/debug/dump")
	for _, want := range []string{`"table"`, `"a0"`, `"store"`, `"health"`} {
		if !strings.Contains(state, want) {
			t.Errorf("%s is not in the dump", want)
		}
	}
	if strings.Contains(state, key) {
		t.Error("a client's key is in the dump")
	}
}

// Guards against a node at a new address that gets no links because its entry in the store still
// has the address of the node before it.
func TestNodeRegistersItsNewAddress(t *testing.T) {
	f := newFleet(t)
	f.store.Put(nodePrefix+"n1", []byte("127.0.0.1:1"))
	f.configure(key)
	n := f.startNode("n1")
	await(t, "the entry", func() bool {
		i, ok := f.store.Get(nodePrefix + "n1")
		return ok && string(i.Value) == n.set.Hosted.PeerAddress && i.Lease > 0
	})
}
