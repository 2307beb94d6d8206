// Package hosted is a fake of the users' platform: its store and its replicas, as far as
// tests and the soak need them, with fault switches.
package hosted

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
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
	refused      []string // prefixes of keys whose writes fail with 503
	writeFate    func() WriteFate
	stale        *Copy // that answers reads which may be stale; nil for the present contents
}

// SetStale makes the store answer reads that may be stale from a copy; nil ends that.
func (s *Store) SetStale(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = c
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

	mu     sync.Mutex
	refuse func() int
	acked  func()
}

// SetRefusals makes calls at this address fail with the status that refuse returns, or be answered if that is 0. Nil ends that.
func (e *Endpoint) SetRefusals(refuse func() int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuse = refuse
}

// OnAcknowledged has acked called once, when the next transaction at this address has been acknowledged. Nil ends that.
func (e *Endpoint) OnAcknowledged(acked func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acked = acked
}

// serve refuses a call, or passes it on and reports its acknowledgement.
func (e *Endpoint) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	refuse := e.refuse
	e.mu.Unlock()
	if refuse != nil {
		if status := refuse(); status != 0 {
			http.Error(w, `{"error":"not now"}`, status)
			return
		}
	}
	next.ServeHTTP(w, r)
	if r.URL.Path != "/kv-txn" {
		return
	}
	_ = http.NewResponseController(w).Flush() // an error means that the caller has left
	e.mu.Lock()
	acked := e.acked
	e.acked = nil
	e.mu.Unlock()
	if acked != nil {
		acked()
	}
}

// NewEndpoint opens an additional address of the store.
func (s *Store) NewEndpoint() *Endpoint {
	e := &Endpoint{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.closed.Load() {
			http.Error(w, `{"error":"not you"}`, http.StatusServiceUnavailable)
			return
		}
		e.serve(s.Config.Handler, w, r)
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

// RefuseWrites makes writes of keys with one of the prefixes fail with 503, and no others.
func (s *Store) RefuseWrites(prefixes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = prefixes
}

// WriteFate is what becomes of a transaction; the zero value means that it is made and answered.
type WriteFate struct {
	Refused    bool          // answered with 503
	Lost       bool          // neither made nor answered
	AnswerLost bool          // made and not answered
	Late       time.Duration // made after this time, on its condition, and not answered
}

// SetWriteFate makes the store ask fate what becomes of each transaction; nil ends that. The calls don't overlap.
func (s *Store) SetWriteFate(fate func() WriteFate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeFate = fate
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
