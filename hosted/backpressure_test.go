package hosted

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// limitWindow, limitFactor and limitSlack bound what reaches a replica that states a limit: in
// any limitWindow at most limitFactor times what the limit allows, plus limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// mostIn returns the largest number of arrivals after since within any window of the given length.
func mostIn(r *fakes.Replica, since time.Time, window time.Duration) int {
	return mostArrivals(r, window, func(a fakes.Arrival) bool { return a.At.After(since) })
}

// mostArrivals returns the largest number of those arrivals that count within any window of the
// given length.
func mostArrivals(r *fakes.Replica, window time.Duration, counts func(fakes.Arrival) bool) int {
	var times []time.Time
	for _, a := range r.Arrivals() {
		if counts(a) {
			times = append(times, a.At)
		}
	}
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// startServingNodes starts n nodes and waits until each of them has links to all others.
func (f *testFleet) startServingNodes(n int) []*testNode {
	f.t.Helper()
	f.configure(key)
	var nodes []*testNode
	for i := range n {
		nodes = append(nodes, f.startNode(fmt.Sprint("n", i+1)))
	}
	for _, node := range nodes {
		await(f.t, "readiness", node.ready)
		await(f.t, "links", func() bool { return len(node.peers.liveNodes()) == n })
	}
	return nodes
}

// Guards against a limit that each router applies for itself, or not at all: a replica in need then
// gets many times what it takes.
func TestLimitOfAReplicaHoldsForAllRouters(t *testing.T) {
	const limit = 0.5
	f := newFleet(t)
	limited, free := f.startApp("a0", "d0"), f.startApp("a1", "d1")
	nodes := f.startServingNodes(3)
	limited.SetAsks(fakes.Asks{Limit: fmt.Sprint(limit)})
	for i, n := range nodes {
		n.tellThrough(limited, fmt.Sprint("first", i))
	}
	since := time.Now()
	for i := range 90 {
		if status, _ := nodes[i%len(nodes)].get("/look/x", fmt.Sprint("q", i), key); status != 200 {
			t.Fatalf("request %d: status %d, although another replica takes requests", i, status)
		}
	}
	if got, most := mostIn(limited, since, limitWindow), int(limitFactor*limit*limitWindow.Seconds()+limitSlack); got > most {
		t.Errorf("%d requests in %v reached the replica with a limit of %v a second, at most %d may", got, limitWindow, limit, most)
	}
	if len(free.Arrivals()) == 0 {
		t.Error("the replica without a limit got no request")
	}
}

// tellThrough sends requests through a node until one has reached the replica, so that the node has
// received what the replica asks.
func (n *testNode) tellThrough(r *fakes.Replica, id string) {
	n.t.Helper()
	await(n.t, "an answer of the replica", func() bool {
		before := len(r.Arrivals())
		n.get("/look/x", id, key)
		return len(r.Arrivals()) > before
	})
}

// Guards against requests to a replica whose answers say that it leaves, while the store that would say so too is
// away or still has its older state, and after later answers that don't say it.
func TestLeavingSaidInAnAnswerBinds(t *testing.T) {
	f := newFleet(t)
	leaving, staying := f.startApp("a0", "d0"), f.startApp("a1", "d1")
	nodes := f.startServingNodes(2)
	leaving.SetAsks(fakes.Asks{Leaving: true})
	f.store.SetUnresponsive(true)
	nodes[0].tellThrough(leaving, "first")
	leaving.SetAsks(fakes.Asks{})
	before := len(leaving.Arrivals())
	serve := func(n *testNode, name string) {
		for i := range 20 {
			if status, _ := n.get("/look/x", fmt.Sprint(name, i), key); status != 200 {
				t.Fatalf("request %s%d: status %d, although another replica stays", name, i, status)
			}
		}
	}
	serve(nodes[0], "away")
	if got := len(leaving.Arrivals()) - before; got != 0 {
		t.Errorf("%d requests reached the replica after it had said that it leaves", got)
	}
	f.store.SetUnresponsive(false)
	f.store.Register(leaving, false)
	f.store.Register(staying, false)
	await(t, "the news of the other node", func() bool { return nodes[1].dir.Leaving("a0") })
	serve(nodes[0], "back")
	serve(nodes[1], "other")
	if got := len(leaving.Arrivals()) - before; got != 0 {
		t.Errorf("%d requests reached the replica in all", got)
	}
}

// maxDuringRest is how many requests of one router may reach a replica during a rest that it has asked that router for.
const maxDuringRest = 2

// Guards against requests to a replica that has refused one and asked for rest: it refuses each of them, and each
// costs a retry.
func TestReplicaThatAsksForRestGetsIt(t *testing.T) {
	f := newFleet(t)
	resting := f.startApp("a0", "d0")
	f.startApp("a1", "d1")
	n := f.startServingNode()
	await(t, "both replicas", func() bool { return len(n.dir.IDs()) == 2 })
	resting.SetAsks(fakes.Asks{Rest: "30"})
	n.tellThrough(resting, "first")
	before := len(resting.Arrivals())
	for i := range 40 {
		if status, _ := n.get("/look/x", fmt.Sprint("q", i), key); status != 200 {
			t.Fatalf("request %d: status %d, although another replica takes requests", i, status)
		}
	}
	if got := len(resting.Arrivals()) - before; got > maxDuringRest {
		t.Errorf("%d requests reached the replica during its rest, at most %d may", got, maxDuringRest)
	}
}

// Guards against clients that wait for replicas which all rest, and against a time of return before the first
// rest ends.
func TestAllReplicasRest(t *testing.T) {
	const rest = 3 * time.Second
	f := newFleet(t)
	replicas := []*fakes.Replica{f.startApp("a0", "d0"), f.startApp("a1", "d1")}
	n := f.startServingNode()
	await(t, "both replicas", func() bool { return len(n.dir.IDs()) == 2 })
	for _, r := range replicas {
		r.SetAsks(fakes.Asks{Rest: fmt.Sprint(rest.Seconds())})
	}
	n.get("/look/x", "first", key) // is refused by both
	var restsSince time.Time       // when the first of them asked for its rest, at the earliest
	for _, r := range replicas {
		if at := r.Arrivals()[0].At; restsSince.IsZero() || at.Before(restsSince) {
			restsSince = at
		}
	}
	resp, err := n.send(t.Context(), "/look/x", "q", key)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || resp.StatusCode != 503 {
		t.Fatalf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if left := rest - time.Since(restsSince); time.Duration(after*float64(time.Second)) < left {
		t.Errorf("told to come back after %v s, the rest ends after %v", after, left)
	}
	for _, r := range replicas {
		if got := len(r.Arrivals()); got != 1 {
			t.Errorf("%d requests reached %s", got, r.ID)
		}
	}
}
