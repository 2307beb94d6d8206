package inventory

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RoleEntry is the Role of the VMs that run this program; every other role belongs to a
// backend server.
const RoleEntry = "entry"

const (
	// maxNameBytes bounds each text of an Item received from a peer.
	maxNameBytes = 256
	// maxAhead limits the times that a peer sends. If a time is more than maxAhead ahead of
	// this node's clock, this node ignores the record or the newest readings that contain
	// the time.
	maxAhead = 24 * time.Hour
)

// Item is one entry of the VM list: a backend server or an entry VM.
type Item struct {
	_             struct{} `cbor:",toarray"`
	ID            string   // of the backend server or the node
	VM            string
	Addr          string // host:port
	FailureDomain string
	Role          string
	Service       string // name of the service, for a backend server that is not a model engine
	ChecksFence   bool
	Leaving       bool
}

// key identifies an entry. It contains the kind of the entry, because a node and a
// backend server may have the same id.
func (i Item) key() string {
	if i.Role == RoleEntry {
		return "e/" + i.ID
	}
	return "b/" + i.ID
}

func (i Item) compare(o Item) int {
	return cmp.Or(
		compareBool(i.Leaving, o.Leaving),
		cmp.Compare(i.Addr, o.Addr),
		cmp.Compare(i.VM, o.VM),
		cmp.Compare(i.FailureDomain, o.FailureDomain),
		cmp.Compare(i.Role, o.Role),
		cmp.Compare(i.Service, o.Service),
		compareBool(i.ChecksFence, o.ChecksFence),
		cmp.Compare(i.ID, o.ID),
	)
}

// sameIncarnation reports whether both items show the same VM at the same address.
func (i Item) sameIncarnation(o Item) bool { return i.VM == o.VM && i.Addr == o.Addr }

// Record is the known state of one entry of the VM list. (At, Reader) orders the
// readings from which records come; LeavingAt grows independently of that order, see
// Merge.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Item    Item
	Removed bool // the entry was removed from the list; the record is a tombstone
	// At is when the reader started the reading that first showed this state, in Unix
	// milliseconds of a hybrid clock. 0 means that no reader saw the entry change,
	// because the entry was on the first list that a node read.
	At     int64
	Reader string
	// FirstSeen is the At of the reading that first showed this incarnation of the VM.
	// LeavingAt is the latest At at which any reader saw the VM leaving; 0 means that
	// no reader did.
	FirstSeen, LeavingAt int64
}

// compare orders records by all fields except LeavingAt. The record of the newest reading
// comes last.
func (r Record) compare(o Record) int {
	return cmp.Or(
		cmp.Compare(r.At, o.At),
		cmp.Compare(r.Reader, o.Reader),
		compareBool(r.Removed, o.Removed),
		r.Item.compare(o.Item),
		cmp.Compare(r.FirstSeen, o.FirstSeen),
	)
}

// Merge joins two records of one key. The record of the newer reading prevails in all
// fields but LeavingAt, which becomes the greater value of the two records.
//
// Readers see the list through replicas that lag by different times, and messages
// arrive out of order. Without the order by time, a node would keep whatever record
// arrived last, and two nodes would differ for ever.
//
// A reading that is newer by its time may have seen outdated data, and then shows a leaving
// VM as live. Without LeavingAt, a node that missed the record that shows the VM leaving
// would receive only the record of that reading, and would send new work to a VM that is
// about to stop.
func Merge(a, b Record) Record {
	left := max(a.LeavingAt, b.LeavingAt)
	if a.compare(b) < 0 {
		a = b
	}
	a.LeavingAt = left
	return a
}

// MarkedLeaving reports whether a reader has seen this incarnation of the VM leaving. It
// returns true even if the newest reading shows the VM live again, because that reading
// may have seen older data.
func (r Record) MarkedLeaving() bool {
	return !r.Removed && (r.Item.Leaving || r.LeavingAt > 0 && r.LeavingAt >= r.FirstSeen)
}

// matches reports whether the record shows the same state of the entry as the item i of a
// reading.
func (r Record) matches(i Item) bool { return !r.Removed && r.Item == i }

// hash covers all fields, so that two nodes whose records differ in any field notice
// the difference.
func (r Record) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{
		r.Item.ID, r.Item.VM, r.Item.Addr, r.Item.FailureDomain, r.Item.Role, r.Item.Service, r.Reader,
	} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	var b [25]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(r.At))
	binary.LittleEndian.PutUint64(b[8:], uint64(r.FirstSeen))
	binary.LittleEndian.PutUint64(b[16:], uint64(r.LeavingAt))
	for bit, set := range []bool{r.Removed, r.Item.ChecksFence, r.Item.Leaving} {
		if set {
			b[24] |= 1 << bit
		}
	}
	d.Write(b[:])
	return d.Sum64()
}

// valid reports whether a record that a peer sent may be merged: it has an id, its texts
// are at most maxNameBytes long, and its times are neither negative nor more than maxAhead
// ahead of this node's clock. A time far ahead would prevail over every later reading, and
// after a time near the maximum there would be no greater time for a later reading.
func (r Record) valid(now time.Time) bool {
	if ahead := max(r.At, r.FirstSeen, r.LeavingAt) - now.UnixMilli(); ahead > maxAhead.Milliseconds() {
		return false
	}
	for _, s := range []string{
		r.Item.VM, r.Item.Addr, r.Item.FailureDomain, r.Item.Role, r.Item.Service, r.Reader,
	} {
		if len(s) > maxNameBytes {
			return false
		}
	}
	return r.Item.ID != "" && len(r.Item.ID) <= maxNameBytes && min(r.At, r.FirstSeen, r.LeavingAt) >= 0
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
