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

// plain returns services over backend servers at the addresses.
func plain(t *testing.T, addrs ...string) *services {
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

func lookup(idempotent bool) callerapi.ServiceCall {
	return callerapi.ServiceCall{
		RequestID: "r", Service: "tags", Method: http.MethodGet, Path: "lookup/a",
		Header: http.Header{}, Idempotent: idempotent, Deadline: time.Now().Add(time.Minute),
	}
}

// Symptom: a caller is told "not-run" of a call that a backend server has run.
// Sequence: one backend server reads the call and breaks off, the other can't
// be reached; the call, being idempotent, was sent to both, in either order.
// Cause: the outcome was taken from the last error alone.
func TestOutcomeKeepsATryThatMayHaveRun(t *testing.T) {
	breaks := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer breaks.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	for range 10 { // the order of the two is random
		s := plain(t, breaks.Listener.Addr().String(), gone.Addr().String())
		_, err := s.send(t.Context(), lookup(true), serviceTries)
		f, ok := err.(*callerapi.Failure)
		if !ok || f.Outcome != fleet.Unknown {
			t.Fatalf("outcome %+v, want unknown", err)
		}
	}
	s := plain(t, gone.Addr().String())
	_, err = s.send(t.Context(), lookup(true), serviceTries)
	if f, ok := err.(*callerapi.Failure); !ok || f.Outcome != fleet.NotRun || f.RetryAfter <= 0 {
		t.Fatalf("outcome %+v, want not-run", err)
	}
}

// Symptom: two vans are sent with the same fridge.
// Sequence: a booking is slower than bookings are; hedging is on and within
// its budget; a second replica is idle.
// Cause: a second try of a call that is not idempotent.
func TestBookingsAreNotHedged(t *testing.T) {
	var seen atomic.Int32
	const booking = 200 * time.Millisecond // many times the delay of a second try
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
		s := plain(t, one.Listener.Addr().String(), two.Listener.Addr().String())
		for range 100 {
			s.hedge.Observe("tags", time.Millisecond, time.Now())
		}
		want := int32(1)
		if idempotent {
			want = 2
		}
		resp, err := s.send(t.Context(), lookup(idempotent), 1)
		if err != nil || seen.Load() != want {
			t.Fatalf("idempotent %v: reached %d backend servers, error %v", idempotent, seen.Load(), err)
		}
		resp.Body.Close()
	}
}

// Symptom: lookups stay late for as long as one replica is stalled, and their
// second tries use up the budget.
// Sequence: one of two replicas accepts calls and answers none, the other
// answers at once; each call to the first loses its race and is cancelled.
// Cause: a cancelled try told nothing, so the replica stayed healthy.
func TestStalledReplicaIsLeft(t *testing.T) {
	var asked atomic.Int32
	stalled := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		<-r.Context().Done()
	}))
	defer stalled.Close()
	sound := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer sound.Close()
	s := plain(t, stalled.Listener.Addr().String(), sound.Listener.Addr().String())
	for range 100 {
		s.hedge.Observe("tags", time.Millisecond, time.Now())
	}
	policy := health.DefaultPolicy()
	bound := 10 * int32(policy.LateAfter) // each call to it takes the delay of a second try at least
	id := stalled.Listener.Addr().String()
	for began := time.Now(); s.mon.State(id) == health.Healthy; {
		if asked.Load() > bound && time.Since(began) > 4*policy.LateSpan {
			t.Fatalf("still healthy after %d calls without an answer", asked.Load())
		}
		resp, err := s.send(t.Context(), lookup(true), 1)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
}
