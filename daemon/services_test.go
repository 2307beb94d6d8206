package daemon

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/callerapi"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/placement"
	"wigeondale/routing"
	"wigeondale/settings"
)

// newTestServices returns services with backend servers at the given addresses.
func newTestServices(t *testing.T, addrs ...string) *services {
	t.Helper()
	var list []fleet.Backend
	for _, a := range addrs {
		list = append(list, fleet.Backend{ID: a, Addr: a, VM: "vm-" + a, Kind: fleet.Service, Service: "tags"})
	}
	dir := directory.New(nil)
	dir.Update(list, time.Now())
	router, err := routing.New(routing.DefaultSteps(), rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	set := metrics.NewSet()
	mon := health.NewMonitor(health.DefaultPolicy(), nil, set)
	n := &node{set: set}
	return &services{
		pick:   &picker{dir: dir, mon: mon, router: router},
		client: backend.NewServiceClient(),
		retry:  admission.NewRetryBudget(1, 10),
		hedge:  n.hedger(settings.Hedge{Enabled: true, BudgetPercent: 100}),
		mon:    placement.Watcher{Monitor: mon, Dir: dir, LeavingCode: codeLeaving},
	}
}

func testCall(idempotent bool) callerapi.ServiceCall {
	return callerapi.ServiceCall{
		RequestID: "r", Service: "tags", Method: http.MethodGet, Path: "lookup/a",
		Header: http.Header{}, Idempotent: idempotent, Deadline: time.Now().Add(time.Minute),
	}
}

// If one try may have run the call, the outcome must be "unknown", even if a later try
// could not connect. When the outcome was taken from the last error alone, the caller got
// the outcome "not-run" for a call that a backend server had run. Here the idempotent call
// is sent to two servers, in either order: one reads the call and disconnects, and the
// other can't be reached.
func TestOutcomeKeepsATryThatMayHaveRun(t *testing.T) {
	breaks := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer breaks.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	for range 10 { // the two are tried in random order
		s := newTestServices(t, breaks.Listener.Addr().String(), closed.Addr().String())
		_, err := s.send(t.Context(), testCall(true), serviceTries)
		f, ok := err.(*callerapi.Failure)
		if !ok || f.Outcome != fleet.Unknown {
			t.Fatalf("outcome %+v, want unknown", err)
		}
	}
	s := newTestServices(t, closed.Addr().String())
	_, err = s.send(t.Context(), testCall(true), serviceTries)
	if f, ok := err.(*callerapi.Failure); !ok || f.Outcome != fleet.NotRun || f.RetryAfter <= 0 {
		t.Fatalf("outcome %+v, want not-run", err)
	}
}

// A call that is not idempotent must not be hedged, even if the call is slow and a second
// replica is idle. Otherwise a booking, for example, is made twice.
func TestBookingsAreNotHedged(t *testing.T) {
	var seen atomic.Int32
	const booking = 200 * time.Millisecond // many times the hedge delay
	both := make(chan struct{})
	slow := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if seen.Add(1) == 2 {
			both <- struct{}{}
			return
		}
		select {
		case <-both:
		case <-r.Context().Done():
		case <-time.After(booking):
		}
	})
	one, two := httptest.NewServer(slow), httptest.NewServer(slow)
	defer one.Close()
	defer two.Close()
	for _, idempotent := range []bool{true, false} {
		seen.Store(0)
		s := newTestServices(t, one.Listener.Addr().String(), two.Listener.Addr().String())
		for range 100 {
			s.hedge.Observe("tags", time.Millisecond, time.Now())
		}
		want := int32(1)
		if idempotent {
			want = 2
		}
		resp, err := s.send(t.Context(), testCall(idempotent), 1)
		if err != nil || seen.Load() != want {
			t.Fatalf("idempotent %v: reached %d backend servers, error %v", idempotent, seen.Load(), err)
		}
		resp.Body.Close()
	}
}

// A replica that accepts calls but answers none must not stay healthy. When a try that lost
// to its hedge reported nothing to the failure detector, the stalled replica stayed healthy,
// calls stayed slow and their second tries used up the hedge budget.
func TestStalledReplicaIsLeft(t *testing.T) {
	var calls atomic.Int32
	stalled := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		<-r.Context().Done()
	}))
	defer stalled.Close()
	healthy := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer healthy.Close()
	s := newTestServices(t, stalled.Listener.Addr().String(), healthy.Listener.Addr().String())
	for range 100 {
		s.hedge.Observe("tags", time.Millisecond, time.Now())
	}
	policy := health.DefaultPolicy()
	bound := 10 * int32(policy.LateAfter) // each call to it takes at least the hedge delay
	id := stalled.Listener.Addr().String()
	for start := time.Now(); s.mon.State(id) == health.Healthy; {
		if calls.Load() > bound && time.Since(start) > 4*policy.LateSpan {
			t.Fatalf("still healthy after %d calls without an answer", calls.Load())
		}
		resp, err := s.send(t.Context(), testCall(true), 1)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
}

// Guards against "not run" for a call that a backend server may be running, because only the results of tries are
// recorded and one try has none, or because two tries at the same server count as one.
func TestCallWithAnOpenTryMayHaveRun(t *testing.T) {
	for _, second := range []string{"a", "b"} {
		tried := &triedSet{}
		tried.sending("a")
		tried.sending(second)
		tried.settle(backend.ErrNotSent)
		if f := tried.failure(testCall(true), backend.ErrNotSent); f.Outcome != fleet.Unknown {
			t.Errorf("with an open try at a, the other at %s: %+v", second, f)
		}
		tried.settle(backend.ErrNotSent)
		if f := tried.failure(testCall(true), backend.ErrNotSent); f.Outcome != fleet.NotRun {
			t.Errorf("no byte was sent: %+v", f)
		}
	}
}
