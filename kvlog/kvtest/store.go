// Package kvtest is an in-memory key-value service for tests. Calls of its clients can
// be blocked and released one by one, each with a fault, so that a test controls every
// interleaving.
package kvtest

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"wigeondale/fleet"
	"wigeondale/infra"
)

// Store is the data of the service. A call of a Store's own method doesn't wait for a
// release by a Controller.
type Store struct {
	// Latency, if set, is how long each call of a Store (not of a Client) sleeps.
	Latency time.Duration
	// OnCreate, if set, is called for each key that is created.
	OnCreate func(key string, data []byte)

	mu       sync.Mutex
	rev      fleet.Revision
	data     map[string]infra.Value
	watchers []watcher
	writes   int
	reads    int
}

type watcher struct {
	prefix string
	events chan infra.WatchEvent
	mute   bool
}

const watchBuffer = 1024

var errNoLeases = errors.New("kvtest: leases are not implemented")

// New returns an empty store.
func New() *Store { return &Store{data: make(map[string]infra.Value)} }

// Calls returns how many writes and reads the store has executed since New.
func (s *Store) Calls() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

// Get reads one key.
func (s *Store) Get(_ context.Context, key string) (infra.Value, bool, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	v, ok := s.data[key]
	return v, ok, nil
}

// Range reads the keys in [from, end) in key order, at most limit (0 means all).
func (s *Store) Range(_ context.Context, from, end string, limit int) ([]infra.Value, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var out []infra.Value
	for k, v := range s.data {
		if k >= from && k < end {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out, nil
}

// Create writes key if it is absent. Otherwise it returns the existing value.
func (s *Store) Create(ctx context.Context, key string, data []byte) (bool, infra.Value, error) {
	return s.CompareAndSwap(ctx, key, 0, data)
}

// CreateWithLease does the same as Create and ignores the lease.
func (s *Store) CreateWithLease(ctx context.Context, key string, data []byte, _ infra.LeaseID) (bool, infra.Value, error) {
	return s.Create(ctx, key, data)
}

// CompareAndSwap writes key if its revision is modRev; 0 means that the key is absent.
func (s *Store) CompareAndSwap(_ context.Context, key string, modRev fleet.Revision, data []byte) (bool, infra.Value, error) {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if v := s.data[key]; v.ModRev != modRev {
		return false, v, nil
	}
	return true, s.put(key, data), nil
}

// Put writes key.
func (s *Store) Put(_ context.Context, key string, data []byte, _ infra.LeaseID) error {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.put(key, data)
	return nil
}

func (s *Store) put(key string, data []byte) infra.Value {
	s.rev++
	v := infra.Value{Key: key, Data: append([]byte(nil), data...), CreateRev: s.rev, ModRev: s.rev}
	if old, ok := s.data[key]; ok {
		v.CreateRev = old.CreateRev
	} else if s.OnCreate != nil {
		s.OnCreate(key, v.Data)
	}
	s.data[key] = v
	for _, w := range s.watchers {
		if !w.mute && strings.HasPrefix(key, w.prefix) {
			w.events <- infra.WatchEvent{Value: v}
		}
	}
	return v
}

// Delete removes key.
func (s *Store) Delete(ctx context.Context, key string) error {
	return s.DeleteRange(ctx, key, key+"\x00")
}

// DeleteRange removes the keys in [from, end).
func (s *Store) DeleteRange(_ context.Context, from, end string) error {
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.rev++
	for k := range s.data {
		if k >= from && k < end {
			delete(s.data, k)
		}
	}
	return nil
}

// Watch reports puts from now on. If fromRev is positive, it first reports the keys that
// still exist and were changed at fromRev or later.
func (s *Store) Watch(ctx context.Context, prefix string, fromRev fleet.Revision) (<-chan infra.WatchEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := watcher{prefix: prefix, events: make(chan infra.WatchEvent, watchBuffer)}
	var missed []infra.Value
	for k, v := range s.data {
		if fromRev > 0 && v.ModRev >= fromRev && strings.HasPrefix(k, prefix) {
			missed = append(missed, v)
		}
	}
	sort.Slice(missed, func(i, j int) bool { return missed[i].ModRev < missed[j].ModRev })
	for _, v := range missed {
		w.events <- infra.WatchEvent{Value: v}
	}
	s.watchers = append(s.watchers, w)
	return w.events, nil
}

// MuteWatches keeps every watch open but stops delivering events.
func (s *Store) MuteWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.watchers {
		s.watchers[i].mute = true
	}
}

// CloseWatches closes every watch.
func (s *Store) CloseWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.watchers {
		close(w.events)
	}
	s.watchers = nil
}

// Grant returns an error: the store has no leases.
func (s *Store) Grant(context.Context, time.Duration) (infra.LeaseID, error) {
	return 0, errNoLeases
}

// KeepAlive returns an error: the store has no leases.
func (s *Store) KeepAlive(context.Context, infra.LeaseID) (time.Duration, error) {
	return 0, errNoLeases
}

// Revoke returns an error: the store has no leases.
func (s *Store) Revoke(context.Context, infra.LeaseID) error { return errNoLeases }
