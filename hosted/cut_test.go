package hosted

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// cutNoticed is how long after its begin a cut may go unnoticed by a router: the stable window of
// the platform.
const cutNoticed = 3 * time.Second

var cutModes = map[string]fault.CutMode{
	"hanging": fault.Hanging, "resetting": fault.Resetting, "refusing new connections": fault.RefusingOnly,
}

// Guards against refusals at a router that reaches no replica, while other routers reach them.
func TestRouterCutFromReplicasServes(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.startEngines(4, 3, 10*time.Millisecond)
			f.startApp("a0", "d0")
			f.startApp("a1", "d1")
			nodes := f.startServingNodes(3)
			cut := nodes[0]
			for i := range 6 {
				cut.get("/look/x", fmt.Sprint("before", i), key)
			}
			cut.replicaLinks.Set(mode)
			begun := time.Now()
			for i := 0; time.Since(begun) < cutNoticed; i++ {
				cut.get("/look/x", fmt.Sprint("early", i), key)
				time.Sleep(100 * time.Millisecond)
			}
			for i := range 10 {
				for path, want := range map[string]string{"/look/x": "answer to ", "/book/x": "answer to ", "/draft/x": ""} {
					id := fmt.Sprint("q", path[1:5], i)
					want += id
					if path == "/draft/x" {
						want = generationText(id, 3)
					}
					if status, body := cut.get(path, id, key); status != 200 || body != want {
						t.Errorf("%s %s: status %d, %q", path, id, status, body)
					}
				}
			}
		})
	}
}

// Guards against the loss of answers that run when the links of their router are cut.
func TestStreamsOutliveACutOfTheirRouter(t *testing.T) {
	for name, mode := range map[string]fault.CutMode{"hanging": fault.Hanging, "resetting": fault.Resetting} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.startEngines(4, 60, 20*time.Millisecond)
			nodes := f.startServingNodes(3)
			resp, first := nodes[0].startedGeneration("q1")
			nodes[0].replicaLinks.Set(mode)
			rest, err := io.ReadAll(resp.Body)
			if err != nil || first+string(rest) != generationText("q1", 60) {
				t.Errorf("%v: got %d bytes of %d", err, len(first)+len(rest), len(generationText("q1", 60)))
			}
		})
	}
}

// Guards against a request that runs after its caller has the final answer: its router is cut off, gives it up, and the
// kernel delivers it when the link is back.
func TestRequestGivenUpInACutDoesNotRunAfterIt(t *testing.T) {
	f := newFleet(t)
	f.startEngines(1, 3, time.Millisecond)
	apps := []*fakes.Replica{f.startApp("a0", "d0"), f.startApp("a1", "d1")}
	n := f.startServingNode()
	for i := range 8 {
		n.get("/book/x", fmt.Sprint("before", i), key) // opens connections to both
	}
	n.replicaLinks.Set(fault.Hanging)
	for i := range 4 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if resp, err := n.send(ctx, "/book/x", fmt.Sprint("cut", i), key); err == nil {
			resp.Body.Close()
		}
		cancel()
	}
	await(t, "the end of the requests", func() bool { return n.meter.GetOrCreateGauge("wigeon_generations_open", nil).Get() == 0 })
	n.replicaLinks.Set(fault.Connected)
	await(t, "a request after the cut", func() bool {
		status, _ := n.get("/book/x", "after", key)
		return status == 200
	})
	time.Sleep(200 * time.Millisecond) // what the links held is delivered by then
	for _, a := range apps {
		for _, got := range a.Arrivals() {
			if strings.HasPrefix(got.ID, "cut") {
				t.Errorf("%s got request %s, which was given up", a.ID, got.ID)
			}
		}
	}
}

// Guards against a replica that goes on with a run that was given up, since the end of its connection is lost in a cut: a
// reset is sent only once.
func TestRunGivenUpInACutEndsAfterIt(t *testing.T) {
	f := newFleet(t)
	engine := f.startEngines(1, 3, testTimeout)[0]
	n := f.startServingNode()
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		if resp, err := n.send(ctx, "/draft/x", "q", key); err == nil {
			resp.Body.Close()
		}
	}()
	await(t, "the run", func() bool { return engine.OpenRequests() == 1 })
	n.replicaLinks.Set(fault.Hanging)
	leave()
	await(t, "the end of the request", func() bool { return n.meter.GetOrCreateGauge("wigeon_generations_open", nil).Get() == 0 })
	n.replicaLinks.Set(fault.Connected)
	for end := time.Now().Add(testTimeout / 2); engine.OpenRequests() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the replica works on")
		}
	}
}
