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
	after    time.Duration     // since the signal; negative before it
	slow     time.Duration     // until its body is complete
	kept     http.RoundTripper // an open connection; nil for a new one
	takesUp  string            // id of the attempt whose stream it takes up after its third chunk; empty for none

	status int
	err    error
}

// send sends the request, and reads its whole answer.
func (r *lateRequest) send(n *testNode) {
	c := fakes.ClientRequest{Addr: n.front.Addr().String(), Path: r.path, ID: r.id, Key: key, Budget: 15 * time.Second}
	if r.takesUp != "" {
		c.BeganAs, c.LastChunk = r.takesUp, 3
	}
	req, err := c.HTTPRequest()
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
	var through http.RoundTripper = &http.Transport{DisableKeepAlives: true}
	if r.kept != nil {
		through = r.kept
	}
	resp, err := through.RoundTrip(req)
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

// keptConnections opens connections to the node by a request each, and returns clients that go on to use them.
func (n *testNode) keptConnections(number int) []http.RoundTripper {
	out := make([]http.RoundTripper, number)
	var all sync.WaitGroup
	for i := range out {
		tr := &http.Transport{MaxConnsPerHost: 1}
		n.t.Cleanup(tr.CloseIdleConnections)
		out[i] = tr
		all.Go(func() {
			first := &lateRequest{id: fmt.Sprint("kept", i), path: "/look/x", kept: tr}
			if first.send(n); first.err != nil {
				n.t.Error(first.err)
			}
		})
	}
	all.Wait()
	return out
}

func arrivals(replicas []*fakes.Replica) (all []fakes.Arrival) {
	for _, r := range replicas {
		all = append(all, r.Arrivals()...)
	}
	return all
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

// Guards against requests that begin in a planned stop since earlier ones were short enough, take longer, and are given up.
func TestRequestsThatBeginInAStopEnd(t *testing.T) {
	t.Parallel()
	const before, within = 48, 60
	for _, c := range []struct {
		name, path string
		slow       func(i int) bool // replicas that turn slow
		slowBy     int
		always     bool // they are slow from the start, not from the signal on
	}{
		{name: "all engines turn slow", path: "/draft/x", slow: func(int) bool { return true }, slowBy: 4},
		{name: "one engine is slow", path: "/draft/x", slow: func(i int) bool { return i == 0 }, slowBy: 5, always: true},
		{name: "plain service turns slow", path: "/look/x", slow: func(int) bool { return true }, slowBy: 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.graceMS = 3000
			replicas := f.startEngines(24, 40, 15*time.Millisecond)
			for i := range 4 {
				replicas = append(replicas, f.startReplica(&fakes.Replica{ID: fmt.Sprint("a", i), Service: "app", Domain: "d0", Work: 200 * time.Millisecond}))
			}
			turnSlow := func() {
				for i, r := range replicas {
					if c.slow(i) {
						r.SetFaults(fakes.Faults{SlowBy: c.slowBy})
					}
				}
			}
			if c.always {
				turnSlow()
			}
			n := f.startServingNode()
			n.warmUp(4)
			kept := n.keptConnections(within)
			var requests []*lateRequest
			for i := range within {
				after := 300*time.Millisecond + time.Duration(i)*1900*time.Millisecond/within
				requests = append(requests, &lateRequest{id: fmt.Sprint("within", i), path: c.path, after: after, kept: kept[i]})
			}
			var earlier sync.WaitGroup
			for i := range before {
				earlier.Go(func() { n.get(c.path, fmt.Sprint("earlier", i), key) })
			}
			earlier.Wait()
			if !c.always {
				turnSlow()
			}
			// Its upload keeps the process.
			requests = append(requests, &lateRequest{id: "upload", path: "/look/x", after: -100 * time.Millisecond, slow: 2300 * time.Millisecond})
			playStop(t, requests, n, n)
			for _, a := range arrivals(replicas) {
				if a.Ran && !a.Completed && strings.HasPrefix(a.ID, "within") {
					t.Errorf("%s began in the stop and was given up after %d chunks", a.ID, a.Chunks)
				}
			}
			checkAnswers(t, requests, replicas...)
		})
	}
}

// Guards against refusals of requests whose deadline is within a planned stop, and against ones that get no answer by their deadline.
func TestRequestsWithADeadlineWithinAStopBegin(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		work time.Duration
		want int
	}{
		{"replica answers in time", 20 * time.Millisecond, http.StatusOK},
		{"replica answers later", time.Minute, http.StatusGatewayTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.graceMS = 4000
			app := f.startReplica(&fakes.Replica{ID: "a0", Service: "app", Domain: "d0", Work: 20 * time.Millisecond})
			n := f.startServingNode()
			n.warmUp(1)
			const within = 12
			kept := n.keptConnections(within)
			app.SetFaults(fakes.Faults{SlowBy: int(c.work / app.Work)})
			// Its upload keeps the process, and is refused.
			upload := &lateRequest{id: "upload", path: "/look/x", after: -100 * time.Millisecond, slow: 3 * time.Second}
			var requests []*lateRequest
			for i := range within {
				requests = append(requests, &lateRequest{id: fmt.Sprint("short", i), path: "/short/x", after: time.Duration(i+1) * 150 * time.Millisecond, kept: kept[i]})
			}
			playStop(t, append(requests, upload), n, n)
			for _, r := range requests {
				if r.err != nil || r.status != c.want {
					t.Errorf("%s: %d, %v, want %d", r.id, r.status, r.err, c.want)
				}
			}
		})
	}
}

// Guards against refused callers that return to a router of which this one could know that it stops.
func TestRoutersKnowWhichOthersStop(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startEngines(1, 2000, 10*time.Millisecond)
	nodes := f.startServingNodes(2)
	known := func(stopping bool) func() bool {
		return func() bool {
			others := nodes[0].otherRouters()
			return len(others) == 1 && others[0].Near && others[0].Unused != 0 == stopping
		}
	}
	await(t, "a router that serves", known(false))
	nodes[1].startedGeneration("long") // it keeps the router
	nodes[1].signals <- syscall.SIGTERM
	await(t, "a router that stops", known(true))
}

// Guards against uploads that still arrive when a router reaches the end of its grace, and whose connections close without an answer.
func TestUploadsOpenAtTheEndOfAStopAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.graceMS = 1500
	app := f.startReplica(&fakes.Replica{ID: "a0", Service: "app", Domain: "d0"})
	f.startEngines(1, 40, time.Millisecond)
	n := f.startServingNode()
	n.warmUp(1)
	requests := []*lateRequest{
		{id: "once", path: "/book/x", after: -100 * time.Millisecond, slow: 4 * time.Second},
		{id: "again", path: "/look/x", after: -100 * time.Millisecond, slow: 4 * time.Second},
		{id: "stream", path: "/draft/x", after: -100 * time.Millisecond, slow: 4 * time.Second},
	}
	playStop(t, requests, n, n)
	for _, r := range requests {
		if r.err != nil || r.status != http.StatusServiceUnavailable {
			t.Errorf("%s: %d, %v, want 503", r.id, r.status, r.err)
		}
	}
	checkAnswers(t, requests, app)
}
