package hosted

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

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
	items, all, at := []Item{}, s.items, s.revision
	if s.stale != nil && r.URL.Query().Get("stale_read") == "1" {
		all, at = s.stale.items, s.stale.revision
	}
	for key, i := range all {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	n := pageOf(items)
	writeJSON(w, map[string]any{"items": items[:n], "has_more": n < len(items), "at": at})
}

// pageOf returns how many items fit into a page.
func pageOf(items []Item) (n int) {
	const maxItems, maxBytes = 50, 1 << 20
	for bytes := 0; n < min(len(items), maxItems) && (n == 0 || bytes+len(items[n].Value) <= maxBytes); n++ {
		bytes += len(items[n].Value)
	}
	return n
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

type storeTxn struct {
	Precondition []Item   `json:"precondition"`
	Writes       []Item   `json:"writes"`
	Deletes      []string `json:"deletes"`
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t storeTxn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fate := s.fateOf(t)
	switch {
	case fate.Refused:
		http.Error(w, `{"error":"busy"}`, http.StatusServiceUnavailable)
		return
	case fate.Late > 0:
		time.AfterFunc(fate.Late, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.commit(t)
		})
		panic(http.ErrAbortHandler)
	case fate.Lost:
		panic(http.ErrAbortHandler)
	}
	status, body := s.commit(t)
	if fate.AnswerLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	writeJSON(w, body)
}

// commit applies a transaction if its precondition holds. The caller holds s.mu.
func (s *Store) commit(t storeTxn) (status int, body any) {
	for _, p := range t.Precondition {
		if s.items[p.Key].Revision != p.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []Item{s.items[p.Key]}}
		}
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && !s.granted[i.Lease] {
			return http.StatusNotFound, map[string]any{"error": "no such lease"}
		}
	}
	for _, i := range t.Writes {
		s.putLocked(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Deletes {
		s.deleteLocked(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// fateOf returns what becomes of a transaction. The caller holds s.mu.
func (s *Store) fateOf(t storeTxn) WriteFate {
	if slices.ContainsFunc(t.Writes, s.refusesWrite) {
		return WriteFate{Refused: true}
	}
	if s.writeFate != nil {
		return s.writeFate()
	}
	return WriteFate{}
}

// refusesWrite reports whether writes of an item's key fail. The caller holds s.mu.
func (s *Store) refusesWrite(i Item) bool {
	return slices.ContainsFunc(s.refused, func(prefix string) bool { return strings.HasPrefix(i.Key, prefix) })
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
