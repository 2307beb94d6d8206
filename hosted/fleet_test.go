package hosted

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeondale/event"
	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
	"wigeondale/fakes/ports"
	"wigeondale/settings"
	"wigeondale/signals"
)

const (
	key           = "key-of-acc"
	draftAttempts = 5
	testTimeout   = 10 * time.Second // bound of every wait; no result depends on it
)

// testFleet is a store, replicas and nodes on the loopback interface.
type testFleet struct {
	t            *testing.T
	store        *fakes.Store
	mu           sync.Mutex
	replicas     map[string]*fakes.Replica // by address
	version      int
	retryWindows map[string]int // settings of nodes, in seconds; 0 for the others
	sizing       string         // hosted.decisions.sizing of the nodes; empty for the default
	firstStart   bool           // hosted.first_start of the nodes
	graceMS      int            // hosted.grace_ms of the nodes; 0 for 8000, -1 for none
}

func newFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, store: fakes.NewStore(), replicas: map[string]*fakes.Replica{}}
	t.Cleanup(func() {
		f.store.SetUnresponsive(false)
		f.store.CloseClientConnections()
		f.store.Close()
	})
	return f
}

func (f *testFleet) replicaAt(addr string) *fakes.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[addr]
}

func (f *testFleet) startReplica(r *fakes.Replica) *fakes.Replica {
	f.t.Helper()
	if err := r.Start(f.replicaAt); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Crash)
	f.mu.Lock()
	f.replicas[r.Addr()] = r
	f.mu.Unlock()
	f.store.Register(r, false)
	return r
}

// startEngines starts n engines, alternately in two failure domains. Each response has the
// given number of chunks, with the time gap between two chunks.
func (f *testFleet) startEngines(n, chunks int, gap time.Duration) []*fakes.Replica {
	var out []*fakes.Replica
	for i := range n {
		out = append(out, f.startReplica(&fakes.Replica{
			ID: fmt.Sprintf("e%d", i), Service: "llm", Domain: fmt.Sprintf("d%d", i%2), Engine: true, Chunks: chunks, ChunkGap: gap,
		}))
	}
	return out
}

// startApp starts a replica of the service that is not a model engine.
func (f *testFleet) startApp(id, domain string) *fakes.Replica {
	f.t.Helper()
	return f.startReplica(&fakes.Replica{ID: id, Service: "app", Domain: domain})
}

// startServingNode writes a first configuration, starts a node, and waits until the node is
// ready.
func (f *testFleet) startServingNode() *testNode {
	f.t.Helper()
	f.configure(key)
	n := f.startNode("n1")
	await(f.t, "readiness", n.ready)
	return n
}

// configure writes the next version of the configuration, with the given keys as the keys of
// the account.
func (f *testFleet) configure(keys ...string) {
	f.version++
	route := func(name, kind, service string, timeout time.Duration, attempts int) fakes.Route {
		return fakes.Route{Name: name, Kind: kind, Service: service, Attempts: attempts, Timeout: timeout}
	}
	f.store.PutConfig(fakes.Config{
		Version: f.version, Account: "acc", Keys: keys, EngineService: "llm", OtherService: "app",
		Routes: []fakes.Route{
			route("draft", "streaming", "llm", 20*time.Second, draftAttempts),
			route("book", "non_idempotent", "app", 3*time.Second, 1),
			route("look", "idempotent", "app", 3*time.Second, 2),
			route("short", "idempotent", "app", 300*time.Millisecond, 2),
		},
	})
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := ports.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// testNode is one running node.
type testNode struct {
	*node
	replicaLinks *fault.Dialer // the node's links to replicas
	t            *testing.T
	signals      chan os.Signal // those that end it
	hangups      chan os.Signal
	done         chan struct{}
}

func (f *testFleet) startNode(id string) *testNode {
	f.t.Helper()
	return f.startNodeAt(id, f.store.Addr())
}

// startNodeAt starts a node that reaches the store at the given address.
func (f *testFleet) startNodeAt(id, store string) *testNode {
	f.t.Helper()
	sizing := f.sizing
	if sizing == "" {
		sizing = settings.SizingMaximum
	}
	set, err := settings.Parse(fmt.Appendf(nil, `{
		"node": {"id": %q, "vm": %q, "failure_domain": "d0", "region": "r", "incarnation": "1"},
		"shutdown": {"balancer_notice_ms": 200},
		"hosted": {"front_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0", "metrics_address": "127.0.0.1:0",
			"peer_address": %q, "store_address": %q, "grace_ms": %d, "retry_window_s": %d, "first_start": %t, "decisions": {"sizing": %q}}}`, id, id, freeAddr(f.t), store, max(cmp.Or(f.graceMS, 8000), 0), f.retryWindows[id], f.firstStart, sizing))
	if err != nil {
		f.t.Fatal(err)
	}
	return f.runNode(set, event.New(id))
}

// runNode runs a node with the settings until the test ends.
func (f *testFleet) runNode(set *settings.Settings, log *event.Log) *testNode {
	f.t.Helper()
	dialer := fault.NewDialer()
	n, err := newNodeWith(set, log, dialer.DialContext)
	if err != nil {
		f.t.Fatal(err)
	}
	tn := &testNode{node: n, replicaLinks: dialer, t: f.t, signals: make(chan os.Signal, 1), hangups: make(chan os.Signal, 1), done: make(chan struct{})}
	go func() {
		defer close(tn.done)
		if err := n.run(signals.Received{Shutdown: tn.signals, Reload: tn.hangups}); err != nil {
			f.t.Error(err)
		}
	}()
	f.t.Cleanup(tn.stop)
	return tn
}

func (n *testNode) stop() {
	select {
	case n.signals <- syscall.SIGTERM:
	default:
	}
	<-n.done
}

func (n *testNode) ready() bool { return n.readyStatus() == http.StatusOK }

// readyStatus returns the status of the readiness endpoint, or 0 if the endpoint gives no
// response.
func (n *testNode) readyStatus() int {
	resp, err := http.Get("http://" + n.node.ready.Addr().String() + "/readyz")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// requestGeneration requests a generation whose response stays open until the test ends.
func (n *testNode) requestGeneration(id string) *http.Response {
	n.t.Helper()
	resp, err := n.send(n.t.Context(), "/draft/x", id, key)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// startedGeneration requests a generation and reads its first three chunks.
func (n *testNode) startedGeneration(id string) (resp *http.Response, first string) {
	n.t.Helper()
	resp = n.requestGeneration(id)
	chunks := make([]byte, len(generationText(id, 3)))
	if _, err := io.ReadFull(resp.Body, chunks); err != nil {
		n.t.Fatal(err)
	}
	return resp, string(chunks)
}

// send sends a request with the given id through the node.
func (n *testNode) send(ctx context.Context, path, id, apiKey string) (*http.Response, error) {
	req, err := fakes.ClientRequest{
		Addr: n.front.Addr().String(), Path: path, ID: id, Key: apiKey, Budget: 15 * time.Second, Prompt: "aa:40," + id + ":60",
	}.HTTPRequest()
	if err != nil {
		return nil, err
	}
	req = req.WithContext(ctx)
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
}

func (n *testNode) get(path, id, apiKey string) (status int, body string) {
	n.t.Helper()
	resp, err := n.send(n.t.Context(), path, id, apiKey)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func generationText(id string, chunks int) string {
	s := ""
	for n := 1; n <= chunks; n++ {
		s += fakes.Chunk(id, n)
	}
	return s
}

// running returns the engine on which the request with the given id runs now, or nil if the
// request runs on none of the engines.
func running(engines []*fakes.Replica, id string) *fakes.Replica {
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if a.ID == id && a.Ran && !a.Completed {
				return e
			}
		}
	}
	return nil
}
