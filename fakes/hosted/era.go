package hosted

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// Copy is a copy of a store's contents at one moment.
type Copy struct {
	revision int64
	items    map[string]Item
	history  []Item
	leases   int64
	granted  map[int64]bool
}

// Copy copies the contents of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items), slices.Clone(s.history), s.leases, maps.Clone(s.granted)}
}

// GoBack makes the store come back from a copy: what was written since is gone, leases too, and
// revisions and lease numbers are given out again. Waiting watches get no answer of the earlier era.
func (s *Store) GoBack(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.Add(1)
	s.copiedAt = c.revision
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.leases, s.granted = c.leases, maps.Clone(c.granted)
	s.notifyChanged()
}

// Revision returns the revision of the latest change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Renewal is a renewal of a lease as the store received it.
type Renewal struct {
	Lease int64
	Era   int
}

// Renewals returns the renewals received so far.
func (s *Store) Renewals() []Renewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.renewals)
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	lease, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	s.renewals = append(s.renewals, Renewal{lease, int(s.era.Load())})
	exists := s.granted[lease]
	s.mu.Unlock()
	if !exists {
		http.Error(w, `{"error":"no such lease"}`, http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"ttl_ms": 1})
}

// eraWriter states the era of the store in each answer, as of the moment at which the answer begins.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// Write implements http.ResponseWriter.
func (w eraWriter) Write(b []byte) (int, error) {
	w.setEra()
	return w.ResponseWriter.Write(b)
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	w.setEra()
	w.ResponseWriter.WriteHeader(status)
}

func (w eraWriter) setEra() {
	if era := w.store.era.Load(); era > 0 {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
}

// Rewrite makes the operator and the replicas write again what the store has lost of its contents at an
// earlier moment, unless they have written something else since it came back.
func (s *Store) Rewrite(before Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range before.items {
		now, ok := s.items[key]
		if ownedByPlatform(key) && (!ok || now.Revision <= s.copiedAt && !bytes.Equal(now.Value, i.Value)) {
			s.putLocked(key, i.Value, i.Lease)
		}
	}
	for key, now := range s.items {
		if _, ok := before.items[key]; ownedByPlatform(key) && !ok && now.Revision <= s.copiedAt {
			s.deleteLocked(key)
		}
	}
}

// ownedByPlatform reports whether a key is written by the operator or a replica.
func ownedByPlatform(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}
