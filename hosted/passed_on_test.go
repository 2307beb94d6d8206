package hosted

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/fakes/fault"
	"wigeondale/fleet"
	"wigeondale/generation"
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

// unansweredAtFirst are queries for the runs of engines that get no answer at first.
type unansweredAtFirst struct {
	generation.RunQuerier
	answered atomic.Bool
}

func (u *unansweredAtFirst) Runs(ctx context.Context, b fleet.Backend) (generation.RunReport, error) {
	if !u.answered.Load() {
		return unanswered{}.Runs(ctx, b)
	}
	return u.RunQuerier.Runs(ctx, b)
}

// Guards against a stream that ends with the stop of the router to which it was passed on, since that router learned its software version
// after its first chunk.
func TestStreamPassedOnGoesOnAtItsVersionLearnedLater(t *testing.T) {
	f := newFleet(t)
	f.graceMS = 2000
	for _, e := range f.startEngines(4, 200, 20*time.Millisecond) {
		e.StartedAt = 1000
		f.store.Register(e, false)
	}
	f.configure(key)
	first, second := f.startNode("n1"), f.startNode("n2")
	await(t, "readiness", func() bool { return first.ready() && second.ready() })
	reports := &unansweredAtFirst{RunQuerier: second.software.reports}
	second.software.reports = reports
	for _, n := range []*testNode{first, second} {
		await(t, "the engines", func() bool { _, ok := n.dir.Backend("e0@1000"); return ok })
	}
	first.replicaLinks.Set(fault.Resetting)
	time.Sleep(cutNoticed)
	resp, text := first.startedGeneration("q1")
	reports.answered.Store(true)
	third := f.startNode("n3")
	await(t, "a third router", func() bool { return third.ready() && len(first.otherRouters()) == 2 })
	go second.stop()
	rest, err := io.ReadAll(resp.Body)
	if err != nil || text+string(rest) != generationText("q1", 200) {
		t.Errorf("%v: got %d bytes of %d", err, len(text)+len(rest), len(generationText("q1", 200)))
	}
}
