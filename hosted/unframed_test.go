package hosted

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// Guards against a stream without a length being taken for complete because its crashed replica closed the
// connection cleanly between two events.
func TestUnframedStreamOfACrashedReplicaGoesOn(t *testing.T) {
	f := newFleet(t)
	const chunks = 20
	engines := f.startEngines(4, chunks, 5*time.Millisecond)
	for i, e := range engines {
		e.SetFaults(fakes.Faults{NoLength: true, CrashAfter: 5 * (i % 2)})
	}
	n := f.startServingNode()
	for i := range 6 {
		id := fmt.Sprint("q", i)
		checkWholeStream(t, n, id, chunks)
	}
}

// Guards against the same fault at a node that is cut off from all replicas and has another node run its requests.
func TestUnframedStreamOfACrashedReplicaGoesOnThroughAnotherNode(t *testing.T) {
	f := newFleet(t)
	const chunks = 20
	engines := f.startEngines(4, chunks, 5*time.Millisecond)
	nodes := f.startServingNodes(3)
	nodes[0].replicaLinks.Set(fault.Resetting)
	for begun := time.Now(); time.Since(begun) < cutNoticed; time.Sleep(100 * time.Millisecond) {
		nodes[0].get("/draft/x", fmt.Sprint("early", time.Since(begun)), key)
	}
	for i, e := range engines {
		e.SetFaults(fakes.Faults{NoLength: true, CrashAfter: 5 * (i % 2)})
	}
	for i := range 6 {
		checkWholeStream(t, nodes[0], fmt.Sprint("q", i), chunks)
	}
}

func checkWholeStream(t *testing.T, n *testNode, id string, chunks int) {
	t.Helper()
	status, body := n.get("/draft/x", id, key)
	if want := generationText(id, chunks); status != 200 || body != want {
		t.Errorf("%s: status %d, %d bytes, want %d", id, status, len(body), len(want))
	}
}

// Guards against streams without a length that end as complete in the middle when all replicas of a service crash at
// once: the router can't tell that from a cut of its own links, and the connections end cleanly.
func TestUnframedStreamsAreNotCompleteWhenAllReplicasCrash(t *testing.T) {
	f := newFleet(t)
	const chunks, streams = 60, 40
	engines := f.startEngines(6, chunks, 10*time.Millisecond)
	for _, e := range engines {
		e.SetFaults(fakes.Faults{NoLength: true})
	}
	n := f.startServingNode()
	for i := range 6 {
		checkWholeStream(t, n, fmt.Sprint("calm", i), chunks)
	}
	var ended sync.WaitGroup
	var complete atomic.Int64
	for i := range streams {
		id := fmt.Sprint("q", i)
		resp, first := n.startedGeneration(id)
		ended.Go(func() {
			defer resp.Body.Close()
			rest, err := io.ReadAll(resp.Body)
			if got := first + string(rest); err == nil && got != generationText(id, chunks) {
				t.Errorf("%s ends as complete after %d of %d bytes", id, len(got), len(generationText(id, chunks)))
			} else if err == nil {
				complete.Add(1)
			}
		})
	}
	for _, e := range engines {
		e.Crash()
	}
	time.Sleep(500 * time.Millisecond)
	for _, e := range engines {
		f.startReplica(&fakes.Replica{ID: e.ID + "-again", Service: "llm", Domain: e.Domain, Engine: true, Chunks: chunks, Listen: e.Addr()})
	}
	ended.Wait()
	t.Logf("%d of %d streams are complete", complete.Load(), streams)
}
