package mirror

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fleet"
	"wigeondale/infra"
)

// eraStore is a model of a store that may come back from a copy. The value of an item is its version,
// which its owner counts up.
type eraStore struct {
	era, number int64
	items       map[string]infra.Value
	history     []infra.WatchEvent
	written     map[string]int // latest version that the owner has written, by key; 0 if it removed the item
}

func (s *eraStore) next() fleet.Revision {
	s.number++
	return fleet.RevisionOf(s.era, s.number)
}

func (s *eraStore) put(key string, version int) {
	rev := s.next()
	v := infra.Value{Key: key, Data: []byte(strconv.Itoa(version)), ModRev: rev, CreateRev: rev}
	s.items[key] = v
	s.history = append(s.history, infra.WatchEvent{Value: v})
}

func (s *eraStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, infra.WatchEvent{Deleted: true, Value: infra.Value{Key: key, ModRev: s.next()}})
}

func (s *eraStore) copied() eraStore {
	c := *s
	c.items, c.history = maps.Clone(s.items), slices.Clone(s.history)
	return c
}

// goBack makes the store come back from a copy. Its items are listed with revisions of the new era.
func (s *eraStore) goBack(c eraStore) {
	s.era++
	s.number, s.items, s.history = c.number, map[string]infra.Value{}, nil
	for key, v := range c.items {
		v.ModRev, v.CreateRev = fleet.RevisionOf(s.era, v.ModRev.Number()), fleet.RevisionOf(s.era, v.CreateRev.Number())
		s.items[key] = v
	}
	for _, e := range c.history {
		e.Value.ModRev = fleet.RevisionOf(s.era, e.Value.ModRev.Number())
		s.history = append(s.history, e)
	}
}

// rewrite makes the owner of a key write again what the store has lost.
func (s *eraStore) rewrite(key string) {
	version := s.written[key]
	v, ok := s.items[key]
	switch {
	case version == 0 && ok:
		s.remove(key)
	case version > 0 && (!ok || string(v.Data) != strconv.Itoa(version)):
		s.put(key, version)
	}
}

// versions is a receiver that counts a version which is older than one before as a fault, while no hold
// has ended.
type versions struct {
	recorder
	known map[string]int
	older string
}

func (r *versions) Put(v infra.Value) {
	n, _ := strconv.Atoi(string(v.Data))
	if n < r.known[v.Key] {
		r.older = v.Key
	}
	r.known[v.Key] = n
	r.recorder.Put(v)
}

func newerVersion(known, listed infra.Value) bool {
	a, _ := strconv.Atoi(string(known.Data))
	b, _ := strconv.Atoi(string(listed.Data))
	return b > a
}

func newEraNode() (*state, *versions) {
	out := &versions{recorder: recorder{items: map[string]fleet.Revision{}}, known: map[string]int{}}
	s := newState(out)
	s.newer = newerVersion
	return &s, out
}

// read makes a node read the store, as Mirror does.
func (s *state) read(store *eraStore, until time.Time) {
	at := fleet.RevisionOf(store.era, store.number)
	if s.newest.Era() == store.era && s.newest != 0 {
		for _, e := range store.history {
			switch {
			case e.Value.ModRev <= s.newest:
			case e.Deleted:
				s.remove(e.Value.Key, e.Value.ModRev, removalPolicy{})
			default:
				s.put(e.Value)
			}
		}
		s.advance(at)
		return
	}
	var items []infra.Value
	for _, key := range slices.Sorted(maps.Keys(store.items)) {
		items = append(items, store.items[key])
	}
	if s.newest == 0 {
		s.replace(items, at, removalPolicy{})
		return
	}
	s.returned(items, at, until)
}

// Guards against nodes that end with other contents than a store that has come back from copies, whoever of
// them reads it and whoever receives it from a neighbour, and against versions that go back meanwhile.
func TestNodesAgreeWithAStoreThatGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &eraStore{items: map[string]infra.Value{}, written: map[string]int{}, number: 1}
		nodes := make([]*state, 4)
		outs := make([]*versions, len(nodes))
		for i := range nodes {
			nodes[i], outs[i] = newEraNode()
			nodes[i].read(store, time.Time{})
		}
		copies := []eraStore{store.copied()}
		far := time.Now().Add(time.Hour)
		newest := make([]fleet.Revision, len(nodes))
		pull := func(to, from *state) { to.merge(from.delta(DeltaRequest{After: to.newest, All: true}), far) }
		key := func() string { return strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "key")) }
		node := func() *state { return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")] }
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				k := key()
				store.written[k] = max(store.written[k], int(store.era)*1000+int(store.number)) + 1
				store.put(k, store.written[k])
			case 3:
				k := key()
				store.written[k] = 0
				store.remove(k)
			case 4:
				copies = append(copies, store.copied())
			case 5:
				store.goBack(copies[rapid.IntRange(max(0, len(copies)-2), len(copies)-1).Draw(t, "copy")])
				copies = []eraStore{store.copied()}
			case 6:
				store.rewrite(key())
			case 7:
				node().read(store, far)
			default:
				if to, from := node(), node(); to != from {
					pull(to, from)
				}
			}
			for i, n := range nodes {
				if n.newest < newest[i] {
					t.Fatalf("node %d goes back from %v to %v", i, newest[i], n.newest)
				}
				newest[i] = n.newest
				if outs[i].older != "" {
					t.Fatalf("item %s goes back at node %d", outs[i].older, i)
				}
			}
		}
		for _, k := range slices.Sorted(maps.Keys(store.written)) {
			store.rewrite(k)
		}
		store.put("last", 1) // so that even the last revision is new to everyone
		for range 2 {
			nodes[0].read(store, far)
			for _, n := range nodes[1:] {
				pull(n, nodes[0])
			}
		}
		end := far.Add(time.Second)
		for i, n := range nodes {
			n.confirmExpired(end)
			n.applyHeld(end)
			got := map[string]string{}
			for k, v := range n.items {
				got[k] = string(v.Data)
			}
			want := map[string]string{}
			for k, v := range store.items {
				want[k] = string(v.Data)
			}
			if !maps.Equal(got, want) {
				t.Fatalf("node %d has %v, the store %v", i, got, want)
			}
		}
	})
}
