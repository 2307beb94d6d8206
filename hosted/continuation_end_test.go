package hosted

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// Guards against a client that has all chunks of a stream whose end is lost, and never gets that end, or late, when it takes the stream up.
func TestStreamThatBreaksOffBehindItsLastEventGetsItsEnd(t *testing.T) {
	for _, servers := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(servers, " engines"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			engines := f.startEngines(servers, brokenChunks, 2*time.Millisecond)
			n := f.startServingNode()
			for _, e := range engines {
				e.SetFaults(fakes.Faults{NoEnd: true})
			}
			begun := time.Now()
			resp := n.requestGeneration("q")
			got, err := io.ReadAll(resp.Body)
			if string(got) != generationText("q", brokenChunks) {
				t.Errorf("%v: %q", err, got)
			}
			t.Logf("the stream: %v after %v, %d runs", err, time.Since(begun), runs(engines, "q"))
			begun = time.Now()
			rest, status := n.resume("q2", "q", brokenChunks)
			got, err = io.ReadAll(rest.body)
			if status != http.StatusOK || len(got) > 0 || err != nil || time.Since(begun) > time.Second {
				t.Errorf("taken up: status %d, %q, %v after %v", status, got, err, time.Since(begun))
			}
			t.Logf("taken up: %v, %d runs", time.Since(begun), runs(engines, "q2"))
		})
	}
}
