package mirror

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// multiples keeps the items whose keys are multiples of 2^n, and all whose keys are no numbers.
type multiples int

func (n multiples) Keeps(v infra.Value) bool {
	i, err := strconv.Atoi(v.Key)
	return err != nil || i%(1<<n) == 0
}

func (n multiples) Within(other Filter) bool {
	o, ok := other.(multiples)
	return !ok || n >= o
}

const filterItem = "filter"

func withFilter(c Config) Config {
	c.FilterKey = filterItem
	c.NewFilter = func(data []byte) (Filter, error) {
		n, err := strconv.Atoi(string(data))
		return multiples(n), err
	}
	return c
}

// revisionOf returns the revision at which the receiver of m knows an item, or 0, and how many
// items it knows.
func revisionOf(m *Mirror, out *recorder, key string) (revision fleet.Revision, items int) {
	m.mu.Lock() // held while the receiver is called
	defer m.mu.Unlock()
	return out.items[key], len(out.items)
}

// storeModel is the content of a store, with the changes since a reader read it last.
type storeModel struct {
	items  map[string]infra.Value
	rev    fleet.Revision
	events []infra.WatchEvent
}

func (s *storeModel) change(key string, data []byte, removed bool) {
	s.rev++
	v := infra.Value{Key: key, ModRev: s.rev, Data: data}
	s.events = append(s.events, infra.WatchEvent{Value: v, Deleted: removed})
	if removed {
		delete(s.items, key)
		return
	}
	s.items[key] = v
}

// read brings a reader up to date, with a complete read if the reader needs one.
func (s *storeModel) read(m *Mirror) {
	m.update(func() {
		if !m.synced || m.state.filter.lacking {
			m.state.replace(slices.Collect(maps.Values(s.items)), s.rev, removalPolicy{})
			m.synced = true
		}
		m.apply(s.events, s.rev)
	})
	s.events = nil
}

// TestFilteredCopiesAreEqual guards against replicas that some nodes never get to know, or
// never drop. The filter becomes narrower and broader while items change; one node reads the
// store, a second gets deltas from it and a third from the second, with any lag. All must end
// with the items that the last filter keeps.
func TestFilteredCopiesAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{items: map[string]infra.Value{}, rev: 1}
		var nodes [3]*Mirror
		for i := range nodes {
			nodes[i] = New(nil, &recorder{items: map[string]fleet.Revision{}}, withFilter(Config{}))
			nodes[i].state.pageBytes = rapid.IntRange(1, 30).Draw(t, "page")
			nodes[i].failing.Store(true) // so that it requests all items where needed
		}
		number := rapid.IntRange(0, 40)
		pull := func(i int) {
			err := nodes[i].Pull("", func(req DeltaRequest) (Delta, error) { return nodes[i-1].Delta(req), nil })
			if err != nil {
				t.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 7:
				nodes[0].update(func() { nodes[0].state.putFilter(store.items[filterItem]) })
			case 0:
				store.change(filterItem, []byte(strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "halvings"))), false)
			case 1:
				store.read(nodes[0])
			case 2:
				pull(1)
			case 3:
				pull(2)
			default:
				store.change(strconv.Itoa(number.Draw(t, "key")), nil, rapid.IntRange(0, 2).Draw(t, "removed") == 0)
			}
		}
		store.change("last", nil, false)
		store.read(nodes[0])
		store.change("last", nil, false)
		store.read(nodes[0]) // reads again if the filter has become broader
		pull(1)
		pull(2)
		filter := nodes[0].state.filter
		want := map[string]fleet.Revision{}
		for key, v := range store.items {
			if filter.Keeps(v) {
				want[key] = v.ModRev
			}
		}
		for i, n := range nodes {
			if got := n.state.receiver.(panicGuard).out.(*recorder).items; !maps.Equal(got, want) {
				t.Fatalf("node %d has %v, want %v", i, got, want)
			}
		}
	})
}

// TestBulkIsReadByFewNodes guards against a start of a large fleet that takes as long as the
// store needs to send every item to every node. A node that isn't to read the bulk of the items
// uses only those by which it finds a neighbour, takes the rest from that one, and reads it itself only if no
// neighbour sends it.
func TestBulkIsReadByFewNodes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for i := range 95 {
			store.put("servers/" + strconv.Itoa(i))
		}
		store.put("op/config")
		store.put("z/node")
		start := func(readsBulk bool) (*Mirror, *recorder, context.CancelFunc) {
			out := &recorder{items: map[string]fleet.Revision{}}
			ctx, stop := context.WithCancel(t.Context())
			m := New(store, out, Config{Parts: []string{"z/", "op/", "servers/"}, PeerPrefixes: []string{"z/"}, Bulk: "servers/", ReadsBulk: func() bool { return readsBulk }, IsReader: func() bool { return readsBulk }})
			go m.Run(ctx)
			return m, out, stop
		}
		reader, all, stopReader := start(true)
		other, some, stopOther := start(false)
		lone, _, stopLone := start(false)
		time.Sleep(time.Second)
		if _, n := revisionOf(reader, all, ""); !reader.Synced() || n != 97 {
			t.Errorf("the reader has %d items, synced %v", n, reader.Synced())
		}
		if _, n := revisionOf(other, some, ""); other.Synced() || n != 1 {
			t.Errorf("the other node has %d items, synced %v", n, other.Synced())
		}
		if err := other.Pull("reader", func(req DeltaRequest) (Delta, error) { return reader.Delta(req), nil }); err != nil {
			t.Fatal(err)
		}
		if _, n := revisionOf(other, some, ""); !other.Synced() || n != 97 {
			t.Errorf("after a neighbour's delta the other node has %d items, synced %v", n, other.Synced())
		}
		time.Sleep(bulkWait + bulkSpread)
		if !lone.Synced() {
			t.Error("a node without neighbours never reads the bulk")
		}
		stopReader()
		stopOther()
		stopLone()
		time.Sleep(time.Minute)
	})
}

func TestPackedDelta(t *testing.T) {
	d := Delta{Newest: 7, Removed: []Removal{{Key: "gone", Rev: 6}}}
	for i := range 200 {
		d.Items = append(d.Items, infra.Value{Key: "servers/" + strconv.Itoa(i), ModRev: 5, Data: []byte(`{"service": "llm", "state": "ready"}`)})
	}
	packed := d.packed(true)
	if len(packed.Packed) == 0 || len(packed.Packed) > d.size()/4 || packed.Items != nil {
		t.Errorf("%d bytes of %d", len(packed.Packed), d.size())
	}
	got, err := packed.unpacked()
	if err != nil || len(got.Items) != 200 || got.Items[199].Key != "servers/199" || len(got.Removed) != 1 || got.Newest != 7 {
		t.Errorf("%+v, %v", got, err)
	}
	packed.Packed = packed.Packed[:len(packed.Packed)/2]
	if _, err := packed.unpacked(); err == nil {
		t.Error("a truncated delta is accepted")
	}
}

// TestNodeWithoutNeighboursDoesNotFollowALargeStart guards against a first start of a large
// fleet in which every node follows the registration of every replica, because none has found
// the others yet. The node looks for others in the store, and takes the rest from them.
func TestNodeWithoutNeighboursDoesNotFollowALargeStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		store, out := newFakeStore(), &recorder{items: map[string]fleet.Revision{}}
		store.put("op/config")
		ctx, stop := context.WithCancel(t.Context())
		var found atomic.Bool
		m := New(store, out, Config{
			Parts: []string{"z/", "op/", "servers/"}, Bulk: "servers/", ReadsBulk: func() bool { return false }, IsReader: func() bool { return !found.Load() },
			PeerPrefixes: []string{"z/"}, NeedsPeers: func() bool { return !found.Load() },
		})
		go m.Run(ctx)
		time.Sleep(time.Second)
		for i := range 1000 {
			store.put("servers/" + strconv.Itoa(i))
		}
		time.Sleep(time.Second)
		if _, n := revisionOf(m, out, ""); n > 1+bulkChanges {
			t.Errorf("the node knows %d items", n)
		}
		store.put("z/node")
		time.Sleep(2 * peersPoll)
		if rev, _ := revisionOf(m, out, "z/node"); rev == 0 {
			t.Error("the node does not find the other node")
		}
		found.Store(true)
		neighbour := newState(&recorder{items: map[string]fleet.Revision{}})
		for _, v := range store.items {
			neighbour.put(v)
		}
		neighbour.advance(store.rev)
		neighbour.removed.floor = store.rev
		if err := m.Pull("neighbour", func(req DeltaRequest) (Delta, error) { return neighbour.delta(req).packed(req.Packs), nil }); err != nil {
			t.Fatal(err)
		}
		if _, n := revisionOf(m, out, ""); n != 1002 {
			t.Errorf("the node knows %d items of 1002", n)
		}
		stop()
		time.Sleep(time.Minute)
	})
}
