package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// lateRequest is a request in a planned stop, with what its client got.
type lateRequest struct {
	id, path string
	after    time.Duration // since the signal; negative before it
	slow     time.Duration // until its body is complete

	status int
	err    error
}

// send sends the request, and reads its whole answer.
func (r *lateRequest) send(n *testNode) {
	req, err := fakes.ClientRequest{Addr: n.front.Addr().String(), Path: r.path, ID: r.id, Key: key, Budget: 15 * time.Second}.HTTPRequest()
	if err != nil {
		r.err = err
		return
	}
	if r.slow > 0 {
		body, rest := io.Pipe()
		req.Body, req.ContentLength = body, 2
		go func() {
			io.WriteString(rest, "a")
			time.Sleep(r.slow)
			io.WriteString(rest, "b")
			rest.Close()
		}()
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	_, r.err = io.ReadAll(resp.Body)
	r.status = resp.StatusCode
}

// playStop sends requests through a node around the signal that stops another one, or the same.
func playStop(t *testing.T, requests []*lateRequest, through, stops *testNode) {
	signal := time.Now().Add(time.Second)
	var all sync.WaitGroup
	for _, r := range requests {
		all.Go(func() {
			time.Sleep(time.Until(signal.Add(r.after)))
			r.send(through)
		})
	}
	time.Sleep(time.Until(signal))
	stops.signals <- syscall.SIGTERM
	all.Wait()
	<-stops.done
}

// warmUp lets the node learn that each replica of the plain service answers: until then it sends one request to each.
func (n *testNode) warmUp(replicas int) {
	var all sync.WaitGroup
	for i := range replicas {
		all.Go(func() { n.get("/look/x", fmt.Sprint("warm", i), key) })
	}
	all.Wait()
}

// checkAnswers checks that each request got a true answer.
func checkAnswers(t *testing.T, requests []*lateRequest, replicas ...*fakes.Replica) (served int) {
	t.Helper()
	ran := map[string]bool{}
	for _, r := range replicas {
		for _, a := range r.Arrivals() {
			ran[a.ID] = ran[a.ID] || a.Ran
		}
	}
	for _, r := range requests {
		switch {
		case r.err != nil:
			t.Errorf("%s (ran: %t): %v", r.id, ran[r.id], r.err)
		case r.status == http.StatusServiceUnavailable && ran[r.id]:
			t.Errorf("%s ran and is refused as not run", r.id)
		case r.status == http.StatusOK:
			served++
		case strings.HasPrefix(r.path, "/book") && ran[r.id]:
			t.Errorf("%s may run once, ran, and got %d", r.id, r.status)
		}
	}
	return served
}

// Guards against requests that come late in a planned stop, run, and are cut without an answer.
func TestRequestsLateInAStopAreNotCut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.graceMS = 3000
	app := f.startReplica(&fakes.Replica{ID: "a0", Service: "app", Domain: "d0", Work: 2500 * time.Millisecond})
	n := f.startServingNode()
	n.warmUp(1)
	var requests []*lateRequest
	for i, path := range []string{"/book/x", "/look/x"} {
		requests = append(requests,
			&lateRequest{id: fmt.Sprint("before", i), path: path, after: -500 * time.Millisecond},
			&lateRequest{id: fmt.Sprint("slow", i), path: path, after: -100 * time.Millisecond, slow: 1600 * time.Millisecond},
			&lateRequest{id: fmt.Sprint("notice", i), path: path, after: 100 * time.Millisecond},
		)
	}
	playStop(t, requests, n, n)
	if served := checkAnswers(t, requests, app); served < 2 {
		t.Errorf("%d requests were served, want those that could end in time", served)
	}
}

// Guards against requests that run when a router reaches the end of its grace, and whose connections close without an answer.
func TestRequestsOpenAtTheEndOfAStopAreAnswered(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.graceMS = 1500
	f.startReplica(&fakes.Replica{ID: "a0", Service: "app", Domain: "d0", Work: 2500 * time.Millisecond})
	n := f.startServingNode()
	n.warmUp(1)
	requests := []*lateRequest{
		{id: "once", path: "/book/x", after: -100 * time.Millisecond},
		{id: "again", path: "/look/x", after: -100 * time.Millisecond},
	}
	playStop(t, requests, n, n)
	for _, r := range requests {
		if r.err != nil || r.status != http.StatusBadGateway {
			t.Errorf("%s: %d, %v, want 502", r.id, r.status, r.err)
		}
	}
}

// Guards against requests that a router passes on to one that stops and that cuts them, although a third one could serve them.
func TestRequestsAreNotPassedOnToARouterThatStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.graceMS = 3000
	app := f.startReplica(&fakes.Replica{ID: "a0", Service: "app", Domain: "d0", Work: time.Second})
	f.startEngines(1, 2000, 10*time.Millisecond)
	nodes := f.startServingNodes(3)
	for _, n := range nodes {
		n.warmUp(1)
	}
	nodes[1].startedGeneration("long") // it keeps the router until the end of its grace
	nodes[0].replicaLinks.Set(fault.Resetting)
	var requests []*lateRequest
	for i := range 16 {
		path := []string{"/book/x", "/look/x"}[i%2]
		requests = append(requests, &lateRequest{id: fmt.Sprint("q", i), path: path, after: time.Duration(i) * 150 * time.Millisecond})
	}
	time.Sleep(cutNoticed)
	playStop(t, requests, nodes[0], nodes[1])
	if served := checkAnswers(t, requests, app); served < len(requests) {
		t.Errorf("%d of %d requests were served", served, len(requests))
	}
}
