package hosted

import (
	"fmt"
	"sync"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// Guards against a brittle replica that fails, since each router finds out by a refusal of its own that it has no
// room.
func TestBrittleReplicaRefusesFew(t *testing.T) {
	const (
		most    = 2 // refusals within a second that the replica tolerates
		clients = 30
	)
	f := newFleet(t)
	var replicas []*fakes.Replica
	for i := range 2 {
		replicas = append(replicas, f.startReplica(&fakes.Replica{
			ID: fmt.Sprint("a", i), Service: "app", Domain: fmt.Sprint("d", i), Room: 6, Work: 40 * time.Millisecond,
		}))
	}
	nodes := f.startServingNodes(3)
	for _, r := range replicas {
		r.SetAsks(fakes.Asks{Brittle: fmt.Sprint(most)})
		for i, n := range nodes {
			n.tellThrough(r, fmt.Sprint("first", i))
		}
	}
	since := time.Now()
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := range 40 {
				nodes[c%len(nodes)].get("/look/x", fmt.Sprintf("q%d-%d", c, i), key)
			}
		})
	}
	wg.Wait()
	for _, r := range replicas {
		if got := mostRefusedIn(r, since, time.Second); got > most {
			t.Errorf("%s refused %d requests within a second, it stands %d", r.ID, got, most)
		}
		if len(r.Arrivals()) == 0 {
			t.Errorf("%s got no request", r.ID)
		}
	}
}

// mostRefusedIn returns the largest number of requests that a replica refused for want of room within
// any window of the given length.
func mostRefusedIn(r *fakes.Replica, since time.Time, window time.Duration) int {
	return mostArrivals(r, window, func(a fakes.Arrival) bool { return a.NoRoom && a.At.After(since) })
}
