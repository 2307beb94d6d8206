package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// Guards against a stream that is joined from two software versions because its client states Last-Event-Id alone: what is recorded of
// another stream that was taken up like this, while there was one version, is no evidence.
func TestTakeUpThatNamesNoStreamIsNotJoined(t *testing.T) {
	f := newFleet(t)
	f.firstStart = true // a router infers the version of the list from the beginning
	f.startSoftware("v1", 2, 400)
	f.configure(key)
	nodes := f.startAndAwait(2, "n1", "n2")
	early := nodes[0].begin("early")
	early.leave()
	await(t, "a take-up at the only version", func() bool {
		g, status := nodes[1].resume("early-again", "", len(early.pieces))
		g.leave()
		return status == http.StatusOK
	})
	f.startSoftware("v2", 2, 400)
	taken := 0
	for i, end := 0, time.Now().Add(testTimeout); taken < 4 && time.Now().Before(end); i++ {
		g := nodes[0].begin(fmt.Sprint("q", i))
		g.leave()
		if !slices.Equal(versionsOf(g.pieces), []string{"v2"}) {
			continue // no stream begins at a new version at first
		}
		taken++
		next, status := nodes[1].resume(g.id+"-again", "", len(g.pieces))
		if status != http.StatusOK {
			continue
		}
		next.read(t, 3)
		next.leave()
		if got := versionsOf(append(g.pieces, next.pieces...)); len(got) > 1 {
			t.Errorf("%s is joined from the versions %v", g.id, got)
		}
	}
	if taken == 0 {
		t.Error("no stream began at the new version")
	}
}
