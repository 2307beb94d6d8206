// Package hosted is a stand-in for the users' platform: its store and its
// replicas, as far as tests and the soak need them, with switches for faults.
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

// Item is one item of the store, or the news that it was deleted.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is a stand-in for the platform's store.
type Store struct {
	*httptest.Server

	mu        sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item
	compacted int64         // changes up to this revision are dropped
	changed   chan struct{} // closed and replaced at each change
	down      bool          // every call gets 503
	silent    bool          // no call is answered
	calls     int
	leases    int64
}

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]Item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTxn)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{lease}", func(w http.ResponseWriter, _ *http.Request) { answer(w, map[string]any{"ttl_ms": 1}) })
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses(r) {
			http.Error(w, `{"error":"down"}`, http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// Addr is the address without a scheme.
func (s *Store) Addr() string { return strings.TrimPrefix(s.URL, "http://") }

// Endpoint is one more address of the store, which can be shut without the others.
type Endpoint struct {
	*httptest.Server
	shut atomic.Bool
}

// NewEndpoint opens one more address of the same store.
func (s *Store) NewEndpoint() *Endpoint {
	d := &Endpoint{}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.shut.Load() {
			http.Error(w, `{"error":"not you"}`, http.StatusServiceUnavailable)
			return
		}
		s.Config.Handler.ServeHTTP(w, r)
	}))
	return d
}

// Addr is the address without a scheme.
func (d *Endpoint) Addr() string { return strings.TrimPrefix(d.URL, "http://") }

// Disable turns whoever comes through this address away, and cuts those that wait.
func (d *Endpoint) Disable() {
	d.shut.Store(true)
	d.CloseClientConnections()
}

// SetFailing makes every call fail with 503, or ends that.
func (s *Store) SetFailing(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetUnresponsive leaves every call without an answer, or ends that.
func (s *Store) SetUnresponsive(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

// Compact drops the history, so that watches from before get 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.revision++
	s.compacted = s.revision
	s.wake()
}

// Calls is the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

// PutJSON writes an item whose value is v as JSON.
func (s *Store) PutJSON(key string, v any) int64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // a test's own value that can't be encoded
	}
	return s.Put(key, data)
}

func (s *Store) put(key string, value []byte, lease int64) int64 {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := Item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
	return s.revision
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

func (s *Store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

// Get returns an item.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuses counts the call and holds it while the store is silent.
func (s *Store) refuses(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for s.silent {
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
	return s.down
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
	answer(w, map[string]any{"items": items[:min(len(items), page)], "has_more": more, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events, changed, state := s.since(q.Get("prefix"), after)
		if state != http.StatusOK {
			http.Error(w, `{"error":"cut"}`, state)
			return
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": events[len(events)-1].Revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, map[string]any{"events": []Item{}, "at": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after int64) ([]Item, chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.silent {
		return nil, nil, http.StatusServiceUnavailable
	}
	if after < s.compacted {
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
			answer(w, map[string]any{"items": []Item{s.items[p.Key]}})
			return
		}
	}
	for _, i := range t.Writes {
		s.put(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Deletes {
		s.drop(key)
	}
	answer(w, map[string]any{"revision": s.revision})
}

// serveLease grants leases that never end.
func (s *Store) serveLease(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases++
	answer(w, map[string]any{"lease": s.leases, "ttl_ms": 1})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}
