package inventory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/directory"
	"wigeondale/fakes/bubble"
	"wigeondale/peer"
)

// fakeNetwork connects some inventories, and serves the VM list.
type fakeNetwork struct {
	mu      sync.Mutex
	nodes   map[string]*Inventory
	members []peer.Member
	list    []Item
	broken  map[string]bool // nodes that can't read the list
	reads   map[string]int
	lossy   bool // floods are lost
	largest int  // bytes of the largest message
}

func newFakeNetwork(n int, list []Item) *fakeNetwork {
	w := &fakeNetwork{nodes: map[string]*Inventory{}, broken: map[string]bool{}, reads: map[string]int{}, list: list}
	for i := range n {
		w.members = append(w.members, peer.Member{ID: fmt.Sprint("n", i), FailureDomain: "a", Alive: true})
	}
	for _, m := range w.members {
		p := &fakePeers{w, m.ID}
		w.nodes[m.ID] = New(Config{Node: m.ID, FailureDomain: "a", ReadInterval: directory.PollInterval, Read: p.read, Peers: p})
	}
	return w
}

// run runs all nodes until stop is called.
func (w *fakeNetwork) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for _, v := range w.nodes {
		done.Go(func() { _ = v.Run(ctx) })
	}
	return func() { cancel(); done.Wait() }
}

func (w *fakeNetwork) sent(message any) {
	b, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.largest = max(w.largest, len(b))
}

// set calls change, which changes the VM list, with the lock held.
func (w *fakeNetwork) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// duties counts the nodes by duty and returns a node that doesn't read the list.
func (w *fakeNetwork) duties() (count map[Duty]int, rests *Inventory) {
	count = map[Duty]int{}
	for _, v := range w.nodes {
		d := v.Duty()
		count[d]++
		if d == NotReader {
			rests = v
		}
	}
	return count, rests
}

type fakePeers struct {
	w    *fakeNetwork
	self string
}

func (p *fakePeers) read(context.Context) ([]Item, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.reads[p.self]++
	if p.w.broken[p.self] {
		return nil, errors.New("no list")
	}
	return slices.Clone(p.w.list), nil
}

func (p *fakePeers) Members() []peer.Member {
	all := slices.Clone(p.w.members)
	for i := range all {
		all[i].Self = all[i].ID == p.self
	}
	return all
}

func (p *fakePeers) Neighbour() (string, bool) {
	for id := range p.w.nodes { // in random order
		if id != p.self {
			return id, true
		}
	}
	return "", false
}

func (p *fakePeers) Flood(d Delta) {
	p.w.sent(d)
	for id, v := range p.w.nodes {
		if id != p.self && !p.w.lossy {
			v.HandleFlood(d)
		}
	}
}

func (p *fakePeers) Compare(_ context.Context, node string, d Digest) (Digest, error) {
	answer := p.w.nodes[node].Answer(d)
	p.w.sent(answer)
	return answer, nil
}

func (p *fakePeers) Exchange(_ context.Context, node string, b Batch) (Batch, error) {
	p.w.sent(b)
	answer := p.w.nodes[node].Exchange(b)
	p.w.sent(answer)
	return answer, nil
}

func (v *Inventory) knowsLeaving(id string) bool {
	return slices.ContainsFunc(v.Live(), func(r Record) bool { return r.Item.ID == id && r.Item.Leaving })
}

// TestLeavingIsKnownWithinItsBound guards against sending new work to a leaving VM for
// longer than LeavingBound, by routers that don't read the VM list. The readers see the VM
// leaving and must send that update at once. Then another VM leaves while all floods are
// lost, and digests must deliver the update.
func TestLeavingIsKnownWithinItsBound(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeNetwork(10, engines(20))
		defer w.run(t)()
		time.Sleep(30 * time.Second)
		count, rests := w.duties()
		if count[Reader] != readersPerDomain || count[NotReader] != 8 {
			t.Fatalf("duties %v", count)
		}
		w.set(func() { w.list[3].Leaving = true })
		time.Sleep(directory.LeavingBound)
		if !rests.knowsLeaving("x3") {
			t.Errorf("not known within %v", directory.LeavingBound)
		}
		w.set(func() { w.lossy, w.list[4].Leaving = true, true })
		time.Sleep(directory.LeavingBound + 10*digestInterval)
		if !rests.knowsLeaving("x4") {
			t.Error("a lost flood is not repaired")
		}
	})
}

// TestSilentReadersAreReplaced guards against a fleet without up-to-date data when its
// readers can't read the list, and against all nodes reading it at every poll. First
// the readers can't reach the list, then no node can. The failures occur if a reader
// that is alive counts as able to read, or if a node that receives no updates polls at
// the readers' rate.
func TestSilentReadersAreReplaced(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeNetwork(10, engines(20))
		defer w.run(t)()
		time.Sleep(30 * time.Second)
		for id, v := range w.nodes {
			if v.Duty() == Reader {
				w.set(func() { w.broken[id] = true })
			}
		}
		w.set(func() { w.list[3].Leaving = true })
		time.Sleep(silence + 5*fallbackInterval)
		for id, v := range w.nodes {
			if !v.knowsLeaving("x3") {
				t.Errorf("%s doesn't know what others could read", id)
			}
		}
		w.set(func() {
			for id := range w.nodes {
				w.broken[id] = true
			}
		})
		time.Sleep(silence + time.Minute)
		_, most := w.duties()
		before := 0
		w.set(func() { before = sum(w.reads, w.nodes) })
		time.Sleep(10 * fallbackInterval)
		w.set(func() {
			// 8 nodes aren't chosen readers; each of them reads at fallbackInterval
			// with its jitter.
			if n := sum(w.reads, w.nodes) - before; n > 8*14 || n < 8*6 {
				t.Errorf("%d readings in an outage, by nodes that normally don't read", n)
			}
		})
		if most != nil {
			t.Error("a node that gets no updates from readers does not read")
		}
	})
}

// sum counts the readings of the nodes that aren't chosen readers.
func sum(reads map[string]int, nodes map[string]*Inventory) int {
	n := 0
	for id, v := range nodes {
		if v.Duty() != Reader {
			n += reads[id]
		}
	}
	return n
}

// TestStartTakesInventoryFromNeighbour guards against a new node that isn't ready while
// the VM list is down, and against a link that is closed because a message is too
// large. One node knows 10,000 entries; a new node starts and can't read the list. The
// new node must get the inventory from its neighbour in several messages.
func TestStartTakesInventoryFromNeighbour(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeNetwork(2, engines(10_000))
		old, started := w.nodes["n0"], w.nodes["n1"]
		old.readIfDue(t.Context())
		started.Sync(t.Context(), "n0")
		if n := len(started.Live()); n != 10_000 {
			t.Errorf("%d of 10000 entries", n)
		}
		if w.largest > maxExchange {
			t.Errorf("a message of %d bytes", w.largest)
		}
		// A new reader that reads the same list has no updates for other nodes.
		before := old.state.Digest().Root
		started.readIfDue(t.Context())
		if started.state.Digest().Root != before {
			t.Error("a start changes the version of unchanged entries")
		}
	})
}

// TestStartsAgreeWithoutExchange guards against sending the whole inventory over every
// link when the fleet restarts. Nodes start one after another and read the same list
// before they connect; if each node gave the same entries a version of its own, all
// records would differ.
func TestStartsAgreeWithoutExchange(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := newFakeNetwork(2, engines(100))
		w.lossy = true
		w.nodes["n0"].readIfDue(t.Context())
		time.Sleep(time.Second)
		w.nodes["n1"].readIfDue(t.Context())
		if w.nodes["n0"].state.root() != w.nodes["n1"].state.root() {
			t.Error("two readings of one list differ")
		}
	})
}

// TestRecordsOfAFaultyPeerAreRefused guards against invalid records from a faulty peer.
// For example, a record with a time far in the future would prevail over all later
// readings.
func TestRecordsOfAFaultyPeerAreRefused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	good := Record{Item: Item{ID: "x", Role: "engine"}, At: now.UnixMilli(), Reader: "r"}
	for name, modify := range map[string]func(*Record){
		"time far ahead":  func(r *Record) { r.At = 1 << 62 },
		"start far ahead": func(r *Record) { r.FirstSeen = 1 << 62 },
		"mark far ahead":  func(r *Record) { r.LeavingAt = 1 << 62 },
		"negative time":   func(r *Record) { r.At = -1 },
		"no id":           func(r *Record) { r.Item.ID = "" },
		"long address":    func(r *Record) { r.Item.Addr = string(make([]byte, maxNameBytes+1)) },
		"old tombstone":   func(r *Record) { r.Removed, r.At = true, now.Add(-2*tombstoneKeep).UnixMilli() },
	} {
		s, r := NewState(), good
		modify(&r)
		if len(s.Merge([]Record{r}, now)) != 0 {
			t.Errorf("%s: accepted", name)
		}
	}
	s := NewState()
	if len(s.Merge([]Record{good}, now)) != 1 || recorded(s, 1<<62, now) {
		t.Error("a good record is refused, or a reading from the far future accepted")
	}
}

func recorded(s *State, reading int64, now time.Time) bool {
	newer, chosen := s.RecordReadings(NewestReadings{Reading: reading, Chosen: reading}, now)
	return newer || chosen
}
