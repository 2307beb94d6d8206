package hosted

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	fakes "wigeondale/fakes/hosted"
)

// ofVersion starts replicas of the plain service, or engines, of a version.
func (f *testFleet) ofVersion(service, version string, n int) []*fakes.Replica {
	var out []*fakes.Replica
	for i := range n {
		out = append(out, f.replica(&fakes.Replica{
			ID: fmt.Sprintf("%s-%s-%d", service, version, i), Service: service, Domain: fmt.Sprintf("d%d", i%2),
			Version: version, Engine: service == "llm", Chunks: 400, ChunkGap: 10 * time.Millisecond,
		}))
	}
	return out
}

// steady sends look-ups until stop is called, which returns how many there were and how
// many of them were not answered well.
func steady(nodes []*testNode, path string) (stop func() (sent, failed int)) {
	var sent, bad atomic.Int64
	var group sync.WaitGroup
	done := make(chan struct{})
	for i, n := range nodes {
		group.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				sent.Add(1)
				if status, _ := n.get(path, fmt.Sprintf("s%d-%d", i, k), key); status != 200 {
					bad.Add(1)
				}
			}
		})
	}
	return func() (int, int) {
		close(done)
		group.Wait()
		return int(sent.Load()), int(bad.Load())
	}
}

func awaitState(t *testing.T, f *testFleet, service, want string) {
	t.Helper()
	await(t, service+" "+want, func() bool { state, _ := f.store.RolloutState(service); return state == want })
}

const rolloutTime = 6 * time.Second

// Symptom: nobody tells the operator how a roll-out went, and the new replicas get half of
// all requests from the first. Sequence: an order, then replicas of the version. Cause: the
// order is not known.
func TestGoodVersionCompletes(t *testing.T) {
	f := newFleet(t)
	f.ofVersion("app", "v1", 2)
	nodes := []*testNode{f.serving(), f.node("n2")}
	await(t, "readiness", nodes[1].ready)
	f.store.OrderRollout("app", "v2", rolloutTime)
	fresh := f.ofVersion("app", "v2", 2)
	stop := steady(nodes, "/look/x")
	awaitState(t, f, "app", "in_progress")
	time.Sleep(time.Second)
	if n := fakes.CountRuns(fresh); n > 30 {
		t.Errorf("%d requests reached the new version in the first second", n)
	}
	awaitState(t, f, "app", "completed")
	if _, target := f.store.RolloutState("app"); target != "v2" {
		t.Errorf("the target is %q", target)
	}
	if sent, failed := stop(); failed > 0 || fakes.CountRuns(fresh) == 0 {
		t.Errorf("%d of %d requests failed, %d ran at the new version", failed, sent, fakes.CountRuns(fresh))
	}
}

// Symptom: callers get a bad version's failures for as long as it is there. Sequence: the
// new version fails each request. Cause: its answers are not judged, or each node judges by
// its own.
func TestBadVersionIsRolledBack(t *testing.T) {
	f := newFleet(t)
	f.ofVersion("app", "v1", 2)
	nodes := []*testNode{f.serving(), f.node("n2"), f.node("n3")}
	for _, n := range nodes {
		await(t, "readiness", n.ready)
	}
	f.store.OrderRollout("app", "v2", 20*time.Second)
	fresh := f.ofVersion("app", "v2", 2)
	for _, r := range fresh {
		r.SetFaults(fakes.Faults{FailStatus: 500})
	}
	stop := steady(nodes, "/look/x")
	awaitState(t, f, "app", "rolled_back")
	time.Sleep(time.Second) // the last node has heard
	before := fakes.CountRuns(fresh)
	time.Sleep(500 * time.Millisecond)
	if after := fakes.CountRuns(fresh); after != before {
		t.Errorf("%d requests reached the new version after it was taken back", after-before)
	}
	sent, failed := stop()
	if failed > 0 {
		t.Errorf("%d of %d requests failed: what failed at the new version goes to the old one", failed, sent)
	}
	if most := sent/10 + 50; before > most {
		t.Errorf("%d of %d requests reached the new version, %d may", before, sent, most)
	}
}

// Symptom: drafts end in the middle when a roll-out completes. Sequence: drafts run at old
// replicas, which stop when the word is written. Cause: they were not moved before.
func TestRunsMoveBeforeTheOldVersionStops(t *testing.T) {
	f := newFleet(t)
	old := f.ofVersion("llm", "v1", 2)
	f.app("a", "d0")
	n := f.serving()
	f.store.OrderRollout("llm", "v2", rolloutTime)
	f.ofVersion("llm", "v2", 2)
	awaitState(t, f, "llm", "in_progress")
	var group sync.WaitGroup
	for i := range 6 {
		id := fmt.Sprint("q", i)
		group.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			resp, err := n.send(t.Context(), "/draft/x", id, key)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			if got := string(body); err != nil || got != draft(id, 400) {
				t.Errorf("%s: %d pieces of 400, %v", id, strings.Count(got, "id:"), err)
			}
		})
	}
	awaitState(t, f, "llm", "completed")
	for _, r := range old {
		if open := r.OpenRequests(); open > 0 {
			t.Errorf("%d requests ran at %s when it stopped", open, r.ID)
		}
		r.Crash()
		f.store.Unregister(r)
	}
	group.Wait()
}

// Symptom: a roll-out stops half way. Sequence: the order is withdrawn during the trial.
// Cause: only its progress is looked after.
func TestWithdrawnRolloutIsRolledBack(t *testing.T) {
	f := newFleet(t)
	f.ofVersion("app", "v1", 2)
	n := f.serving()
	f.store.OrderRollout("app", "v2", time.Minute)
	fresh := f.ofVersion("app", "v2", 2)
	awaitState(t, f, "app", "in_progress")
	f.store.WithdrawRollout("app")
	awaitState(t, f, "app", "rolled_back")
	before := fakes.CountRuns(fresh)
	for i := range 50 {
		if status, _ := n.get("/look/x", fmt.Sprint("w", i), key); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if after := fakes.CountRuns(fresh); after != before {
		t.Errorf("%d requests reached a version whose order was withdrawn", after-before)
	}
}

// Guards against: a request under which replicas crash has the version on trial rolled back.
// Sequence: a replica of the new version ends in mid-answer; few others use it, so that the
// failure detector does not know yet.
func TestCrashIsNoBadAnswerOfAVersion(t *testing.T) {
	f := newFleet(t)
	f.ofVersion("app", "v1", 2)
	n := f.serving()
	f.store.OrderRollout("app", "v2", rolloutTime)
	fresh := f.ofVersion("app", "v2", 2)
	awaitState(t, f, "app", "in_progress")
	await(t, "the replicas", func() bool { return len(n.dir.Service("app")) == 4 })
	fresh[0].Crash()
	for i, want := range []uint64{0, 1} { // crashed, and cut by one that works
		b, ok := n.dir.Backend(fresh[i].ID)
		if !ok {
			t.Fatal("the replica is not known")
		}
		before := n.rollouts.judged.Get()
		run := &observedRun{b: b, route: "look", one: n.rollouts.of("app")}
		run.cut(n.rollouts)
		if got := n.rollouts.judged.Get() - before; got != want {
			t.Errorf("replica %d: %d answers were judged, want %d", i, got, want)
		}
	}
}
