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

// Symptom: a node that knows nothing yet denies what is allowed, and the client
// does not come back.
func TestWithoutConfigurationARequestIsRefused(t *testing.T) {
	f := newFleet(t)
	n := f.node("n1")
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
	f.engines(2, 3, 0)
	f.configure(key)
	await(t, "readiness", n.ready)
	if status, body := n.get("/draft/x", "q1", key); status != 200 || body != draft("q1", 3) {
		t.Errorf("got %d %q", status, body)
	}
}

func TestRoutesAndKeys(t *testing.T) {
	f := newFleet(t)
	app := f.app("a0", "d0")
	n := f.serving()
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

// Symptom: a draft is cut when its engine crashes, or falls silent without a word.
// Sequence: the engine ends, or stands still, in the middle of a stream whose copy
// lies in the other failure domain.
func TestDraftOutlivesItsEngine(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*fakes.Replica)
	}{{"crash", (*fakes.Replica).Crash}, {"silence", (*fakes.Replica).Freeze}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			engines := f.engines(4, 40, 10*time.Millisecond)
			n := f.serving()
			resp, first := n.begunDraft("q1")
			lost := running(engines, "q1")
			c.end(lost)
			rest, err := io.ReadAll(resp.Body)
			lost.Thaw()
			if err != nil || first+string(rest) != draft("q1", 40) {
				t.Fatalf("%v: got %q", err, first+string(rest))
			}
			held := 0
			for _, e := range engines {
				for _, a := range e.Arrivals() {
					if a.Ran && a.FromCopy() {
						held++
						if e.Domain == lost.Domain {
							t.Error("the copy lay in the failure domain of the run")
						}
					}
				}
			}
			if held != 1 {
				t.Errorf("%d runs went on from a copy", held)
			}
		})
	}
}

// Symptom: engines work for nobody. Cause: a run goes on after its client left.
func TestClientLeaves(t *testing.T) {
	f := newFleet(t)
	engines := f.engines(2, 100000, 5*time.Millisecond)
	n := f.serving()
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

// Symptom: a request is sent to a replica that leaves, seconds after the node
// heard of it.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	f := newFleet(t)
	a := f.app("a0", "d0")
	b := f.app("a1", "d1")
	n := f.serving()
	await(t, "both replicas", func() bool { return len(n.dir.IDs()) == 2 })
	f.store.Register(a, true)
	f.store.Register(b, false)
	await(t, "the news", func() bool { return n.dir.Leaving("a0") })
	f.store.Register(a, false) // older news that comes late
	for i := range 20 {
		if status, _ := n.get("/look/x", fmt.Sprint("q", i), key); status != 200 {
			t.Fatalf("got %d", status)
		}
	}
	if got := len(a.Arrivals()); got != 0 {
		t.Errorf("%d requests reached it", got)
	}
}

// linked tells whether any other node is linked.
func (p *peers) linked() bool {
	p.mu.Lock()
	mesh := p.mesh
	p.mu.Unlock()
	if mesh == nil {
		return false
	}
	_, ok := mesh.RandomNeighbour()
	return ok
}

// Symptom: an account whose key was taken away is served by a node that the store
// turns away. Sequence: the store answers the other node only; the key is taken
// away. The node must hear of it from the other.
func TestRevocationIsHeardThroughAnotherNode(t *testing.T) {
	f := newFleet(t)
	f.app("a0", "d0")
	f.configure(key, "other")
	door := f.store.NewEndpoint()
	t.Cleanup(door.Close)
	n1, n2 := f.node("n1"), f.nodeAt("n2", door.Addr())
	await(t, "readiness", func() bool { return n1.ready() && n2.ready() })
	await(t, "the link", func() bool { return n2.peers.linked() })
	door.Disable()
	f.configure("other")
	await(t, "the revocation at the other node", func() bool {
		status, _ := n2.get("/look/x", "q", key)
		return status == http.StatusUnauthorized
	})
}

// Symptom: a rolling restart cuts drafts. Sequence: the signal comes while a
// stream is open; the node must be unready at once, end the stream, and then go.
func TestShutdownCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.engines(2, 60, 10*time.Millisecond)
	n := f.serving()
	resp := n.draft("q1")
	n.signals <- syscall.SIGTERM
	await(t, "unreadiness", func() bool { return n.readyStatus() == http.StatusServiceUnavailable })
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != draft("q1", 60) {
		t.Errorf("%v: got %d bytes", err, len(body))
	}
	<-n.done
}

// Symptom: the process ends at a signal that only says that its settings changed.
func TestReloadCutsNothing(t *testing.T) {
	f := newFleet(t)
	f.app("a0", "d0")
	n := f.serving()
	n.signals <- syscall.SIGHUP
	if status, _ := n.get("/look/x", "q", key); status != 200 || !n.ready() {
		t.Errorf("got %d", status)
	}
}

// Symptom: a request stays unanswered beyond its route's time. Cause: the answer
// of a silent replica is waited for until the client's own time is over.
func TestAnswerAtTheRoutesTimeout(t *testing.T) {
	f := newFleet(t)
	a := f.app("a0", "d0")
	a.SetFaults(fakes.Faults{NoResponse: true})
	n := f.serving()
	if status, _ := n.get("/short/x", "q", key); status != http.StatusGatewayTimeout {
		t.Errorf("got %d", status)
	}
}

// Symptom: a client whose router was lost pays for its prompt again. Cause: it is
// sent anywhere, though a replica still holds the prompt.
func TestReturningClientFindsItsPrompt(t *testing.T) {
	f := newFleet(t)
	engines := f.engines(6, 5, 0)
	f.configure(key)
	n := f.node("n1")
	await(t, "all replicas", func() bool { return len(n.dir.IDs()) == 6 })
	await(t, "readiness", n.ready)
	if status, _ := n.get("/draft/x", "q1", key); status != 200 {
		t.Fatalf("got %d", status)
	}
	var held string
	for _, e := range engines {
		if len(e.Arrivals()) > 0 {
			held = e.ID
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
			if a.ID == "q2" && e.ID != held {
				t.Errorf("ran at %s, the prompt lies at %s", e.ID, held)
			}
		}
	}
}

// Symptom: one bad item of the store ends a node, or takes its configuration away.
func TestBadItemsLeaveTheLastGoodValue(t *testing.T) {
	f := newFleet(t)
	f.app("a0", "d0")
	n := f.serving()
	f.store.Put(fakes.ConfigKey, []byte("{"))
	f.store.Put("servers/a1", []byte(`{"service":1}`))
	f.configure(key, "late")
	await(t, "the next good version", func() bool {
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

// An operator sees a node's state without its logs; no key may be in it.
func TestInspection(t *testing.T) {
	f := newFleet(t)
	f.app("a0", "d0")
	n := f.serving()
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
	// The request is counted once it has ended, which is after its answer came.
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

// Symptom: a node that was replaced at another address gets no links. Cause: its
// entry in the store is still that of the node before it.
func TestNodeRegistersItsNewAddress(t *testing.T) {
	f := newFleet(t)
	f.store.Put(nodePrefix+"n1", []byte("127.0.0.1:1"))
	f.configure(key)
	n := f.node("n1")
	await(t, "the entry", func() bool {
		i, ok := f.store.Get(nodePrefix + "n1")
		return ok && string(i.Value) == n.set.Hosted.PeerAddress && i.Lease > 0
	})
}
