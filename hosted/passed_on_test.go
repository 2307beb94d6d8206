package hosted

import (
	"io"
	"testing"
	"time"

	"wigeondale/fakes/fault"
)

// Guards against the end of an answer that another router has passed on to a router that stops: a router lets the
// requests of its own clients finish, and has to let these finish too.
func TestRouterThatStopsFinishesWhatOthersPassedOn(t *testing.T) {
	f := newFleet(t)
	f.startEngines(4, 60, 20*time.Millisecond)
	nodes := f.startServingNodes(2)
	nodes[0].replicaLinks.Set(fault.Resetting)
	time.Sleep(cutNoticed)
	resp, first := nodes[0].startedGeneration("q1")
	go nodes[1].stop()
	rest, err := io.ReadAll(resp.Body)
	if err != nil || first+string(rest) != generationText("q1", 60) {
		t.Errorf("%v: got %d bytes of %d", err, len(first)+len(rest), len(generationText("q1", 60)))
	}
}
