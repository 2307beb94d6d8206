package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"wigeondale/fleet"
	"wigeondale/routing"
)

// index holds the records of the known backend servers. A change of one record costs the same
// in a large fleet as in a small one: the candidates of a service are listed again only when
// they are read after a change.
type index struct {
	mu       sync.RWMutex
	byID     map[string]*record
	services map[string]*serviceIndex
}

// serviceIndex holds the records of one service that is not a model engine.
type serviceIndex struct {
	records map[*record]struct{}
	// candidates is the ordered list of the records' candidates, or nil if a record has
	// changed since the list was made. A list is never modified.
	candidates atomic.Pointer[[]routing.Candidate]
}

func newIndex() index {
	return index{byID: map[string]*record{}, services: map[string]*serviceIndex{}}
}

// get returns the record with the given id, or nil.
func (x *index) get(id string) *record {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.byID[id]
}

func (x *index) len() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return len(x.byID)
}

// all returns the records, ordered by id.
func (x *index) all() []*record {
	x.mu.RLock()
	out := make([]*record, 0, len(x.byID))
	for _, r := range x.byID {
		out = append(out, r)
	}
	x.mu.RUnlock()
	sortByID(out)
	return out
}

func sortByID(records []*record) {
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
}

// put adds a record, or notes that the candidate made from a record has changed. before is
// the service of the record's previous candidate, or "" for a new record or a model engine.
func (x *index) put(r *record, before string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.byID[r.id] = r
	service := r.service()
	if before != service {
		x.leaveService(r, before)
	}
	if service == "" {
		return
	}
	s := x.services[service]
	if s == nil {
		s = &serviceIndex{records: map[*record]struct{}{}}
		x.services[service] = s
	}
	s.records[r] = struct{}{}
	s.candidates.Store(nil)
}

// remove drops a record.
func (x *index) remove(r *record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.byID, r.id)
	x.leaveService(r, r.service())
}

// leaveService takes a record out of the list of a service. The caller holds x.mu.
func (x *index) leaveService(r *record, service string) {
	s := x.services[service]
	if s == nil {
		return
	}
	delete(s.records, r)
	s.candidates.Store(nil)
	if len(s.records) == 0 {
		delete(x.services, service)
	}
}

// candidates returns the candidates of a service, ordered by id.
func (x *index) candidates(service string) []routing.Candidate {
	x.mu.RLock()
	s := x.services[service]
	x.mu.RUnlock()
	if s == nil {
		return nil
	}
	if list := s.candidates.Load(); list != nil {
		return *list
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if list := s.candidates.Load(); list != nil { // made by another caller meanwhile
		return *list
	}
	records := make([]*record, 0, len(s.records))
	for r := range s.records {
		records = append(records, r)
	}
	sortByID(records)
	list := make([]routing.Candidate, 0, len(records))
	for _, r := range records {
		list = append(list, r.candidate())
	}
	s.candidates.Store(&list)
	return list
}

// service returns the service of a backend server that is not a model engine, and "" for a
// model engine.
func (r *record) service() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backend.Kind != fleet.Service {
		return ""
	}
	return r.backend.Service
}
