package mirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/infra"
)

// fakeStore answers from memory; err, when set, is the answer to every call.
type fakeStore struct {
	mu      sync.Mutex
	items   map[string]infra.Value
	events  []infra.WatchEvent
	rev     int64
	oldest  int64 // changes up to it are forgotten
	err     error
	resets  int
	changed chan struct{}

	old       *infra.Page // answer to reads that may be old, if set
	pageSize  int
	pages     int
	failEvery int // one page in so many fails
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]infra.Value{}, rev: 1, changed: make(chan struct{}), pageSize: 10}
}

func (s *fakeStore) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	v := infra.Value{Key: key, ModRev: s.rev}
	s.items[key] = v
	s.events = append(s.events, infra.WatchEvent{Value: v})
	s.wake()
}

func (s *fakeStore) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	s.wake()
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.oldest = s.rev
	s.wake()
}

func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Page(_ context.Context, _, after string, stale bool) (infra.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages++
	if stale && s.old != nil {
		return *s.old, nil
	}
	if s.err != nil || (s.failEvery > 0 && s.pages%s.failEvery == 0) {
		return infra.Page{}, cmp.Or(s.err, errors.New("once in a while"))
	}
	page := infra.Page{Revision: s.rev}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key <= after {
			continue
		}
		if len(page.Values) == s.pageSize {
			page.More = true
			break
		}
		page.Values = append(page.Values, s.items[key])
	}
	return page, nil
}

func (s *fakeStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]infra.WatchEvent, int64, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		err, changed := s.err, s.changed
		var out []infra.WatchEvent
		for _, e := range s.events {
			if e.Value.ModRev > after {
				out = append(out, e)
			}
		}
		lost, rev := after < s.oldest, s.rev
		s.mu.Unlock()
		switch {
		case err != nil:
			return nil, 0, err
		case lost:
			return nil, 0, infra.ErrCompacted
		case len(out) > 0:
			return out, rev, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *fakeStore) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resets++
}

// seen records what a Mirror tells.
type seen struct {
	mu  sync.Mutex
	now map[string]int64
	log []string
}

func (r *seen) Put(v infra.Value) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.ModRev < r.now[v.Key] {
		r.log = append(r.log, "BACK "+v.Key)
	}
	r.now[v.Key] = v.ModRev
	r.log = append(r.log, "put "+v.Key)
}

func (r *seen) Gone(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.now, key)
	r.log = append(r.log, "gone "+key)
}

func (r *seen) Settled() {}

func (r *seen) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.now[key]
	return ok
}

// follow runs a Mirror under a fake clock until the test ends.
func follow(t *testing.T, s *fakeStore) *seen {
	out, _ := followAs(t, s, Config{})
	return out
}

func followAs(t *testing.T, s *fakeStore, cfg Config) (*seen, *Mirror) {
	out := &seen{now: map[string]int64{}}
	m := New(s, out, cfg)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	time.Sleep(10 * time.Millisecond)
	return out, m
}

// Symptom: a node acts on a route that was removed long ago. Sequence: watches
// hear nothing while changes are made; then the store drops its history. Cause:
// the watch goes on from the newest revision and what lies between is missed.
func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		s.put("b")
		out := follow(t, s)
		s.mu.Lock()
		delete(s.items, "a") // without an event
		s.mu.Unlock()
		s.compact()
		time.Sleep(time.Second)
		if out.has("a") || !out.has("b") {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: after an outage of the store all replicas count as gone, and every
// request is refused. Sequence: entries lapse while the store is away and are
// back within two seconds. Cause: what is missing at the first read is taken for
// gone at once.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("back")
		s.put("lost")
		out := follow(t, s)
		s.fail(errors.New("down"))
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		clear(s.items)
		s.mu.Unlock()
		s.compact()
		s.fail(nil)
		time.Sleep(1200 * time.Millisecond)
		if !out.has("back") || !out.has("lost") {
			t.Fatalf("taken for gone at once: %v", out.log)
		}
		s.put("back")
		time.Sleep(3 * time.Second)
		if !out.has("back") || out.has("lost") {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: news of the store stays away for good after a cut. Cause: the next
// call waits on a connection that fell silent.
func TestFailedCallGetsAFreshConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		out := follow(t, s)
		s.fail(errors.New("silent"))
		time.Sleep(4 * time.Second)
		s.fail(nil)
		s.put("new")
		time.Sleep(1500 * time.Millisecond)
		if s.resets == 0 || !out.has("new") {
			t.Errorf("resets %d, got %v", s.resets, out.log)
		}
	})
}

// Symptom: keys that were taken away work for seconds at one node. Sequence: the
// store turns that node away and serves the others; keys are taken away, and a
// neighbour tells. Cause: the node waits for the store.
func TestNeighbourIsHeardWhileTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("kept")
		s.put("taken")
		out, m := followAs(t, s, Config{})
		s.fail(errors.New("turned away"))
		time.Sleep(time.Second)
		m.Merge(Delta{Newest: 90, Items: []infra.Value{{Key: "kept", ModRev: 80}}, Removed: []Removal{{Key: "taken", Rev: 90}}})
		if out.has("taken") || out.now["kept"] != 80 {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: an old configuration is back, or a replica that is gone gets work again.
// Sequence: news come through a neighbour; an answer of the store that was under
// way brings what was before. Cause: the later arrival wins. What holds in the end
// is the newest change of each item, in whatever order they came.
func TestItemsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out := &seen{now: map[string]int64{}}
		s := newState(out)
		n := rapid.IntRange(1, 30).Draw(t, "changes")
		revs := rapid.Permutation(slices.Collect(func(yield func(int64) bool) {
			for i := range n {
				if !yield(int64(i + 1)) {
					return
				}
			}
		})).Draw(t, "order")
		keys := rapid.SampledFrom([]string{"a", "b", "c"})
		newest, want := map[string]int64{}, map[string]int64{}
		for _, rev := range revs {
			key, gone := keys.Draw(t, "key"), rapid.Bool().Draw(t, "gone")
			if gone {
				s.remove(key, rev, doubts{})
			} else {
				s.put(infra.Value{Key: key, ModRev: rev})
			}
			if rev < newest[key] {
				continue
			}
			newest[key] = rev
			delete(want, key)
			if !gone {
				want[key] = rev
			}
		}
		if !maps.Equal(out.now, want) {
			t.Fatalf("got %v, want %v", out.now, want)
		}
	})
}

// Symptom: the store is asked by every node, or by none. Cause: who reads is not
// decided anew at each call.
func TestOnlyReadersCallTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		var reads atomic.Bool
		out, m := followAs(t, s, Config{Reads: reads.Load})
		if !out.has("a") {
			t.Fatal("the first read was not made")
		}
		s.put("b")
		time.Sleep(5 * time.Second)
		if out.has("b") || m.Age(time.Now()) < 5*time.Second {
			t.Fatalf("read without being a reader: %v", out.log)
		}
		reads.Store(true)
		time.Sleep(time.Second)
		if !out.has("b") || m.Age(time.Now()) > 2*time.Second {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: nodes differ for ever. Sequence: changes and removals reach one node;
// others learn of them by differences that are made at any moment, of a node that
// lags by any amount, in pages of any size, with changes between two pages. Each
// must end with just what the first holds.
func TestDifferencesMakeNodesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(nil, &seen{now: map[string]int64{}}, Config{}), New(nil, &seen{now: map[string]int64{}}, Config{})
		first.synced = true
		first.state.keep = 5 // so that a lag beyond it comes up
		first.state.pageBytes = rapid.IntRange(1, 30).Draw(t, "page")
		second.lost.Store(true) // so that it asks for everything where it must
		rev := int64(0)
		keys := rapid.Custom(func(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "number")) })
		change := func() {
			rev += rapid.Int64Range(1, 3).Draw(t, "gap")
			for _, key := range rapid.SliceOfNDistinct(keys, 1, 4, rapid.ID).Draw(t, "keys") { // of one transaction
				if rapid.Bool().Draw(t, "put") {
					first.state.put(infra.Value{Key: key, ModRev: rev})
				} else {
					first.state.remove(key, rev, doubts{})
				}
			}
			first.state.reach(rev)
		}
		ask := func(q Question) (Delta, error) {
			d := first.Delta(q)
			if rapid.IntRange(0, 3).Draw(t, "meanwhile") == 0 {
				change()
			}
			return d, nil
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "step") > 0 {
				change()
			} else if err := second.Pull("first", ask); err != nil {
				t.Fatal(err)
			}
		}
		rev++
		first.state.put(infra.Value{Key: "last", ModRev: rev})
		first.state.reach(rev)
		if err := second.Pull("first", func(q Question) (Delta, error) { return first.Delta(q), nil }); err != nil {
			t.Fatal(err)
		}
		if !maps.EqualFunc(first.state.items, second.state.items, func(a, b infra.Value) bool { return a.ModRev == b.ModRev }) {
			t.Fatalf("first %v, second %v", first.state.items, second.state.items)
		}
	})
}

// Symptom: nodes that all start at once are not ready for half a minute. Sequence:
// each reads all items; the store's line is shared, so that no node has all pages
// in time; each failure begins anew. Cause: the pages that had come were thrown
// away.
func TestFailedReadGoesOnWhereItStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for i := range 100 {
			s.put(strconv.Itoa(i))
		}
		s.failEvery = 3 // of ten pages
		out, m := followAs(t, s, Config{})
		time.Sleep(5 * time.Second)
		if !m.Synced() || len(out.now) != 100 {
			t.Errorf("synced %v with %d of 100 items", m.Synced(), len(out.now))
		}
	})
}

// Symptom: a replica that crashed during an outage of the store gets work for ever
// at nodes that don't read the store. Sequence: its entry lapses while the store is
// away; a reader doubts that, tells of later changes, and takes it for gone after a
// while. Cause: nobody asks again for what was before a change that is known.
func TestDoubtReachesNeighbours(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for _, key := range []string{"lost", "back"} {
			s.put(key)
		}
		_, reader := followAs(t, s, Config{})
		out, other := followAs(t, s, Config{Reads: func() bool { return false }})
		s.fail(errors.New("down"))
		time.Sleep(time.Second)
		s.mu.Lock()
		clear(s.items)
		s.mu.Unlock()
		s.compact()
		s.put("new")
		s.fail(nil)
		time.Sleep(1500 * time.Millisecond)
		pull := func() {
			if err := other.Pull("reader", func(q Question) (Delta, error) { return reader.Delta(q), nil }); err != nil {
				t.Fatal(err)
			}
		}
		pull()
		if !out.has("new") || !out.has("lost") || !out.has("back") {
			t.Fatalf("taken for gone at once: %v", out.log)
		}
		s.put("back")
		time.Sleep(time.Second)
		pull()
		time.Sleep(2 * time.Second)
		if out.has("lost") || !out.has("back") {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: nodes that don't read the store miss a change for ever. Sequence: while
// a node reads page after page, one item changes that was read already, and then
// one that wasn't. Cause: the newest change that it saw was taken for the revision
// up to which it knows all.
func TestLaterPagesDoNotHideChanges(t *testing.T) {
	s := newState(&seen{now: map[string]int64{}})
	s.replace([]infra.Value{{Key: "a", ModRev: 3}, {Key: "z", ModRev: 9}}, 5, doubts{})
	if s.newest != 5 {
		t.Errorf("claims to know all up to %d, want 5", s.newest)
	}
}

// Symptom: a node starts with a configuration that was replaced seconds ago, and
// accepts keys that were taken away. Sequence: its first read is answered from what
// the store knew before; the changes since are known, or were dropped. Cause: old
// pages counted before the changes since were taken in.
func TestFirstReadIsBroughtUpToDate(t *testing.T) {
	for name, compacted := range map[string]bool{"changes known": false, "changes dropped": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("taken")
				s.put("config")
				s.old = &infra.Page{Revision: 3, Values: []infra.Value{{Key: "taken", ModRev: 2}, {Key: "config", ModRev: 3}}}
				s.put("config")
				s.mu.Lock()
				delete(s.items, "taken")
				s.rev++
				s.events = append(s.events, infra.WatchEvent{Deleted: true, Value: infra.Value{Key: "taken", ModRev: s.rev}})
				s.mu.Unlock()
				if compacted {
					s.compact()
				}
				out := follow(t, s)
				time.Sleep(time.Second)
				if !out.has("config") || out.has("taken") || slices.Contains(out.log, "put taken") && compacted {
					t.Errorf("got %v", out.log)
				}
				if out.now["config"] != 4 {
					t.Errorf("configuration of revision %d, want 4", out.now["config"])
				}
			})
		})
	}
}

// Symptom: changes made while all is read are missing for ever. Sequence: a read
// fails, goes on much later, and the store has dropped the changes since its first
// page. Cause: pages are of use only while the changes since are remembered.
func TestOldPagesAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		for i := range 20 {
			s.put(strconv.Itoa(i))
		}
		s.failEvery = 2
		out, m := followAs(t, s, Config{}) // has the first page
		s.fail(errors.New("down"))
		time.Sleep(defaultKeep + time.Second)
		s.mu.Lock()
		delete(s.items, "0")
		s.mu.Unlock()
		s.failEvery = 0
		s.fail(nil)
		time.Sleep(2 * time.Second)
		if !m.Synced() || out.has("0") || len(out.now) != 19 {
			t.Errorf("synced %v with %v", m.Synced(), out.now)
		}
	})
}

// Symptom: a start of many nodes at once fills their lines with copies of
// everything. Sequence: a node is told of something newer by one that began later,
// and so can't say what was removed in between. Cause: the node was given
// everything, though the store had the few changes.
func TestStoreIsAskedWhereNeighbourKnowsNoRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		out, m := followAs(t, s, Config{Reads: func() bool { return false }})
		s.put("b")
		_, later := followAs(t, s, Config{})
		var asked []Question
		ask := func(q Question) (Delta, error) {
			asked = append(asked, q)
			return later.Delta(q), nil
		}
		if err := m.Pull("later", ask); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if !out.has("b") || len(asked) != 1 || asked[0].All {
			t.Fatalf("asked %v, got %v", asked, out.log)
		}
		s.put("c")
		s.fail(errors.New("turned away"))
		m.Catch()
		time.Sleep(time.Second)
		third := New(nil, &seen{now: map[string]int64{}}, Config{})
		third.Merge(Delta{Newest: 90, Full: true, Items: []infra.Value{{Key: "c", ModRev: 80}}})
		if err := m.Pull("third", func(q Question) (Delta, error) { return third.Delta(q), nil }); err != nil {
			t.Fatal(err)
		}
		if !out.has("c") || out.has("a") {
			t.Errorf("got %v", out.log)
		}
	})
}
