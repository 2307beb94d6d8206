package peer

import (
	"cmp"
	"fmt"
)

// Status is the liveness of a node as its peers report it.
type Status uint8

const (
	// Alive means that the neighbours of the node receive from it.
	Alive Status = iota
	// Suspect means that a neighbour no longer receives from the node.
	Suspect
	// Dead means that the node did not refute the suspicion in time, or that it
	// announced its shutdown.
	Dead
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	}
	return "dead"
}

// Record is the replicated state of one node; it is kept in memory only. Only
// the node itself changes its Incarnation, Version, Addr, FailureDomain, Ready
// and Leaving; other nodes may only raise Status.
type Record struct {
	_             struct{} `cbor:",toarray"`
	ID            string
	Addr          string // host:port of the peer listener
	FailureDomain string
	Incarnation   uint64 // increases with each start of the node
	Version       uint64 // increases with each change made by the node itself
	Status        Status
	Ready         bool
	Leaving       bool // never reset within an incarnation
}

func (r *Record) check() error {
	if r.ID == "" || len(r.ID) > maxNameBytes {
		return fmt.Errorf("node id is empty or too long: %d bytes", len(r.ID))
	}
	if len(r.Addr) > maxNameBytes || len(r.FailureDomain) > maxNameBytes {
		return fmt.Errorf("record of node %q: address or failure domain too long", r.ID)
	}
	if r.Status > Dead {
		return fmt.Errorf("unknown status %d", r.Status)
	}
	return nil
}

// Merge merges two records of one node. It is commutative, associative and idempotent,
// so that the members agree regardless of the order, repetition or delay of the records
// they receive. Without these properties, a delayed report could overwrite a newer
// report.
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

// compareRecords orders records of one incarnation. The fields compared after
// Status differ only if two processes use the same id; comparing them keeps the
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

// refute returns the record with which a node refutes a record about itself that it
// received from a peer, and whether the received record needs to be refuted.
//
// A node that was paused or cut off is marked suspect or dead by its peers. If the node
// did not refute that status, it would stay dead for its peers although it serves
// requests. A received record with a higher incarnation than the node's own means that
// the node's clock was set back before a restart. The node then continues with an
// incarnation above the received one, because otherwise its records would lose every
// merge.
func refute(self, received Record) (Record, bool) {
	if received.Incarnation > self.Incarnation {
		self.Incarnation = received.Incarnation + 1
		self.Version++
		return self, true
	}
	if received.Incarnation < self.Incarnation || compareRecords(received, self) <= 0 {
		return self, false
	}
	self.Version = max(self.Version, received.Version) + 1
	return self, true
}
