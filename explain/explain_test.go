package explain

import (
	"strings"
	"testing"
	"time"
)

const testLog = `I0302 04:17:13.054437 7336 event.go:52] "attempt-begun" node="n" event=1405 request="a" attempt=1 backend="e1"
I0302 04:17:13.1 7336 event.go:52] "relay-ended" node="n" event=1906 request="a" outcome="complete" pieces=9 first_ms=900 pause_ms=40
I0302 04:17:13.2 7336 event.go:50] "warning: attempt-lost" node="n" event=1406 request="b" cause="silence" err="no \"first\" piece"
I0302 04:17:13.3 7336 event.go:52] "relay-ended" node="n" event=1906 request="b" outcome="complete" pieces=9 first_ms=900 pause_ms=1200
I0302 04:17:13.4 7336 event.go:52] "request-waits" node="n" event=1914 request="c" ahead=3
I0302 04:17:13.5 7336 event.go:52] "relay-ended" node="n" event=1906 request="c" outcome="complete" pieces=9 first_ms=5000 pause_ms=40
I0302 04:17:13.6 7336 event.go:52] "relay-ended" node="n" event=1906 request="d" outcome="not-run" pieces=0 code="overloaded" status=503
I0302 04:17:13.7 7336 event.go:50] "warning: relay-refused" node="n" event=1905 request="e" status=503 reason="no configuration yet"
I0302 04:17:13.8 7336 event.go:52] "relay-ended" node="n" event=1906 request="f" outcome="unknown" pieces=0 code="engine_lost" status=502
I0302 04:17:13.9 7336 event.go:52] "attempt-lost" node="n" event=1406 request="g" cause="broken"
I0302 04:17:13.9 7336 event.go:52] "relay-ended" node="n" event=1906 request="g" outcome="failed" pieces=4 code="deadline"
I0302 04:17:13.9 7336 event.go:52] "relay-ended" node="n" event=1906 request="h" outcome="failed" pieces=4 code="caller_gone"
something else
I0302 04:17:13.9 7336 event.go:52] "relay-en`

// Requests must be grouped by outcome and cause, so that an operator does not have to
// read thousands of lines to see why answers are late.
func TestRequestsAreSortedByCause(t *testing.T) {
	r, err := Read(strings.NewReader(testLog), Limits{FirstChunk: 4500 * time.Millisecond, ChunkPause: 700 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{
		"a": "in time/",
		"b": "late/pause, an attempt was lost: silence",
		"c": "late/first piece, it waited for an engine",
		"d": "refused/overloaded",
		"e": "refused/no configuration yet",
		"f": "failed/engine_lost, no piece had come",
		"g": "failed/deadline after an attempt was lost: broken",
		"h": "gone/the client left, nothing was lost",
	}
	for _, c := range r.Causes {
		if got := c.Outcome + "/" + c.Reason; got != want[c.Example] || c.Count != 1 {
			t.Errorf("%s: %d times %q, want %q", c.Example, c.Count, got, want[c.Example])
		}
	}
	if len(r.Causes) != len(want) || r.Requests != len(want) || r.SkippedLines != 2 {
		t.Errorf("got %+v", r)
	}
	var out strings.Builder
	if err := r.Write(&out); err != nil || strings.Count(out.String(), "\n") != len(want)+2 {
		t.Errorf("%v: %s", err, out.String())
	}
}
