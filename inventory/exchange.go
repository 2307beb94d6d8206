package inventory

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFlood is the maximum number of records in one flood. maxFloods is the maximum
	// number of floods after one reading. Changes that don't fit into these floods
	// reach the other nodes by digests.
	maxFlood  = 256
	maxFloods = 4
	// maxExchange bounds the bytes of records in one message, estimated by
	// Record.bytes. The bound is far below the maximum message size of package peer, so
	// that no message closes a link.
	maxExchange = 256 << 10
	// overhead is the maximum encoded size of a record without its texts, in bytes.
	overhead = 60
)

// Delta is the message that a reader floods after a reading: the changed records and
// the times of the newest readings.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	Newest  NewestReadings
	Records []Record
}

// Digest is a summary by which two nodes compare their inventories. Buckets, the hash
// of each bucket, is sent only if Root differs.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Root    uint64
	Newest  NewestReadings
	Buckets []uint64
}

// Batch holds all records of as many buckets as fit into one message.
type Batch struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint16 // in a request, the buckets that differ; nil in a response
	Done    int      // number of these buckets, from the first, whose records are in Records
	Records []Record
}

func (s *State) root() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	for _, h := range s.buckets {
		for i := range b {
			b[i] = byte(h >> (8 * i))
		}
		d.Write(b[:])
	}
	return d.Sum64()
}

// Digest returns a summary of the whole state that takes a few bytes: one hash over all
// buckets and the times of the newest readings.
func (s *State) Digest() Digest { return Digest{Root: s.root(), Newest: s.newest} }

// Answer returns the digest of this state for a node that sent the digest theirs, with the
// hash of each bucket if the roots of the two digests differ.
func (s *State) Answer(theirs Digest) Digest {
	d := s.Digest()
	if d.Root != theirs.Root {
		d.Buckets = slices.Clone(s.buckets[:])
	}
	return d
}

// Differing lists the buckets whose hash in a node's answer differs from the hash in this
// state.
func (s *State) Differing(answer Digest) []uint16 {
	if len(answer.Buckets) != bucketCount {
		return nil
	}
	var out []uint16
	for i, h := range answer.Buckets {
		if h != s.buckets[i] {
			out = append(out, uint16(i))
		}
	}
	return out
}

// Batch collects the records of the buckets, in the order of the buckets, as far as
// complete buckets fit into maxExchange bytes. The first bucket is always included
// completely, so that an exchange makes progress.
func (s *State) Batch(buckets []uint16) Batch {
	var wanted [bucketCount]bool
	for _, b := range buckets {
		wanted[b%bucketCount] = true
	}
	byBucket := map[uint16][]Record{}
	for key, r := range s.records {
		if b := bucketOf(key); wanted[b] {
			byBucket[uint16(b)] = append(byBucket[uint16(b)], r)
		}
	}
	out := Batch{Buckets: buckets}
	size := 0
	for n, b := range buckets {
		for _, r := range byBucket[b] {
			size += r.bytes()
		}
		if n > 0 && size > maxExchange {
			break
		}
		out.Records = append(out.Records, byBucket[b]...)
		out.Done = n + 1
	}
	return out
}

// Exchange merges a neighbour's batch and returns the current records of the buckets
// that the batch covered.
func (s *State) Exchange(b Batch, now time.Time) (answer Batch, changed []Record) {
	changed = s.Merge(b.Records, now)
	covered := b.Buckets[:min(max(b.Done, 0), len(b.Buckets), bucketCount)]
	answer = s.Batch(covered)
	answer.Buckets = nil
	return answer, changed
}

// bytes returns an upper estimate of the record's encoded size.
func (r Record) bytes() int {
	i := r.Item
	return overhead + len(i.ID) + len(i.VM) + len(i.Addr) + len(i.FailureDomain) + len(i.Role) + len(i.Service) + len(r.Reader)
}
