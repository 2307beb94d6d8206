package mirror

import (
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
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]infra.Value{}, rev: 1, changed: make(chan struct{})}
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

func (s *fakeStore) Snapshot(context.Context, string) ([]infra.Value, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, 0, s.err
	}
	var out []infra.Value
	for _, v := range s.items {
		out = append(out, v)
	}
	return out, s.rev, nil
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
		m.Merge(Delta{Newest: 90, Items: []infra.Value{{Key: "kept", ModRev: 80}}, Removed: []Removal{{"taken", 90}}})
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
				s.remove(key, rev, false)
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
// lags by any amount. Each must end with just what the first holds.
func TestDifferencesMakeNodesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newState(&seen{now: map[string]int64{}}), newState(&seen{now: map[string]int64{}})
		first.keep = 5 // so that a lag beyond it comes up
		rev := int64(0)
		keys := rapid.Custom(func(t *rapid.T) string { return strconv.Itoa(rapid.IntRange(0, 40).Draw(t, "number")) })
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			rev += rapid.Int64Range(1, 3).Draw(t, "gap")
			key := keys.Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				first.put(infra.Value{Key: key, ModRev: rev})
			case 2, 3:
				first.remove(key, rev, false)
			case 4:
				second.merge(first.delta(second.newest))
			}
		}
		second.merge(first.delta(second.newest))
		if !maps.EqualFunc(first.items, second.items, func(a, b infra.Value) bool { return a.ModRev == b.ModRev }) {
			t.Fatalf("first %v, second %v", first.items, second.items)
		}
	})
}
