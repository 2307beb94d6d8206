package hosted

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

var allContinuations = flag.Bool("all-continuations", false, "TestNoAnswerIsJoinedToAStream plays all answers and not a sample")

const (
	brokenChunks = 24
	brokenAt     = brokenChunks / 2
)

// sampledContinuations are the answers that are played without the flag.
var sampledContinuations = []string{
	"status 201", "status 204, empty", "status 206, an event", "status 301, chunks", "status 304, empty", "status 404", "status 404, empty",
	"status 409, ends with its connection", "status 404, no receipt", "status 408", "status 429", "status 500", "status 503", "JSON, empty",
	"plain text, an event", "no type, empty", "stream, empty", "stream, head of an answer", "stream, a later event",
	"stream, events of the client",
}

// Guards against an answer that isn't the rest of a stream being joined to it, or ending it as complete.
func TestNoAnswerIsJoinedToAStream(t *testing.T) {
	answers := fakes.UnfitAnswers(brokenAt)
	names := sampledContinuations
	if *allContinuations {
		names = slices.Sorted(maps.Keys(answers))
	}
	for _, name := range names {
		for _, sound := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, %d sound", name, sound), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				engines := f.startEngines(4, brokenChunks, 2*time.Millisecond)
				n := f.startServingNode()
				breakOff(engines, engines[sound:], answers[name])
				checkStream(t, n, "q", sound > 0)
				if got := runs(engines, "q"); got > draftAttempts {
					t.Errorf("%d attempts, want %d at most", got, draftAttempts)
				}
			})
		}
	}
}

// Guards against the same over the second hop: the stream breaks off with the links of its router, and the router that goes on with it
// gets the answer.
func TestNoAnswerIsJoinedToAStreamOverTheSecondHop(t *testing.T) {
	answers := fakes.UnfitAnswers(4)
	for _, name := range []string{
		"status 400", "status 404", "status 409", "status 204, empty", "status 206", "status 301", "status 500", "status 504", "JSON, empty", "stream, empty",
		"stream, events of the client",
	} {
		for _, sound := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, %d sound", name, sound), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				engines := f.startEngines(4, 60, 20*time.Millisecond)
				nodes := f.startServingNodes(2)
				resp, first := nodes[0].startedGeneration("q")
				for _, e := range engines[sound:] {
					e.SetFaults(fakes.Faults{Continuation: answers[name]})
				}
				nodes[0].replicaLinks.Set(fault.Resetting)
				rest, err := io.ReadAll(resp.Body)
				checkPart(t, first+string(rest), generationText("q", 60), err)
				if sound > 0 && err != nil {
					t.Errorf("it didn't go on at a sound engine: %v", err)
				}
			})
		}
	}
}

// breakOff makes the streams of all engines break off, and some engines answer each request that continues a stream with answer.
func breakOff(all, unfit []*fakes.Replica, answer string) {
	for _, e := range all {
		faults := fakes.Faults{BreaksOff: true}
		if slices.Contains(unfit, e) {
			faults.Continuation = answer
		}
		e.SetFaults(faults)
	}
}

// checkStream requests a stream and checks that what arrives is a part of it, and all of it if it looks complete or has to be.
func checkStream(t *testing.T, n *testNode, id string, complete bool) {
	t.Helper()
	resp := n.requestGeneration(id)
	got, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("got status %d", resp.StatusCode)
	}
	checkPart(t, string(got), generationText(id, brokenChunks), err)
	if complete && err != nil {
		t.Errorf("it didn't go on at a sound engine: %v", err)
	}
}

// checkPart checks that got is a beginning of whole, and all of it unless err shows that it was broken off.
func checkPart(t *testing.T, got, whole string, err error) {
	t.Helper()
	switch {
	case !strings.HasPrefix(whole, got):
		t.Errorf("%v: not a beginning of the stream: %q", err, got)
	case err == nil && got != whole:
		t.Errorf("ends as complete after %d of %d events", strings.Count(got, "\n\n"), strings.Count(whole, "\n\n"))
	}
}

// runs returns the number of runs of a request.
func runs(engines []*fakes.Replica, id string) (n int) {
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			if a.ID == id && a.Ran {
				n++
			}
		}
	}
	return n
}
