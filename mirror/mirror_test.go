package mirror

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

func (s *fakeStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, infra.WatchEvent{Deleted: true, Value: infra.Value{Key: key, ModRev: s.rev}})
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
func follow(t *testing.T, s *fakeStore, fallback Fallback) *seen {
	out := &seen{now: map[string]int64{}}
	m := New(s, out, Config{Fallback: fallback})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	time.Sleep(10 * time.Millisecond)
	return out
}

// Symptom: a node acts on a route that was removed long ago. Sequence: watches
// hear nothing while changes are made; then the store drops its history. Cause:
// the watch goes on from the newest revision and what lies between is missed.
func TestLostHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		s.put("b")
		out := follow(t, s, nil)
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
		out := follow(t, s, nil)
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
		out := follow(t, s, nil)
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

// fromPeer is another node's copy.
type fromPeer struct{ c Copy }

func (p fromPeer) Newer(_ context.Context, after int64) (Copy, bool) { return p.c, p.c.At > after }

// Symptom: keys that were taken away work for seconds at one node. Sequence: the
// store turns that node away and serves the others; keys are taken away. Cause:
// the node waits for the store instead of asking another node.
func TestOtherNodesAreAskedWhileTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("kept")
		s.put("taken")
		peer := fromPeer{Copy{At: 90, Items: []infra.Value{{Key: "kept", ModRev: 80}}}}
		out := follow(t, s, peer)
		if !out.has("taken") {
			t.Fatal("asked another node while the store answers")
		}
		s.fail(errors.New("turned away"))
		time.Sleep(time.Second)
		if out.has("taken") || out.now["kept"] != 80 {
			t.Errorf("got %v", out.log)
		}
	})
}

// Symptom: an old configuration is back. Sequence: news comes through another
// node; then the store answers with an older item. Cause: the later answer wins.
func TestItemsNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a")
		out := follow(t, s, fromPeer{Copy{At: 90, Items: []infra.Value{{Key: "a", ModRev: 80}}}})
		s.fail(errors.New("down"))
		time.Sleep(time.Second)
		s.fail(nil)
		s.compact()
		time.Sleep(4 * time.Second)
		if slices.ContainsFunc(out.log, func(l string) bool { return strings.HasPrefix(l, "BACK") }) || out.now["a"] != 80 {
			t.Errorf("got %v at %d", out.log, out.now["a"])
		}
	})
}
