package hosted

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/peer"
	"wigeondale/peer/peertest"
)

// Guards against statements that the links don't carry: routers that are linked directly, and routers of
// which most are not, must know within 100 ms that an urgent request waits, and must not
// yield for longer than 1.1 s after its router has died.
func TestStatementsReachAllRouters(t *testing.T) {
	for _, size := range []int{5, 40} {
		t.Run(fmt.Sprint(size, " routers"), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { testStatements(t, size) })
		})
	}
}

func testStatements(t *testing.T, size int) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	network := peertest.NewNetwork()
	seeds := []string{orderNodeID(0), orderNodeID(1)}
	var pickers []*picker
	for i := range size {
		p := orderedPicker(t, 1000, 0, 2)
		pickers = append(pickers, p)
		startOrderNode(t, ctx, network, seeds, i, p.order)
	}
	time.Sleep(10 * time.Second) // links are made
	begun := time.Now()
	waiting := func() int {
		n := 0
		for _, p := range pickers[:size-1] {
			if !p.order.mayTake(withPriority("less", 2), time.Now()) {
				n++
			}
		}
		return n
	}
	for time.Since(begun) < 300*time.Millisecond {
		pickers[size-1].order.recordWaiting(withPriority("urgent", 0), time.Now())
		time.Sleep(10 * time.Millisecond)
	}
	if n := waiting(); n != size-1 {
		t.Errorf("%d of %d routers know of the request", n, size-1)
	}
	network.Isolate(orderNodeID(size-1), true)
	time.Sleep(1100 * time.Millisecond)
	if n := waiting(); n != 0 {
		t.Errorf("%d routers yield to a router that is gone", n)
	}
	stop()
	time.Sleep(20 * time.Second) // connections are closed
}

func startOrderNode(t *testing.T, ctx context.Context, network *peertest.Network, seeds []string, i int, o *waitOrder) {
	id := orderNodeID(i)
	mesh, err := peer.New(peer.Config{
		ID: id, Addr: id, FailureDomain: fmt.Sprint("d", i%3), Dial: network.Dial(id),
		Heartbeat: peerHeartbeat, DialTimeout: peerDialTimeout, MaxBackoff: peerMaxBackoff,
		Topology: peer.Topology{FullMeshLimit: 24, SameDomainLinks: 3, OtherDomainLinks: 3},
	}, make([]byte, peerKeyBytes), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	mesh.SetDiscoveredSeeds(seeds)
	o.join(mesh)
	srv := &http.Server{Handler: mesh, ReadHeaderTimeout: time.Second}
	go srv.Serve(network.Listen(id))
	go mesh.Run(ctx)
	go o.run(ctx, mesh)
	context.AfterFunc(ctx, func() { srv.Close() })
}

func orderNodeID(i int) string { return fmt.Sprintf("r%03d", i) }
