package hosted

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/mirror"
)

// Guards against sound replicas that get no requests until the routers start again, because their entries were gone
// from the store for some seconds.
func TestReplicaIsUsedAgainWhenItsEntryIsBack(t *testing.T) {
	v := newTestView()
	v.dir.OnLeaving = func(id, _ string, _ directory.Source) { t.Errorf("the other routers are told that %s leaves", id) }
	v.apply(replicaEntry("i-a", "10.0.0.1:80", 5))
	for lapse := range fleet.Revision(3) {
		v.Removed("servers/i-a")
		if !v.dir.Leaving("i-a") {
			t.Error("a replica without an entry gets work")
		}
		v.BatchDone()
		v.apply(replicaEntry("i-a", "10.0.0.1:80", 10+lapse))
		if v.dir.Leaving("i-a") {
			t.Error("a replica whose entry is back gets no work")
		}
	}
	v.dir.OnLeaving = nil
	v.dir.MarkLeaving("i-a", "", directory.FromAnswer)
	v.Removed("servers/i-a")
	v.Put(replicaEntry("i-a", "10.0.0.1:80", 20))
	v.BatchDone()
	if !v.dir.Leaving("i-a") {
		t.Error("a replica that said that it leaves gets work after its entry lapsed")
	}
}

// entryModel models the entries that replicas have in the store, and what a router may conclude from those it has seen.
type entryModel struct {
	now      fleet.Revision
	entries  map[string]infra.Value // in the store, by id
	removed  map[string]fleet.Revision
	draining map[string]bool   // ids of replicas that have said so
	replaced map[string]bool   // ids of replicas whose address another one has
	seen     map[string]bool   // those of which this lifetime of the router has seen a successor
	ids      map[string]string // addresses, by id
	created  map[string]fleet.Revision
	starts   int
}

func (r *entryModel) write(id, addr string) {
	r.now++
	state, created := "ready", r.now
	if old, listed := r.entries[id]; listed {
		created = old.CreateRev
	}
	if r.draining[id] {
		state = "draining"
	}
	item := infra.Value{Key: "servers/" + id, CreateRev: created, ModRev: r.now, Data: fmt.Appendf(nil, `{"service": "llm",
		"address": %q, "zone": "d0", "version": "v1", "slots": 8, "state": %q, "cold_left_ms": 0, "sequence": %d}`, addr, state, r.now)}
	r.entries[id], r.ids[id], r.created[id] = item, addr, created
	delete(r.removed, item.Key)
}

func (r *entryModel) lapse(id string) {
	if _, listed := r.entries[id]; listed {
		r.now++
		delete(r.entries, id)
		r.removed["servers/"+id] = r.now
	}
}

// observe records which replaced replicas the router knows to be replaced, now that it knows all entries.
func (r *entryModel) observe() {
	for id := range r.replaced {
		for other, item := range r.entries {
			if other != id && r.ids[other] == r.ids[id] && item.CreateRev > r.created[id] {
				r.seen[id] = true
			}
		}
	}
}

// startAt starts a new replica at an address, which ends the one there.
func (r *entryModel) startAt(addr string) {
	for id, other := range r.ids {
		r.replaced[id] = r.replaced[id] || other == addr
	}
	r.starts++
	r.write(fmt.Sprint("i-", r.starts), addr)
}

// delta returns the changes after a revision, or all entries.
func (r *entryModel) delta(after fleet.Revision, full bool) mirror.Delta {
	d := mirror.Delta{Newest: r.now, Full: full}
	for _, item := range r.entries {
		if full || item.ModRev > after {
			d.Items = append(d.Items, item)
		}
	}
	for key, rev := range r.removed {
		if !full && rev > after {
			d.Removed = append(d.Removed, mirror.Removal{Key: key, Rev: rev})
		}
	}
	return d
}

// Guards against any order of lapses, returns, leavings, new lifetimes, addresses that are used again, restarts of the
// router, missed changes and late messages after which a listed replica gets no work, or one that leaves or has ended does.
func TestListedReplicasAreUsedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &entryModel{
			entries: map[string]infra.Value{}, removed: map[string]fleet.Revision{}, draining: map[string]bool{}, replaced: map[string]bool{}, ids: map[string]string{},
			created: map[string]fleet.Revision{},
		}
		var v *view
		var m *mirror.Mirror
		var late []mirror.Delta // messages that arrive again, or after later ones
		restart := func() {
			v = newTestView()
			m = mirror.New(nil, v, mirror.Config{})
			m.Merge(r.delta(0, true))
			r.seen = map[string]bool{}
		}
		for n := range 3 {
			r.startAt(fmt.Sprintf("10.0.0.%d:80", n))
		}
		restart()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(r.ids))).Draw(t, "replica")
			_, listed := r.entries[id]
			switch rapid.IntRange(0, 8).Draw(t, "change") {
			case 0, 1:
				r.lapse(id)
			case 2, 3:
				if !listed && !r.replaced[id] {
					r.write(id, r.ids[id])
				}
			case 4:
				if listed && !r.replaced[id] {
					r.draining[id] = true
					r.write(id, r.ids[id])
				}
			case 5:
				r.startAt(r.ids[id])
			case 6:
				restart()
			case 7:
				late = append(late, r.delta(m.Newest(), false), r.delta(0, true))
				m.Merge(rapid.SampledFrom(late).Draw(t, "late message"))
			case 8:
				continue // the router misses the changes so far
			}
			m.Merge(r.delta(m.Newest(), false))
			r.observe()
			for id := range r.ids {
				_, listed := r.entries[id]
				if listed && r.replaced[id] && !r.seen[id] {
					continue // this lifetime of the router has seen only its entry, which has not expired yet
				}
				if want := listed && !r.draining[id] && !r.replaced[id]; v.dir.Leaving(id) == want {
					t.Fatalf("%s is used: %v; listed %v, leaving %v, its address is another's %v", id, !want, listed, r.draining[id], r.replaced[id])
				}
			}
		}
	})
}
