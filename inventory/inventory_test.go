package inventory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/directory"
	"wigeondale/peer"
)

// network plays the links between some inventories, and the VM list.
type network struct {
	mu      sync.Mutex
	nodes   map[string]*Inventory
	members []peer.Member
	list    []Item
	broken  map[string]bool // nodes that can't read the list
	reads   map[string]int
	lossy   bool // floods are lost
	largest int  // bytes of one message
}

func newNetwork(n int, list []Item) *network {
	w := &network{nodes: map[string]*Inventory{}, broken: map[string]bool{}, reads: map[string]int{}, list: list}
	for i := range n {
		w.members = append(w.members, peer.Member{ID: fmt.Sprint("n", i), FailureDomain: "a", Alive: true})
	}
	for _, m := range w.members {
		p := &port{w, m.ID}
		w.nodes[m.ID] = New(Config{Node: m.ID, FailureDomain: "a", ReadInterval: directory.PollInterval, Read: p.read, Peers: p})
	}
	return w
}

// run runs all nodes until stop.
func (w *network) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for _, v := range w.nodes {
		done.Go(func() { _ = v.Run(ctx) })
	}
	return func() { cancel(); done.Wait() }
}

func (w *network) sent(message any) {
	b, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.largest = max(w.largest, len(b))
}

// set changes the list.
func (w *network) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// duties counts the nodes by duty and names one that rests.
func (w *network) duties() (count map[Duty]int, rests *Inventory) {
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

type port struct {
	w    *network
	self string
}

func (p *port) read(context.Context) ([]Item, error) {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.reads[p.self]++
	if p.w.broken[p.self] {
		return nil, errors.New("no list")
	}
	return slices.Clone(p.w.list), nil
}

func (p *port) Members() []peer.Member {
	all := slices.Clone(p.w.members)
	for i := range all {
		all[i].Self = all[i].ID == p.self
	}
	return all
}

func (p *port) Neighbour() (string, bool) {
	for id := range p.w.nodes { // in random order
		if id != p.self {
			return id, true
		}
	}
	return "", false
}

func (p *port) Flood(d Delta) {
	p.w.sent(d)
	for id, v := range p.w.nodes {
		if id != p.self && !p.w.lossy {
			v.HandleFlood(d)
		}
	}
}

func (p *port) Compare(_ context.Context, node string, d Digest) (Digest, error) {
	answer := p.w.nodes[node].Answer(d)
	p.w.sent(answer)
	return answer, nil
}

func (p *port) Exchange(_ context.Context, node string, b Batch) (Batch, error) {
	p.w.sent(b)
	answer := p.w.nodes[node].Exchange(b)
	p.w.sent(answer)
	return answer, nil
}

func (v *Inventory) knowsLeaving(id string) bool {
	return slices.ContainsFunc(v.Live(), func(r Record) bool { return r.Item.ID == id && r.Item.Leaving })
}

// Symptom: a VM that leaves is sent new work for longer than stated, by routers
// that don't read the list. Sequence: it shows as leaving to the readers. Cause:
// their news isn't told at once. Then the same with every flood lost: digests.
func TestLeavingIsKnownWithinItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(10, engines(20))
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
			t.Error("a lost flood is not mended")
		}
	})
}

// Symptom: a fleet whose readers can't read the list goes blind, or reads it
// with all nodes at every poll. Sequence: the readers are cut off from the list,
// then every node is. Cause: living members are taken for able ones; or each
// node that isn't heard begins to poll.
func TestSilentReadersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(10, engines(20))
		defer w.run(t)()
		time.Sleep(30 * time.Second)
		for id, v := range w.nodes {
			if v.Duty() == Reader {
				w.set(func() { w.broken[id] = true })
			}
		}
		w.set(func() { w.list[3].Leaving = true })
		time.Sleep(silence + 5*aloneInterval)
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
		time.Sleep(10 * aloneInterval)
		w.set(func() {
			// 8 nodes that aren't readers, each aloneInterval with its jitter.
			if n := sum(w.reads, w.nodes) - before; n > 8*14 || n < 8*6 {
				t.Errorf("%d readings in an outage, by nodes that rest otherwise", n)
			}
		})
		if most != nil {
			t.Error("a node rests that hears no reader")
		}
	})
}

// sum counts the readings of those that aren't chosen readers.
func sum(reads map[string]int, nodes map[string]*Inventory) int {
	n := 0
	for id, v := range nodes {
		if v.Duty() != Reader {
			n += reads[id]
		}
	}
	return n
}

// Symptom: a new node is not ready while the VM list is down; or a link is
// closed since a message is too large. Sequence: one node knows 10,000 entries;
// another starts and can't read. Cause: only the list itself can tell; or the
// whole inventory is sent at once.
func TestStartTakesInventoryFromNeighbour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(2, engines(10_000))
		old, fresh := w.nodes["n0"], w.nodes["n1"]
		old.readIfDue(t.Context())
		fresh.Sync(t.Context(), "n0")
		if n := len(fresh.Live()); n != 10_000 {
			t.Errorf("%d of 10000 entries", n)
		}
		if w.largest > maxExchange {
			t.Errorf("a message of %d bytes", w.largest)
		}
		// A new reader that reads the same list has no news for anyone.
		before := old.state.Digest().Root
		fresh.readIfDue(t.Context())
		if fresh.state.Digest().Root != before {
			t.Error("a start changes the version of what it reads")
		}
	})
}

// Symptom: a restart of the fleet sends the whole inventory over every link.
// Sequence: nodes start one after another and read the same list before they
// meet. Cause: each gives what it reads a version of its own.
func TestStartsAgreeWithoutExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork(2, engines(100))
		w.lossy = true
		w.nodes["n0"].readIfDue(t.Context())
		time.Sleep(time.Second)
		w.nodes["n1"].readIfDue(t.Context())
		if w.nodes["n0"].state.root() != w.nodes["n1"].state.root() {
			t.Error("two readings of one list differ")
		}
	})
}

// Symptom: nothing that a reader sees is believed any more. Sequence: a faulty
// peer sends a record from the end of time. Cause: it wins over every later one.
func TestRecordsOfAFaultyPeerAreRefused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	good := Record{Item: Item{ID: "x", Role: "engine"}, At: now.UnixMilli(), Reader: "r"}
	for name, spoil := range map[string]func(*Record){
		"time far ahead": func(r *Record) { r.At = 1 << 62 },
		"life far ahead": func(r *Record) { r.FirstSeen = 1 << 62 },
		"mark far ahead": func(r *Record) { r.LeavingAt = 1 << 62 },
		"negative time":  func(r *Record) { r.At = -1 },
		"no id":          func(r *Record) { r.Item.ID = "" },
		"long address":   func(r *Record) { r.Item.Addr = string(make([]byte, maxNameBytes+1)) },
		"old tombstone":  func(r *Record) { r.Removed, r.At = true, now.Add(-2*tombstoneKeep).UnixMilli() },
	} {
		s, r := NewState(), good
		spoil(&r)
		if len(s.Merge([]Record{r}, now)) != 0 {
			t.Errorf("%s: taken", name)
		}
	}
	s := NewState()
	if len(s.Merge([]Record{good}, now)) != 1 || heard(s, 1<<62, now) {
		t.Error("a good record is refused, or a reading from the end of time believed")
	}
}

func heard(s *State, reading int64, now time.Time) bool {
	news, chosen := s.RecordReadings(NewestReadings{Reading: reading, Chosen: reading}, now)
	return news || chosen
}
