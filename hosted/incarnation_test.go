package hosted

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	fakes "wigeondale/fakes/hosted"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/route"
)

// entryStartedAt returns a store entry of the incarnation of name that started at startedAt.
func entryStartedAt(name string, startedAt int64, revision fleet.Revision, state string) infra.Value {
	return infra.Value{
		Key: "servers/" + name, CreateRev: 5, ModRev: revision,
		Data: fmt.Appendf(nil, `{"service": "llm", "address": "10.0.0.1:80", "zone": "d0", "version": "v1", "slots": 8, "state": %q,
			"cold_left_ms": 0, "sequence": 1, "born": %d}`, state, startedAt),
	}
}

// apply puts a single item of the store into the view, as a batch of its own.
func (v *view) apply(item infra.Value) {
	v.Put(item)
	v.BatchDone()
}

func idOf(name string, at int64) string { return fleet.Incarnation{Name: name, StartedAt: at}.ID() }

// When a replica restarts under its name, state of the earlier incarnation (a mark of leaving,
// an open stream, a suspicion) must not be applied to the later incarnation. Otherwise a
// healthy replica gets no work, or the node waits for a run that is lost.
func TestLaterLifetimeStartsAnew(t *testing.T) {
	v := newTestView()
	v.apply(entryStartedAt("i", 1000, 5, "ready"))
	ctx, cancel := context.WithCancelCause(t.Context())
	s := v.mon.Watch(idOf("i", 1000), health.Work{}, cancel)
	defer s.Close()
	v.apply(entryStartedAt("i", 1000, 6, "draining"))
	if !v.dir.Leaving(idOf("i", 1000)) {
		t.Fatal("a leaving replica gets work")
	}
	v.apply(entryStartedAt("i", 2000, 7, "ready"))
	if v.dir.Leaving(idOf("i", 2000)) {
		t.Error("the later incarnation inherits the mark of leaving")
	}
	if !v.dir.Leaving(idOf("i", 1000)) {
		t.Error("the earlier incarnation still gets work")
	}
	if context.Cause(ctx) != health.ErrRestarted {
		t.Errorf("the run of the earlier incarnation is waited for: %v", context.Cause(ctx))
	}
}

// No requests may go to an incarnation that has ended, so reports must not be ordered by start
// time. That order is wrong if the machine's clock was set back: then the later start has the
// earlier start time. The order of arrival alone is wrong if a heartbeat from before the crash
// is written after the first heartbeat of the next start.
func TestNewerWordWins(t *testing.T) {
	v := newTestView()
	v.Put(entryStartedAt("i", 2000, 5, "ready"))
	v.Put(entryStartedAt("i", 1000, 6, "ready")) // the clock was set back
	v.BatchDone()
	if v.dir.Leaving(idOf("i", 1000)) || !v.dir.Leaving(idOf("i", 2000)) {
		t.Error("a later start with an earlier start time is ignored")
	}
	v.Put(entryStartedAt("i", 2000, 7, "ready")) // a heartbeat that was in flight
	v.BatchDone()
	if v.dir.Leaving(idOf("i", 1000)) || !v.dir.Leaving(idOf("i", 2000)) {
		t.Error("a replaced incarnation is current again")
	}
}

// A replica that restarts while the store is unavailable must get work. It is found at its own
// address under its own name with a later start time; the fault is to take the known name for
// a known replica. Older entries of the store must not undo the adoption before the store
// lists the later incarnation.
func TestRebornReplicaIsAdopted(t *testing.T) {
	v := newTestView()
	v.apply(entryStartedAt("i", 1000, 5, "ready"))
	v.adopt([]adoptedReplica{{Name: "i", Addr: "10.0.0.1:80", StartedAt: 2000}})
	if v.dir.Leaving(idOf("i", 2000)) || !v.dir.Leaving(idOf("i", 1000)) {
		t.Fatal("the later incarnation was not adopted")
	}
	v.Put(entryStartedAt("i", 1000, 6, "ready"))
	v.adopt([]adoptedReplica{{Name: "i", Addr: "10.0.0.1:80", StartedAt: 1000}})
	v.BatchDone()
	if v.dir.Leaving(idOf("i", 2000)) || !v.dir.Leaving(idOf("i", 1000)) {
		t.Error("an older report undid the adoption")
	}
	v.apply(entryStartedAt("i", 2000, 7, "ready"))
	v.dropAdopted()
	if v.dir.Leaving(idOf("i", 2000)) {
		t.Error("removed although the store lists it")
	}
}

// A generation must not pause for seconds, or end, after its engine restarted under its name.
// The engine's connections are blocked, the engine crashes, restarts and registers, and the
// generation's own connection gives no indication of the restart.
func TestDraftGoesOnWhenItsEngineIsReborn(t *testing.T) {
	f := newFleet(t)
	var engines []*fakes.Replica
	for i := range 4 {
		engines = append(engines, f.startReplica(&fakes.Replica{
			ID: fmt.Sprintf("e%d", i), StartedAt: 1000, Service: "llm", Domain: fmt.Sprintf("d%d", i%2), Engine: true,
			Chunks: 40, ChunkGap: 10 * time.Millisecond, Listen: freeAddr(t),
		}))
	}
	n := f.startServingNode()
	resp, first := n.startedGeneration("q1")
	lost := running(engines, "q1")
	lost.Freeze()
	defer lost.Thaw()
	later := lost.Entry("ready")
	later["born"] = 2000
	f.store.PutJSON("servers/"+lost.ID, later)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || first+string(rest) != generationText("q1", 40) {
		t.Fatalf("%v: got %q", err, first+string(rest))
	}
}

// invalidEntries returns invalid entries, made from a valid entry: none of the invalid entries
// names a usable replica.
func invalidEntries() map[string]string {
	valid := string(entryStartedAt("x", 1000, 1, "ready").Data)
	with := func(old, new string) string { return strings.Replace(valid, old, new, 1) }
	return map[string]string{
		"nothing":           "",
		"no JSON":           "\xff\xfe{",
		"a list":            "[1, 2]",
		"null":              "null",
		"no service":        with(`"service"`, `"servant"`),
		"name in capitals":  with(`"service"`, `"Service"`),
		"service a number":  with(`"llm"`, `7`),
		"unnamed service":   with(`"llm"`, `"other"`),
		"unknown state":     with(`"ready"`, `"warming"`),
		"state null":        with(`"ready"`, `null`),
		"no slots":          with(`"slots": 8, `, ``),
		"slots as text":     with(`"slots": 8`, `"slots": "8"`),
		"born a fraction":   with(`1000`, `1000.5`),
		"born as text":      with(`1000`, `"1000"`),
		"no port":           with(`10.0.0.1:80`, `10.0.0.1`),
		"a host name":       with(`10.0.0.1:80`, `somewhere:80`),
		"no zone":           with(`"d0"`, `""`),
		"sequence an array": with(`"sequence": 1`, `"sequence": [1]`),
	}
}

// Another program writes entries next to the entries of the replicas, with the addresses of
// the replicas. A partly understood entry must not be used, and must not take over the
// address: otherwise requests go to an address without a replica, or a healthy replica gets no
// requests.
func TestForeignEntriesNameNoReplica(t *testing.T) {
	for name, data := range invalidEntries() {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			v.Put(entryStartedAt("i", 1000, 5, "ready"))
			v.apply(infra.Value{Key: "servers/x", CreateRev: 9, ModRev: 9, Data: []byte(data)})
			if v.dir.Leaving(idOf("i", 1000)) {
				t.Error("the healthy replica gets no work")
			}
			if got := v.dir.IDs(); len(got) != 1 {
				t.Errorf("known are %v", got)
			}
			v.Removed("servers/x")
		})
	}
}

// Another program overwrites the entry of a replica with an invalid entry, and some seconds
// later the replica's own heartbeat restores the valid entry. While the entry is invalid, the
// replica must get no new work, since the entry isn't its own. Once the entry is valid again,
// the replica must get new work.
func TestBrokenRewriteWithholdsWork(t *testing.T) {
	broken := invalidEntries()
	broken["no start time"] = string(replicaEntry("i", "10.0.0.1:80", 6).Data)
	for name, data := range broken {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			v.apply(entryStartedAt("i", 1000, 5, "ready"))
			v.apply(infra.Value{Key: "servers/i", CreateRev: 5, ModRev: 6, Data: []byte(data)})
			if !v.dir.Leaving(idOf("i", 1000)) {
				t.Error("it gets new work")
			}
			v.apply(entryStartedAt("i", 1000, 7, "ready"))
			if v.dir.Leaving(idOf("i", 1000)) {
				t.Error("it gets no work although its entry is valid again")
			}
		})
	}
}

// Replicas of a new service must get work although they register before the configuration that
// names their service is in force. The fault is that their entries are not looked at again.
func TestServiceIsNamedLater(t *testing.T) {
	v := newTestView()
	v.apply(infra.Value{Key: "servers/x", CreateRev: 9, ModRev: 9, Data: []byte(invalidEntries()["unnamed service"])})
	v.table.Install(route.NewTable(&route.Config{Version: 2, Services: []route.Service{{Name: "llm"}, {Name: "other"}}}))
	v.retryUnknownServices()
	v.BatchDone()
	if len(v.dir.IDs()) != 1 {
		t.Error("the replica is not known")
	}
}

// Whatever invalid entries exist alongside valid entries, and in whatever order, exactly the
// replicas with valid entries must be known.
func TestSoundEntriesHoldBesideForeignOnes(t *testing.T) {
	bad := invalidEntries()
	names := slices.Sorted(maps.Keys(bad))
	rapid.Check(t, func(rt *rapid.T) {
		v := newTestView()
		want := map[string]bool{}
		for i := range rapid.IntRange(1, 12).Draw(rt, "entries") {
			key := fmt.Sprintf("i-%d", i)
			item := replicaEntry(key, fmt.Sprintf("10.0.0.%d:80", i+1), fleet.Revision(i+1))
			if rapid.Bool().Draw(rt, "foreign") {
				item.Data = []byte(bad[rapid.SampledFrom(names).Draw(rt, "which")])
			} else {
				want[key] = true
			}
			v.Put(item)
		}
		v.BatchDone()
		for _, id := range v.dir.IDs() {
			if !want[id] {
				rt.Errorf("%s is known", id)
			}
		}
		for id := range want {
			if v.dir.Leaving(id) {
				rt.Errorf("%s gets no work", id)
			}
		}
	})
}
