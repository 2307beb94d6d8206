// Package hosted is a fake of the users' platform: its store and its replicas, as far as
// tests and the soak need them, with fault switches.
package hosted

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Item is one item of the store or, if Deleted is set, the event of its deletion.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// firstLease is below the first lease's number. The platform promises no small numbers.
const firstLease = 7 << 59

// Store is a fake of the platform's store.
type Store struct {
	*httptest.Server

	mu           sync.Mutex
	revision     int64
	items        map[string]Item
	history      []Item
	compacted    int64         // changes up to this revision have been dropped from history
	changed      chan struct{} // closed and replaced at each change
	failing      bool          // every call fails with 503
	unresponsive bool          // no call gets a response
	calls        int
	leases       int64          // number of the latest lease; numbers begin at firstLease
	granted      map[int64]bool // leases that exist
	era          atomic.Int64   // number of times that the store came back from a copy
	copiedAt     int64          // revision of the copy from which the store came back last
	renewals     []Renewal
}

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]Item{}, leases: firstLease, granted: map[int64]bool{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{lease}", s.serveKeep)
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.awaitAndRefuse(r) {
			http.Error(w, `{"error":"down"}`, http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(eraWriter{w, s}, r)
	}))
	return s
}

// Addr returns the store's address without a scheme.
func (s *Store) Addr() string { return strings.TrimPrefix(s.URL, "http://") }

// Endpoint is an additional address of the store, which can be disabled while the store's
// other addresses still work.
type Endpoint struct {
	*httptest.Server
	closed atomic.Bool
}

// NewEndpoint opens an additional address of the store.
func (s *Store) NewEndpoint() *Endpoint {
	e := &Endpoint{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.closed.Load() {
			http.Error(w, `{"error":"not you"}`, http.StatusServiceUnavailable)
			return
		}
		s.Config.Handler.ServeHTTP(w, r)
	}))
	return e
}

// Addr returns the endpoint's address without a scheme.
func (e *Endpoint) Addr() string { return strings.TrimPrefix(e.URL, "http://") }

// Disable makes calls at this address fail with 503 and closes the connections of the calls
// in progress.
func (e *Endpoint) Disable() {
	e.closed.Store(true)
	e.CloseClientConnections()
}

// SetFailing sets whether every call fails with 503.
func (s *Store) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = failing
	s.notifyChanged()
}

// SetUnresponsive sets whether calls wait without a response.
func (s *Store) SetUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
	s.notifyChanged()
}

// Compact drops the history, so that watches from an earlier revision fail with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.revision++
	s.compacted = s.revision
	s.notifyChanged()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, 0)
}

// PutJSON writes an item whose value is v as JSON.
func (s *Store) PutJSON(key string, v any) int64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the test passed a value that can't be encoded
	}
	return s.Put(key, data)
}

func (s *Store) putLocked(key string, value []byte, lease int64) int64 {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notifyChanged()
	return s.revision
}

// Delete removes an item and records its deletion as an event. It does nothing if there is
// no such item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
	s.notifyChanged()
}

// Get returns an item, and whether the store has it.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// awaitAndRefuse counts a call, blocks while the store is unresponsive, and reports whether the call
// fails.
func (s *Store) awaitAndRefuse(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for s.unresponsive {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return true
		}
	}
	return s.failing
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	const page = 50
	more := len(items) > page
	writeJSON(w, map[string]any{"items": items[:min(len(items), page)], "has_more": more, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, changed, state := s.eventsSince(q.Get("prefix"), after)
		if state != http.StatusOK {
			http.Error(w, `{"error":"cut"}`, state)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": events[len(events)-1].Revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": []Item{}, "at": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(prefix string, after int64) ([]Item, chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing || s.unresponsive {
		return nil, nil, http.StatusServiceUnavailable
	}
	if after < s.compacted || after > s.revision {
		return nil, nil, http.StatusGone
	}
	var events []Item
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.changed, http.StatusOK
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []Item   `json:"precondition"`
		Writes       []Item   `json:"writes"`
		Deletes      []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			writeJSON(w, map[string]any{"items": []Item{s.items[p.Key]}})
			return
		}
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && !s.granted[i.Lease] {
			http.Error(w, `{"error":"no such lease"}`, http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Writes {
		s.putLocked(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Deletes {
		s.deleteLocked(key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

// serveLease grants leases that never expire.
func (s *Store) serveLease(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	s.granted[s.leases] = true
	writeJSON(w, map[string]any{"lease": s.leases, "ttl_ms": 1})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
