package inventory

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// bucketCount is the number of parts in which two nodes compare their records. It
	// is large, so that for each part that differs only a few records are sent each
	// way.
	bucketCount = 256
	// tombstoneKeep is how long a removal is remembered. A node that was disconnected for
	// longer still has the removed entry and sends it to the other nodes, which accept it.
	// A reader then removes the entry again, see Observer.
	tombstoneKeep = time.Hour
	// maxRecords is the maximum number of records; it bounds the memory that faulty
	// peers can fill.
	maxRecords = 65_536
)

// State is the merged inventory of one node. It has no lock, so its users must hold
// their own.
type State struct {
	records map[string]Record
	buckets [bucketCount]uint64 // xor of the records' hashes
	clock   int64               // highest At or reading time seen
	newest  NewestReadings
}

// NewestReadings holds the times of the newest readings known to a node.
type NewestReadings struct {
	_       struct{} `cbor:",toarray"`
	Reading int64    // time of the newest reading by any node
	Chosen  int64    // time of the newest reading by one of the chosen readers
}

// NewState returns an empty State.
func NewState() *State { return &State{records: map[string]Record{}} }

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// Merge merges records into the state and returns the records that changed it. It ignores
// invalid records, removals of unknown entries that are older than tombstoneKeep, and
// unknown entries beyond maxRecords.
func (s *State) Merge(in []Record, now time.Time) []Record {
	var changed []Record
	for _, r := range in {
		if !r.valid(now) {
			continue
		}
		if s.merge(r, now) {
			changed = append(changed, r)
		}
	}
	return changed
}

func (s *State) merge(r Record, now time.Time) bool {
	key := r.Item.key()
	old, known := s.records[key]
	if !known && (expired(r, now) || len(s.records) >= maxRecords) {
		return false
	}
	next := r
	if known {
		next = Merge(old, r)
	}
	if known && next == old {
		return false
	}
	s.put(key, old, next, known)
	return true
}

func (s *State) put(key string, old, next Record, known bool) {
	b := bucketOf(key)
	if known {
		s.buckets[b] ^= old.hash()
	}
	s.buckets[b] ^= next.hash()
	s.records[key] = next
	s.clock = max(s.clock, next.At)
}

// Expire drops the records of entries that were removed from the VM list longer ago than
// tombstoneKeep.
func (s *State) Expire(now time.Time) {
	for key, r := range s.records {
		if expired(r, now) {
			s.buckets[bucketOf(key)] ^= r.hash()
			delete(s.records, key)
		}
	}
}

func expired(r Record, now time.Time) bool {
	return r.Removed && now.UnixMilli()-r.At > tombstoneKeep.Milliseconds()
}

// RecordReadings records the newest readings known to another node, and reports for
// each of the two times whether it is newer than the time known here.
func (s *State) RecordReadings(h NewestReadings, now time.Time) (reading, chosen bool) {
	if max(h.Reading, h.Chosen)-now.UnixMilli() > maxAhead.Milliseconds() {
		return false, false
	}
	reading, chosen = h.Reading > s.newest.Reading, h.Chosen > s.newest.Chosen
	s.newest.Reading = max(s.newest.Reading, h.Reading)
	s.newest.Chosen = max(s.newest.Chosen, h.Chosen)
	s.clock = max(s.clock, s.newest.Reading)
	return reading, chosen
}

// nextStamp returns a time after all times seen so far, so that the later reading of a
// reader whose clock is behind still prevails over the earlier records.
func (s *State) nextStamp(started time.Time) int64 {
	s.clock = max(started.UnixMilli(), s.clock+1)
	return s.clock
}

// Live returns the records of the entries that are on the VM list.
func (s *State) Live() []Record {
	out := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		if !r.Removed {
			out = append(out, r)
		}
	}
	return out
}
