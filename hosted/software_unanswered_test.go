package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"wigeondale/fleet"
	"wigeondale/generation"
)

// unanswered is a query for the runs of an engine that gets no answer.
type unanswered struct{}

func (unanswered) Runs(context.Context, fleet.Backend) (generation.RunReport, error) {
	return generation.RunReport{}, errors.New("no answer")
}

// Guards against a stream that is joined from two software versions: its engine has started again under its name with other software,
// which the list doesn't say yet, and doesn't answer when its router asks for its start time. The client takes the stream up at a router that knows
// one version only.
func TestStreamOfAnUnansweredEngineIsNotJoined(t *testing.T) {
	f := newFleet(t)
	f.firstStart = true // a router infers the version of the list from the beginning
	engines := f.startSoftware("v1", 2, 400)
	for _, e := range engines {
		e.StartedAt = 1000
		f.store.Register(e, false)
	}
	f.configure(key)
	nodes := f.startAndAwait(2, "n1", "n2")
	await(t, "the engine", func() bool { _, ok := nodes[0].dir.Backend("v1-0@1000"); return ok })
	await(t, "the engine", func() bool { _, ok := nodes[1].dir.Backend("v1-0@1000"); return ok })
	engines[0].Crash()
	restarted, err := engines[0].RestartAs("v2", 2000)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Crash)
	nodes[0].software.reports = unanswered{}
	taken := 0
	for i, end := 0, time.Now().Add(testTimeout); taken < 4 && time.Now().Before(end); i++ {
		g := nodes[0].begin(fmt.Sprint("q", i))
		g.leave()
		if !slices.Equal(versionsOf(g.pieces), []string{"v2"}) {
			continue // the node doesn't use the engine again yet
		}
		taken++
		next, status := nodes[1].resume(g.id+"-again", g.id, len(g.pieces))
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
		t.Error("no stream began at the engine that started again")
	}
}
