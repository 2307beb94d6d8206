package mirror

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeondale/fleet"
	"wigeondale/infra"
)

// fakeStore serves items from memory; err, when set, is returned by every call.
type fakeStore struct {
	mu          sync.Mutex
	items       map[string]infra.Value
	events      []infra.WatchEvent
	rev         fleet.Revision
	compactedAt fleet.Revision // changes up to this revision have been compacted
	err         error
	resets      int
	changed     chan struct{}

	stalePage *infra.Page // response to stale reads, if set
	pageSize  int
	pages     int
	failEvery int // every failEvery-th read of a page fails; 0 means that none fails
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
	s.compactedAt = s.rev
	s.wake()
}

func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Page(_ context.Context, prefix, after string, stale bool) (infra.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pages++
	if stale && s.stalePage != nil {
		return *s.stalePage, nil
	}
	if s.err != nil || (s.failEvery > 0 && s.pages%s.failEvery == 0) {
		return infra.Page{}, cmp.Or(s.err, errors.New("once in a while"))
	}
	page := infra.Page{Revision: s.rev}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if key <= after || !strings.HasPrefix(key, prefix) {
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

func (s *fakeStore) Changes(ctx context.Context, _ string, after fleet.Revision, wait time.Duration) ([]infra.WatchEvent, fleet.Revision, error) {
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
		compacted, rev := after < s.compactedAt, s.rev
		s.mu.Unlock()
		switch {
		case err != nil:
			return nil, 0, err
		case compacted:
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

// recorder records the calls that a Mirror makes to its Receiver.
type recorder struct {
	mu    sync.Mutex
	items map[string]fleet.Revision
	calls []string
}

func (r *recorder) Put(v infra.Value) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.ModRev < r.items[v.Key] {
		r.calls = append(r.calls, "BACK "+v.Key)
	}
	r.items[v.Key] = v.ModRev
	r.calls = append(r.calls, "put "+v.Key)
}

func (r *recorder) Dropped(key string) { r.Removed(key) }

func (r *recorder) Removed(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.items, key)
	r.calls = append(r.calls, "gone "+key)
}

func (r *recorder) BatchDone() {}

func (r *recorder) has(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.items[key]
	return ok
}

// startMirror runs a Mirror under a fake clock until the test ends.
func startMirror(t *testing.T, s *fakeStore) *recorder {
	out, _ := startMirrorWith(t, s, Config{})
	return out
}

func startMirrorWith(t *testing.T, s *fakeStore, cfg Config) (*recorder, *Mirror) {
	out := &recorder{items: map[string]fleet.Revision{}}
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
