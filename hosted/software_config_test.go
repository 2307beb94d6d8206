package hosted

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/clock"
	"wigeondale/fakes/hosted"
	"wigeondale/generation"
	"wigeondale/platform"
	"wigeondale/route"
)

// storeWithoutNews is an address of the store at which changes are not reported while it is silent. Reads are answered.
type storeWithoutNews struct {
	*httptest.Server
	silent atomic.Bool
}

func (f *testFleet) newStoreWithoutNews() *storeWithoutNews {
	s := &storeWithoutNews{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: f.store.Addr()})
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.silent.Load() && r.URL.Path == "/kv-watch" && r.URL.Query().Get("wait_ms") != "0" {
			<-r.Context().Done()
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	f.t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

func (s *storeWithoutNews) silence() {
	s.silent.Store(true)
	s.CloseClientConnections()
}

// startNodeWithoutNews starts a node, whose route of streams leads to a service with two engines, at such an address.
func (f *testFleet) startNodeWithoutNews() (*testNode, *storeWithoutNews) {
	f.t.Helper()
	f.firstStart = true
	store := f.newStoreWithoutNews()
	f.startSoftware("v1", 2, 400)
	f.moveDrafts("llm")
	n := f.startNodeAt("n1", store.Listener.Addr().String())
	await(f.t, "readiness", n.ready)
	return n, store
}

// moveDrafts writes a configuration that leads the route of streams to a service.
func (f *testFleet) moveDrafts(service string) {
	f.version++
	f.store.PutConfig(hosted.Config{
		Version: f.version, Account: "acc", Keys: []string{key}, EngineService: "llm", MoreEngines: []string{"llm2"}, OtherService: "app",
		Routes: []hosted.Route{{Name: "draft", Kind: "streaming", Service: service, Attempts: 5, Timeout: 20 * time.Second}},
	})
}

// Guards against a stream that goes on at another service at a router whose configuration is older than that of the router that began it.
func TestTakeUpByAnOldConfigurationIsNotLedElsewhere(t *testing.T) {
	f := newFleet(t)
	n, store := f.startNodeWithoutNews()
	takeUp := func(id, beganAs string) int {
		g, status := n.resume(id, beganAs, 3)
		g.leave()
		return status
	}
	await(t, "take-ups by the newest configuration", func() bool { return takeUp("named", "q") == http.StatusOK && takeUp("unnamed", "") == http.StatusOK })

	store.silence()
	f.moveDrafts("llm2") // and another router begins q2 there
	for _, beganAs := range []string{"q2", ""} {
		if status := takeUp("late"+beganAs, beganAs); status != http.StatusServiceUnavailable {
			t.Errorf("took up %q: status %d, want 503", beganAs, status)
		}
	}
	if v := n.table.Get().Version; v != int64(f.version-1) {
		t.Errorf("the router has configuration %d, the test is about one before %d", v, f.version)
	}
}

// Guards against a record that is refused because it is asked for at a router with an old configuration: it says where the stream began.
func TestRecordedStreamGoesOnByAnOldConfiguration(t *testing.T) {
	f := newFleet(t)
	n, store := f.startNodeWithoutNews()
	g := n.begin("q")
	g.leave()
	store.silence()
	f.moveDrafts("llm2")
	if next, status := n.resume("q-again", "q", len(g.pieces)); status != http.StatusOK {
		t.Errorf("status %d", status)
	} else {
		next.leave()
	}
}

// Guards against a configuration that counts as the newest one although the store has not said so.
func TestConfigurationIsTheNewestOnlyIfTheStoreSaysSo(t *testing.T) {
	f := newFleet(t)
	f.startEngines(1, 1, 0)
	n := f.startServingNode()
	inForce := int64(f.version)
	newest := func(version int64) bool {
		return n.software.checkConfig(t.Context(), &generation.Request{Opaque: &generation.Opaque{Service: "llm", ConfigVersion: version}}) == nil
	}
	if !newest(inForce) {
		t.Error("the configuration in force counts as an old one")
	}
	if newest(inForce - 1) {
		t.Error("an earlier configuration counts as the newest")
	}
	f.store.SetFailing(true)
	if newest(inForce) {
		t.Error("without an answer of the store, the configuration counts as the newest")
	}
	f.store.SetFailing(false)
	f.store.Compact()
	await(t, "the changes since the compaction", func() bool { return newest(inForce) })
	if reply, err := n.software.handleConfigQuery(t.Context(), "n2", configQuery{}); err == nil || reply.Unchanged {
		t.Errorf("a query without a revision gets %+v, %v", reply, err)
	}
}

// Guards against a stream that goes on at another service at a router that has started since its route moved, and takes the routes that
// it finds for those that there always were.
func TestTakeUpAtAStartedRouterIsNotLedElsewhere(t *testing.T) {
	f := newFleet(t)
	f.firstStart = true
	f.startSoftware("v1", 2, 400)
	f.moveDrafts("llm")
	first := f.startNode("n1")
	await(t, "readiness", first.ready)
	stated := func() (st routesStatement) {
		if item, ok := f.store.Get(routesKey); ok {
			if err := json.Unmarshal(item.Value, &st); err != nil {
				t.Error(err)
			}
		}
		return st
	}
	await(t, "the statement about the routes", func() bool { return stated().Version == int64(f.version) })
	f.configure(key)
	await(t, "a statement of the next configuration", func() bool { return stated().Version == int64(f.version) })
	first.stop()

	f.firstStart = false
	f.configure(key) // while no router runs
	takeUps := func(n *testNode, want int) {
		t.Helper()
		for _, beganAs := range []string{"q", ""} {
			g, status := n.resume("again"+beganAs, beganAs, 3)
			g.leave()
			if status != want {
				t.Errorf("took up %q: status %d, want %d", beganAs, status, want)
			}
		}
	}
	second := f.startNode("n1")
	await(t, "readiness", second.ready)
	takeUps(second, http.StatusOK)
	await(t, "a statement of the configuration after the start", func() bool { return stated().Version == int64(f.version) })
	second.stop()
	for what, change := range map[string]func(){
		"moved and back":            func() { f.moveDrafts("llm2"); f.moveDrafts("llm") },
		"history of the store gone": func() { f.configure(key); f.store.Compact() },
	} {
		t.Log(what)
		change()
		third := f.startNode("n1")
		await(t, "readiness", third.ready)
		takeUps(third, http.StatusServiceUnavailable)
		third.stop()
	}
}

// Guards against a stream that goes on by the routes in force although the store has later ones that can't be read.
func TestConfigurationThatCannotBeReadMayHaveMovedRoutes(t *testing.T) {
	f := newFleet(t)
	f.firstStart = true
	f.startSoftware("v1", 2, 400)
	n := f.startServingNode()
	takeUp := func(beganAs string) int {
		g, status := n.resume(beganAs+"-again", beganAs, 3)
		g.leave()
		return status
	}
	await(t, "take-ups", func() bool { return takeUp("q") == http.StatusOK })
	revision := f.store.Put(platform.ConfigKey, []byte(`{"version": "?"}`))
	await(t, "the change", func() bool { return n.mirror.Newest().Number() >= revision })
	if status := takeUp("q2"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", status)
	}
}

// Guards against streams that are refused at a router whose calls alone the store refuses.
func TestConfigurationIsConfirmedThroughAnotherRouter(t *testing.T) {
	f := newFleet(t)
	f.startEngines(1, 1, 0)
	f.configure(key)
	address := f.store.NewEndpoint()
	t.Cleanup(address.Close)
	first, second := f.startNode("n1"), f.startNodeAt("n2", address.Addr())
	await(t, "readiness", func() bool { return first.ready() && second.ready() })
	await(t, "links", func() bool { return len(second.software.routers()) == 1 })
	address.SetRefusals(func() int { return http.StatusServiceUnavailable })
	request := &generation.Request{Opaque: &generation.Opaque{Service: "llm", ConfigVersion: int64(f.version)}}
	if err := second.software.checkConfig(t.Context(), request); err != nil {
		t.Error(err)
	}
}

// Guards against streams that are refused for a stream's life because the store has lost its history while the configuration changed, and
// against streams that go on although a router has led them elsewhere meanwhile.
func TestRoutersConfirmRoutesThatTheStoreHasLost(t *testing.T) {
	for name, c := range map[string]struct {
		moved bool // at the other router
		want  int
	}{
		"no router moved them": {false, http.StatusOK},
		"another router did":   {true, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			first, store := f.startNodeWithoutNews()
			second := f.startNodeAt("n2", store.Listener.Addr().String())
			await(t, "readiness", second.ready)
			n := 0
			takeUp := func() int {
				n++
				g, status := first.resume(fmt.Sprint("again", n), fmt.Sprint("q", n), 3)
				g.leave()
				return status
			}
			await(t, "take-ups", func() bool { return takeUp() == http.StatusOK })
			await(t, "links for as long as is asked for", func() bool {
				return first.software.tracker.ReachedAllFor(clock.SinceBoot()) > leadsMargin+time.Second
			})
			if c.moved {
				f.version++
				second.table.Install(route.NewTable(&route.Config{Version: int64(f.version), Routes: []route.Route{
					{Host: hosted.Host, Prefix: "/draft/", Service: "llm2", Kind: route.Stream, Resumable: true, Timeout: 20 * time.Second},
				}}))
			}
			store.silence()
			f.moveDrafts("llm")
			f.store.Compact()
			store.silent.Store(false)
			await(t, "the configuration", func() bool {
				return first.table.Get().Version == int64(f.version) && second.table.Get().Version == int64(f.version)
			})
			if c.want == http.StatusOK {
				await(t, "take-ups after the loss", func() bool { return takeUp() == http.StatusOK })
				return
			}
			for end := time.Now().Add(2 * confirmRetry); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if status := takeUp(); status != c.want {
					t.Fatalf("status %d, want %d", status, c.want)
				}
			}
		})
	}
}

// Guards against a take-up that waits for the store when its router ends, and whose connection closes without an answer.
func TestTakeUpThatWaitsForTheStoreIsAnsweredInAStop(t *testing.T) {
	f := newFleet(t)
	f.graceMS = 1000
	n, _ := f.startNodeWithoutNews()
	f.moveDrafts("llm2")
	await(t, "the new configuration", func() bool { return n.table.Get().Version == int64(f.version) })
	f.store.SetUnresponsive(true)
	late := &lateRequest{id: "late", path: "/draft/x", takesUp: "q2", after: -100 * time.Millisecond}
	playStop(t, []*lateRequest{late}, n, n)
	if late.err != nil || late.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, %v, want 503", late.status, late.err)
	}
}
