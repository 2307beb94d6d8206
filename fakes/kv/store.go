// Package kv is a fake of the platform's key-value service. It implements the JSON gateway
// of etcd v3: range, put, txn, deleterange, leases and watches. It counts calls by kind and
// has switches for outages, delays, and writes that are applied but get no response.
package kv

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("fake kv")

var (
	errTooLarge = Error.New("request is too large")
	errNoLease  = Error.New("requested lease not found")
	errNoKey    = Error.New("key is not provided")
	errCompare  = Error.New("unknown target or result of a compare")
)

const (
	maxValue   = 1 << 20 // bytes
	maxHistory = 1 << 16 // events kept for watches from an earlier revision
	typeDelete = "DELETE"
)

// store holds the keys, leases and history of the fake service. The methods txn,
// eventsSince, grant, keepAlive, revoke, expire and close take the lock; the other methods
// expect their caller to hold it.
type store struct {
	mu        sync.Mutex
	revision  int64
	keys      []string // sorted
	items     map[string]item
	leases    map[int64]*lease
	nextLease int64
	history   []change
	compacted int64         // changes up to this revision have been dropped from history
	changed   chan struct{} // closed and replaced at each change
}

type change struct {
	revision int64
	event    watchEvent
}

func newStore() *store {
	return &store{
		revision: 1,
		items:    make(map[string]item),
		leases:   make(map[int64]*lease),
		changed:  make(chan struct{}),
	}
}

func (s *store) header() *header { return s.headerAt(s.revision) }

func (s *store) headerAt(revision int64) *header {
	return &header{ClusterID: 1, MemberID: 1, Revision: Int(revision), RaftTerm: 1}
}

// keysInRange returns the keys in [key, end). An empty end means the key alone, and an end
// of one zero byte means all keys from key on.
func (s *store) keysInRange(key, end []byte) []string {
	from, found := slices.BinarySearch(s.keys, string(key))
	if len(end) == 0 {
		if !found {
			return nil
		}
		return s.keys[from : from+1]
	}
	if bytes.Equal(end, []byte{0}) {
		return s.keys[from:]
	}
	to, _ := slices.BinarySearch(s.keys, string(end))
	return s.keys[from:max(from, to)]
}

func inRange(k, key, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(k, key)
	}
	if bytes.Compare(k, key) < 0 {
		return false
	}
	return bytes.Equal(end, []byte{0}) || bytes.Compare(k, end) < 0
}

func (s *store) applyRange(r *rangeRequest) *rangeResponse {
	keys := s.keysInRange(r.Key, r.RangeEnd)
	resp := &rangeResponse{Header: s.header(), Count: Int(len(keys))}
	if r.CountOnly {
		return resp
	}
	if r.SortOrder == "DESCEND" {
		keys = slices.Clone(keys)
		slices.Reverse(keys)
	}
	if r.Limit > 0 && len(keys) > int(r.Limit) {
		keys = keys[:r.Limit]
		resp.More = true
	}
	for _, k := range keys {
		it := s.items[k]
		if r.KeysOnly {
			it.Value = nil
		}
		resp.Kvs = append(resp.Kvs, it)
	}
	return resp
}

// applyPut writes a key at the given revision, which the caller commits.
func (s *store) applyPut(r *putRequest, revision int64) *putResponse {
	k := string(r.Key)
	resp := &putResponse{Header: s.headerAt(revision)}
	it, exists := s.items[k]
	if exists && r.PrevKV {
		prev := it
		resp.PrevKV = &prev
	}
	if !exists {
		at, _ := slices.BinarySearch(s.keys, k)
		s.keys = slices.Insert(s.keys, at, k)
		it = item{Key: r.Key, CreateRevision: Int(revision)}
	}
	s.detachLease(it)
	it.ModRevision = Int(revision)
	it.Version++
	it.Value = r.Value
	it.Lease = r.Lease
	s.items[k] = it
	if l := s.leases[int64(r.Lease)]; l != nil {
		l.keys[k] = struct{}{}
	}
	s.record(change{revision, watchEvent{KV: it}})
	return resp
}

func (s *store) applyDelete(r *deleteRequest, revision int64) *deleteResponse {
	resp := &deleteResponse{Header: s.headerAt(revision)}
	for _, k := range slices.Clone(s.keysInRange(r.Key, r.RangeEnd)) {
		it := s.items[k]
		if r.PrevKV {
			resp.PrevKVs = append(resp.PrevKVs, it)
		}
		resp.Deleted++
		s.detachLease(it)
		delete(s.items, k)
		at, _ := slices.BinarySearch(s.keys, k)
		s.keys = slices.Delete(s.keys, at, at+1)
		tombstone := item{Key: it.Key, ModRevision: Int(revision)}
		s.record(change{revision, watchEvent{Type: typeDelete, KV: tombstone}})
	}
	return resp
}

func (s *store) detachLease(it item) {
	if l := s.leases[int64(it.Lease)]; l != nil {
		delete(l.keys, string(it.Key))
	}
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistory {
		drop := len(s.history) - maxHistory/2
		s.compacted = s.history[drop-1].revision
		s.history = slices.Clone(s.history[drop:])
	}
}

// commit makes the changes of a revision visible to watches.
func (s *store) commit(revision int64) {
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// txn evaluates the compares of a transaction and applies the branch that they select as a
// single revision. If there is an error, it applies nothing.
func (s *store) txn(r *txnRequest) (*txnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &txnResponse{Succeeded: true}
	for _, c := range r.Compare {
		ok, err := s.evaluate(c)
		if err != nil {
			return nil, err
		}
		resp.Succeeded = resp.Succeeded && ok
	}
	ops := r.Failure
	if resp.Succeeded {
		ops = r.Success
	}
	if err := s.checkOps(ops); err != nil {
		return nil, err
	}
	revision, before := s.revision+1, len(s.history)
	writes := false
	for _, op := range ops {
		resp.Responses = append(resp.Responses, s.applyOp(op, revision))
		writes = writes || op.Put != nil || op.Delete != nil && len(s.history) != before
	}
	if writes {
		s.commit(revision)
	}
	resp.Header = s.header()
	return resp, nil
}

func (s *store) checkOps(ops []operation) error {
	for _, op := range ops {
		switch {
		case op.Put != nil && len(op.Put.Key) == 0:
			return errNoKey
		case op.Put != nil && len(op.Put.Value) > maxValue:
			return errTooLarge
		case op.Put != nil && op.Put.Lease != 0 && s.leases[int64(op.Put.Lease)] == nil:
			return errNoLease
		}
	}
	return nil
}

func (s *store) applyOp(op operation, revision int64) operationResponse {
	switch {
	case op.Range != nil:
		return operationResponse{Range: s.applyRange(op.Range)}
	case op.Put != nil:
		return operationResponse{Put: s.applyPut(op.Put, revision)}
	case op.Delete != nil:
		return operationResponse{Delete: s.applyDelete(op.Delete, revision)}
	}
	return operationResponse{}
}

// evaluate evaluates a compare. A missing key has version and revisions zero.
func (s *store) evaluate(c compare) (bool, error) {
	it := s.items[string(c.Key)]
	var order int
	switch c.Target {
	case "", "VERSION":
		order = cmp.Compare(it.Version, c.Version)
	case "CREATE":
		order = cmp.Compare(it.CreateRevision, c.CreateRevision)
	case "MOD":
		order = cmp.Compare(it.ModRevision, c.ModRevision)
	case "LEASE":
		order = cmp.Compare(it.Lease, c.Lease)
	case "VALUE":
		order = bytes.Compare(it.Value, c.Value)
	default:
		return false, errCompare
	}
	switch c.Result {
	case "", "EQUAL":
		return order == 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	}
	return false, errCompare
}

// eventsSince returns the changes in a watch's range from a revision on, the current revision,
// and a channel that is closed at the next change. ok is false if changes have been dropped.
func (s *store) eventsSince(w *watchCreate, from int64) (events []watchEvent, now header, ok bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, *s.header(), false, s.changed
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= from })
	for _, c := range s.history[first:] {
		if inRange(c.event.KV.Key, w.Key, w.RangeEnd) {
			events = append(events, c.event)
		}
	}
	return events, *s.header(), true, s.changed
}
