package hosted

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that is killed before it has given its final answers, and against one that gives them long before.
func TestExitLeavesTimeForFinalAnswers(t *testing.T) {
	for _, c := range []struct{ grace, exit, answers time.Duration }{
		{8 * time.Second, 7700 * time.Millisecond, 7450 * time.Millisecond},
		{7500 * time.Millisecond, 7200 * time.Millisecond, 6950 * time.Millisecond},
		{600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond},
		{time.Millisecond, 500 * time.Microsecond, 250 * time.Microsecond},
	} {
		if exit, answers := exitTimes(c.grace); exit != c.exit || answers != c.answers {
			t.Errorf("%v: exit after %v, answers after %v", c.grace, exit, answers)
		}
	}
}

// Guards against requests that begin in a stop of unknown length, and against open ones that such a stop ends.
func TestStopOfUnknownLengthEndsNoOpenRequest(t *testing.T) {
	f := newFleet(t)
	f.graceMS = -1
	engines := f.startEngines(2, 60, 20*time.Millisecond)
	n := f.startServingNode()
	resp, first := n.startedGeneration("q1")
	n.signals <- syscall.SIGTERM
	await(t, "the stop", n.leaving.Load)
	if status, _ := n.get("/draft/x", "q2", key); status != http.StatusServiceUnavailable {
		t.Errorf("a request after the signal: status %d", status)
	}
	rest, err := io.ReadAll(resp.Body)
	if err != nil || first+string(rest) != generationText("q1", 60) {
		t.Errorf("the open stream has %d bytes, %v", len(first)+len(rest), err)
	}
	for _, a := range arrivals(engines) {
		if a.ID == "q2" {
			t.Error("a refused request ran")
		}
	}
	<-n.done
}
