package hosted

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"wigeondale/fleet"
	"wigeondale/generation"
)

// versionKeys are the prefixes of what routers write to the store about software versions.
var versionKeys = []string{"wigeondale/versions/", "wigeondale/software/", "wigeondale-streams/"}

// takeUpAll takes up streams at nodes in turn, and returns how many went on at their version, how many at
// another one, and how many were refused.
func takeUpAll(t *testing.T, streams []*clientStream, nodes []*testNode) (wentOn, joined, refused int) {
	for i, g := range streams {
		next, status := nodes[i%len(nodes)].resume(g.id+"-again", g.id, len(g.pieces))
		if status != http.StatusOK {
			refused++
			continue
		}
		next.read(t, 3)
		next.leave()
		if len(versionsOf(append(g.pieces, next.pieces...))) == 1 {
			wentOn++
		} else {
			joined++
		}
	}
	return wentOn, joined, refused
}

// startAndAwait starts nodes that know a number of engines.
func (f *testFleet) startAndAwait(engines int, ids ...string) (nodes []*testNode) {
	f.t.Helper()
	for _, id := range ids {
		nodes = append(nodes, f.startNode(id))
	}
	for _, n := range nodes {
		await(f.t, "readiness", n.ready)
		await(f.t, "engines", func() bool { return len(n.dir.Service("llm")) == engines })
	}
	return nodes
}

// Guards against a router that has just started and joins streams of two software versions because nothing names
// the other version, and against routers that refuse all streams although their version is served.
func TestStreamsAreTakenUpAfterTheEndOfAllRouters(t *testing.T) {
	for _, c := range []struct {
		name   string
		keep   int // engines of the old version that stay
		refuse []string
		goesOn bool
	}{
		{name: "old_version_there", keep: 2, goesOn: true},
		{name: "old_version_gone"},
		{name: "old_version_there_and_nothing_stored", keep: 2, refuse: versionKeys},
		{name: "old_version_gone_and_nothing_stored", refuse: versionKeys},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.store.RefuseWrites(c.refuse...)
			old := f.startSoftware("v1", 4, 400)
			f.configure(key)
			nodes := f.startAndAwait(4, "n1", "n2")
			var streams []*clientStream
			for i := range 8 {
				streams = append(streams, nodes[i%2].begin(fmt.Sprint("q", i)))
			}
			f.startSoftware("v2", 4, 400)
			time.Sleep(2500 * time.Millisecond)
			for _, g := range streams {
				g.leave()
			}
			for _, n := range nodes {
				n.stop()
			}
			for _, r := range old[c.keep:] {
				f.store.Unregister(r)
				r.Crash()
			}
			nodes = f.startAndAwait(4+c.keep, "n3", "n4")
			wentOn, joined, refused := takeUpAll(t, streams, nodes)
			t.Logf("%d went on, %d were joined from two versions, %d were refused", wentOn, joined, refused)
			if joined > 0 {
				t.Errorf("%d streams are joined from two versions", joined)
			}
			if c.goesOn && wentOn < len(streams) {
				t.Errorf("%d of %d streams went on", wentOn, len(streams))
			}
		})
	}
}

// Guards against a stream that is bound to the version in a current list that names one, although its engine has started again with
// other software under its name and the list doesn't say so yet.
func TestOnlyListedVersionIsNotThatOfARestartedEngine(t *testing.T) {
	f := newFleet(t)
	engine := f.startSoftware("v1", 1, 400)[0]
	engine.StartedAt = 1000
	f.store.Register(engine, false)
	f.configure(key)
	n := f.startNode("n1")
	await(t, "readiness", n.ready)
	await(t, "the engine", func() bool { _, ok := n.dir.Backend("v1-0@1000"); return ok })
	b, _ := n.dir.Backend("v1-0@1000")
	if got, err := n.software.Confirm(t.Context(), b); err != nil || got.Version != "v1" {
		t.Errorf("before: %+v, %v", got, err)
	}
	stated := n.software.reports
	n.software.reports = unstatedStart{stated}
	if got, err := n.software.Confirm(t.Context(), b); err != nil || !got.Unknown {
		t.Errorf("a report without a start time: %+v, %v", got, err)
	}
	n.software.reports = stated
	engine.Crash()
	restarted, err := engine.RestartAs("v2", 2000)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(restarted.Crash)
	if got, err := n.software.Confirm(t.Context(), b); err == nil {
		t.Errorf("the run counts as one of %+v", got)
	}
}

// unstatedStart drops the start time from the reports of engines.
type unstatedStart struct{ generation.RunQuerier }

func (u unstatedStart) Runs(ctx context.Context, b fleet.Backend) (generation.RunReport, error) {
	r, err := u.RunQuerier.Runs(ctx, b)
	r.StartUnstated = true
	return r, err
}
