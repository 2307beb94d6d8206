package peer

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// syncBuckets is the number of buckets, and thus of hashes, in a membership
// digest.
const syncBuckets = 64

// entry is this node's state about one member.
type entry struct {
	rec            Record
	hash           uint64
	statusSince    time.Time
	leavingSince   time.Time // zero if the member isn't leaving
	lastReceived   time.Time
	neighbourSince time.Time
	neighbour      bool
	revision       uint64
	demand         map[string]float64 // by client account; kept for linked members only
}

// table holds the members, including this node. It is guarded by Mesh.mu.
type table struct {
	byID    map[string]*entry
	buckets [syncBuckets]uint64 // xor of the hashes of the records that are not dead
	ids     []string            // ordered ids of the members that are not dead; nil if outdated
	idsHash uint64              // hash of ids and their incarnations
}

func newTable() *table {
	return &table{byID: make(map[string]*entry)}
}

// merge merges a record into the table and reports whether anything changed.
//
// A dead record of an unknown node is ignored. Otherwise two nodes that drop the record
// at different times would send it back to each other forever.
func (t *table) merge(now time.Time, r Record) bool {
	e, known := t.byID[r.ID]
	if !known {
		if r.Status == Dead || len(t.byID) >= maxMembers {
			return false
		}
		e = &entry{statusSince: now}
		t.byID[r.ID] = e
		t.setRecord(now, e, r)
		t.ids = nil
		return true
	}
	out := Merge(e.rec, r)
	if out == e.rec {
		return false
	}
	if out.Status != e.rec.Status {
		e.statusSince = now
		t.ids = nil
	}
	if out.Incarnation != e.rec.Incarnation {
		e.revision = 0
		e.demand = nil
		e.leavingSince = time.Time{}
		e.neighbourSince = now
		t.ids = nil
	}
	t.removeHash(e)
	t.setRecord(now, e, out)
	return true
}

// remove drops the record of a member.
func (t *table) remove(id string) {
	e, ok := t.byID[id]
	if !ok {
		return
	}
	t.removeHash(e)
	delete(t.byID, id)
	t.ids = nil
}

func (t *table) setRecord(now time.Time, e *entry, r Record) {
	switch {
	case !r.Leaving:
		e.leavingSince = time.Time{}
	case e.leavingSince.IsZero():
		e.leavingSince = now
	}
	e.rec = r
	e.hash = recordHash(r)
	t.buckets[bucketOf(r.ID)] ^= e.hash
}

func (t *table) removeHash(e *entry) {
	t.buckets[bucketOf(e.rec.ID)] ^= e.hash
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % syncBuckets)
}

// recordHash returns the hash of a record in the digest. It is zero for a dead
// record, so that the digests of two nodes agree even if only one of them has
// dropped the record already.
func recordHash(r Record) uint64 {
	if r.Status == Dead {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.ID, r.Addr, r.FailureDomain} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	var b [19]byte
	binary.BigEndian.PutUint64(b[0:], r.Incarnation)
	binary.BigEndian.PutUint64(b[8:], r.Version)
	b[16] = byte(r.Status)
	b[17] = boolByte(r.Ready)
	b[18] = boolByte(r.Leaving)
	d.Write(b[:])
	return d.Sum64()
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// live returns the ordered ids of the members that are not dead and the hash of
// the ids and incarnations. The slice is shared and must not be modified.
func (t *table) live() ([]string, uint64) {
	if t.ids != nil {
		return t.ids, t.idsHash
	}
	t.ids = make([]string, 0, len(t.byID))
	for id, e := range t.byID {
		if e.rec.Status != Dead {
			t.ids = append(t.ids, id)
		}
	}
	slices.Sort(t.ids)
	var d xxhash.Digest
	d.Reset()
	for _, id := range t.ids {
		d.WriteString(id)
		d.Write(binary.BigEndian.AppendUint64([]byte{0}, t.byID[id].rec.Incarnation))
	}
	t.idsHash = d.Sum64()
	return t.ids, t.idsHash
}

// differing returns the records of the buckets whose hash differs from the remote
// node's, beginning at bucket start. It returns at most max records and reports whether
// it left out any because of that limit.
func (t *table) differing(remote []uint64, start, max int) ([]Record, bool) {
	var differs [syncBuckets]bool
	any := false
	for i := range differs {
		differs[i] = remote[i] != t.buckets[i]
		any = any || differs[i]
	}
	if !any {
		return nil, false
	}
	var found []Record
	for _, e := range t.byID {
		if differs[bucketOf(e.rec.ID)] {
			found = append(found, e.rec)
		}
	}
	rank := func(r Record) int {
		return (bucketOf(r.ID) + syncBuckets - start) % syncBuckets
	}
	slices.SortFunc(found, func(a, b Record) int { return rank(a) - rank(b) })
	if len(found) <= max {
		return found, false
	}
	return found[:max], true
}
