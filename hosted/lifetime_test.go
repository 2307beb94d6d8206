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

// bornEntry is an entry of the lifetime of name that began at born.
func bornEntry(name string, born, revision int64, state string) infra.Value {
	return infra.Value{
		Key: "servers/" + name, CreateRev: 5, ModRev: revision,
		Data: fmt.Appendf(nil, `{"service": "llm", "address": "10.0.0.1:80", "zone": "d0", "version": "v1", "slots": 8, "state": %q,
			"cold_left_ms": 0, "sequence": 1, "born": %d}`, state, born),
	}
}

// learn takes in one item by itself.
func (v *view) learn(item infra.Value) {
	v.Put(item)
	v.BatchDone()
}

func lifeID(name string, born int64) string {
	return fleet.Incarnation{Name: name, StartedAt: born}.ID()
}

// Symptom: a sound replica gets no work, or a run is waited for that is gone. Sequence:
// a replica starts again under its name. Cause: what was known of the earlier start
// (here a mark of leaving, an open stream and a suspicion) was taken to be of the later.
func TestLaterLifetimeStartsAnew(t *testing.T) {
	v := newTestView()
	v.learn(bornEntry("i", 1000, 5, "ready"))
	ctx, cancel := context.WithCancelCause(t.Context())
	s := v.mon.Watch(lifeID("i", 1000), health.Work{}, cancel)
	defer s.Close()
	v.learn(bornEntry("i", 1000, 6, "draining"))
	if !v.dir.Leaving(lifeID("i", 1000)) {
		t.Fatal("a leaving replica gets work")
	}
	v.learn(bornEntry("i", 2000, 7, "ready"))
	if v.dir.Leaving(lifeID("i", 2000)) {
		t.Error("the later lifetime inherits the mark of leaving")
	}
	if !v.dir.Leaving(lifeID("i", 1000)) {
		t.Error("the earlier lifetime still gets work")
	}
	if context.Cause(ctx) != health.ErrRestarted {
		t.Errorf("the run of the earlier lifetime is waited for: %v", context.Cause(ctx))
	}
}

// Symptom: requests go to a lifetime that is over. Sequence: a heartbeat of before the
// crash is written after the first one of the next start; or the clock of the machine
// was set back, so that the later start has the earlier time of birth. Cause: words were
// ordered by time of birth, or by nothing.
func TestNewerWordWins(t *testing.T) {
	v := newTestView()
	v.Put(bornEntry("i", 2000, 5, "ready"))
	v.Put(bornEntry("i", 1000, 6, "ready")) // the clock was set back
	v.BatchDone()
	if v.dir.Leaving(lifeID("i", 1000)) || !v.dir.Leaving(lifeID("i", 2000)) {
		t.Error("a later start with an earlier time of birth is not believed")
	}
	v.Put(bornEntry("i", 2000, 7, "ready")) // a heartbeat that was on its way
	v.BatchDone()
	if v.dir.Leaving(lifeID("i", 1000)) || !v.dir.Leaving(lifeID("i", 2000)) {
		t.Error("a lifetime that another one followed is back")
	}
}

// Symptom: while the store is away a replica that started again gets no work.
// Sequence: it is found at its own address under its own name, with a later time of
// birth. Cause: a known name was taken for a known replica. What was found before the
// store said so must not be undone by the store's older word.
func TestRebornReplicaIsAdopted(t *testing.T) {
	v := newTestView()
	v.learn(bornEntry("i", 1000, 5, "ready"))
	v.adopt([]adoptedReplica{{Name: "i", Addr: "10.0.0.1:80", Born: 2000}})
	if v.dir.Leaving(lifeID("i", 2000)) || !v.dir.Leaving(lifeID("i", 1000)) {
		t.Fatal("the later lifetime was not adopted")
	}
	v.Put(bornEntry("i", 1000, 6, "ready"))
	v.adopt([]adoptedReplica{{Name: "i", Addr: "10.0.0.1:80", Born: 1000}})
	v.BatchDone()
	if v.dir.Leaving(lifeID("i", 2000)) || !v.dir.Leaving(lifeID("i", 1000)) {
		t.Error("an older word undid the adoption")
	}
	v.learn(bornEntry("i", 2000, 7, "ready"))
	v.dropAdopted()
	if v.dir.Leaving(lifeID("i", 2000)) {
		t.Error("dropped though the store lists it")
	}
}

// Symptom: a draft pauses for seconds, or ends, after its engine started again under
// its name behind a cut. Sequence: the engine's connections are held, it crashes, starts
// again and registers; the draft's own connection shows no sign of it. Cause: only
// silence told of the loss.
func TestDraftGoesOnWhenItsEngineIsReborn(t *testing.T) {
	f := newFleet(t)
	var engines []*fakes.Replica
	for i := range 4 {
		engines = append(engines, f.replica(&fakes.Replica{
			ID: fmt.Sprintf("e%d", i), StartedAt: 1000, Service: "llm", Domain: fmt.Sprintf("d%d", i%2), Engine: true,
			Chunks: 40, ChunkGap: 10 * time.Millisecond, Listen: freeAddr(t),
		}))
	}
	n := f.serving()
	resp, first := n.begunDraft("q1")
	lost := running(engines, "q1")
	lost.Freeze()
	defer lost.Thaw()
	later := lost.Entry("ready")
	later["born"] = 2000
	f.store.PutJSON("servers/"+lost.ID, later)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || first+string(rest) != draft("q1", 40) {
		t.Fatalf("%v: got %q", err, first+string(rest))
	}
}

// foreign are entries that name no replica to use, made from a sound one.
func foreign() map[string]string {
	sound := string(bornEntry("x", 1000, 1, "ready").Data)
	with := func(old, new string) string { return strings.Replace(sound, old, new, 1) }
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

// Symptom: requests go where no replica is, or a sound replica gets none. Sequence:
// another program writes entries beside the replicas' own, at their addresses. Cause:
// what was half understood was used, or took over the address.
func TestForeignEntriesNameNoReplica(t *testing.T) {
	for name, data := range foreign() {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			v.Put(bornEntry("i", 1000, 5, "ready"))
			v.learn(infra.Value{Key: "servers/x", CreateRev: 9, ModRev: 9, Data: []byte(data)})
			if v.dir.Leaving(lifeID("i", 1000)) {
				t.Error("the sound replica gets no work")
			}
			if got := v.dir.IDs(); len(got) != 1 {
				t.Errorf("known are %v", got)
			}
			v.Removed("servers/x")
		})
	}
}

// Symptom: a replica gets requests by an entry that isn't its own, or never again any.
// Sequence: another program writes over its entry; some seconds later the replica's own
// heartbeat does. Cause: a broken rewrite was taken for no news, or for leaving for good.
func TestBrokenRewriteWithholdsWork(t *testing.T) {
	broken := foreign()
	broken["no time of birth"] = string(replicaEntry("i", "10.0.0.1:80", 6).Data)
	for name, data := range broken {
		t.Run(name, func(t *testing.T) {
			v := newTestView()
			v.learn(bornEntry("i", 1000, 5, "ready"))
			v.learn(infra.Value{Key: "servers/i", CreateRev: 5, ModRev: 6, Data: []byte(data)})
			if !v.dir.Leaving(lifeID("i", 1000)) {
				t.Error("it gets new work")
			}
			v.learn(bornEntry("i", 1000, 7, "ready"))
			if v.dir.Leaving(lifeID("i", 1000)) {
				t.Error("it gets no work though its entry is sound again")
			}
		})
	}
}

// Symptom: replicas of a new service get no work. Sequence: they register before the
// configuration that names their service is in force. Cause: an entry of an unnamed
// service is left alone and not looked at again.
func TestServiceIsNamedLater(t *testing.T) {
	v := newTestView()
	v.learn(infra.Value{Key: "servers/x", CreateRev: 9, ModRev: 9, Data: []byte(foreign()["unnamed service"])})
	v.table.Install(route.NewTable(&route.Config{Version: 2, Services: []route.Service{{Name: "llm"}, {Name: "other"}}}))
	v.putUnnamed()
	v.BatchDone()
	if len(v.dir.IDs()) != 1 {
		t.Error("the replica is not known")
	}
}

// Whatever foreign entries stand beside sound ones, and in whatever order, the sound
// ones are known and nothing else is.
func TestSoundEntriesHoldBesideForeignOnes(t *testing.T) {
	bad := foreign()
	names := slices.Sorted(maps.Keys(bad))
	rapid.Check(t, func(rt *rapid.T) {
		v := newTestView()
		want := map[string]bool{}
		for i := range rapid.IntRange(1, 12).Draw(rt, "entries") {
			key := fmt.Sprintf("i-%d", i)
			item := replicaEntry(key, fmt.Sprintf("10.0.0.%d:80", i+1), int64(i+1))
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
