package peer

import (
	"cmp"
	"fmt"
)

// Status is what the members believe about one node.
type Status uint8

const (
	// Alive means that the node is heard by its neighbours.
	Alive Status = iota
	// Suspect means that a neighbour no longer hears the node.
	Suspect
	// Dead means that nobody refuted the suspicion in time, or that the node
	// said that it leaves.
	Dead
)

// String names the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	}
	return "dead"
}

// Record is the soft state about one node. Only the node itself changes its
// Incarnation, Version, Addr, FailureDomain, Ready and Leaving; others may only
// raise Status.
type Record struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Addr          string // host:port of the peer listener
	FailureDomain string
	Incarnation   uint64 // grows with each start of the node
	Version       uint64 // grows with each change made by the node itself
	Status        Status
	Ready         bool
	Leaving       bool // sticky within an incarnation
}

func (r *Record) check() error {
	if r.ID == "" || len(r.ID) > maxNameBytes {
		return fmt.Errorf("node id of %d bytes", len(r.ID))
	}
	if len(r.Addr) > maxNameBytes || len(r.FailureDomain) > maxNameBytes {
		return fmt.Errorf("record of %q too long", r.ID)
	}
	if r.Status > Dead {
		return fmt.Errorf("status %d", r.Status)
	}
	return nil
}

// Merge joins two records of one node. It is commutative, associative and
// idempotent, so members agree whatever the order, repetition or delay of what
// they hear: without that, a late rumour could undo a newer fact.
func Merge(a, b Record) Record {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return pick(c, a, b)
	}
	out := pick(compareRecords(a, b), a, b)
	out.Leaving = a.Leaving || b.Leaving
	return out
}

func pick(c int, a, b Record) Record {
	if c >= 0 {
		return a
	}
	return b
}

// compareRecords orders records of one incarnation. The fields behind Status
// only differ if two processes run under one id; the order on them keeps the
// merge well defined even then.
func compareRecords(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Status, b.Status),
		cmp.Compare(a.Addr, b.Addr),
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		compareBool(a.Ready, b.Ready),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// refute returns the record that node self answers a rumour about itself with,
// and whether an answer is needed.
//
// A node that was frozen or cut off is called suspect or dead by the others. If
// it did not answer, it would stay dead for them although it serves. A rumour
// with a higher incarnation than its own means that the clock went back over a
// restart; the node then steps over it, or its records would lose every merge.
func refute(self, rumour Record) (Record, bool) {
	if rumour.Incarnation > self.Incarnation {
		self.Incarnation = rumour.Incarnation + 1
		self.Version++
		return self, true
	}
	if rumour.Incarnation < self.Incarnation || compareRecords(rumour, self) <= 0 {
		return self, false
	}
	self.Version = max(self.Version, rumour.Version) + 1
	return self, true
}
