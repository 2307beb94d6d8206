package inventory

import (
	"time"

	"wigeondale/peer"
)

const (
	// readersPerDomain is how many nodes of each failure domain read the list. One
	// reader would not be enough: after it crashes or loses contact, no node of the failure
	// domain would read the list until the other nodes notice that.
	readersPerDomain = 2
	// silence is how long a node waits for an update about any reader's reading before
	// it reads the list itself. It is several times as long as such an update takes to
	// reach the whole fleet by digests.
	silence = time.Minute
)

// Duty states whether a node reads the VM list, and why.
type Duty int

// The duties of a node.
const (
	NotReader      Duty = iota // other nodes read the list
	Reader                     // the node is one of the chosen readers of its failure domain
	FallbackReader             // the node isn't chosen, but gets no updates from a chosen reader
)

// String names the duty in dumps.
func (d Duty) String() string { return [...]string{"rests", "reads", "alone"}[d] }

// View is what a node knows when it chooses its duty.
type View struct {
	Members       []peer.Member // all visible members, including this node
	FailureDomain string
	// Silence is how long ago the last update about a reading arrived, by this node's
	// own clock; the readers' clocks need not agree with it.
	Silence time.Duration
	// FallbackActive reports that this node has read as a fallback, and that no chosen reader
	// has reported a reading since.
	FallbackActive bool
}

// Choose determines a node's duty. A reader that is leaving goes on reading until it
// stops; by then the other nodes have already chosen another reader. Nodes that see
// different members choose differently, which costs some extra readings. A node that
// gets no updates reads as a fallback, since the chosen readers may be up and unable to
// read. The fallback reader goes on until a chosen reader reports a reading. If it
// stopped at its own update, or at the update of another fallback reader, no node would
// read twice, although only two readings of one node show a change.
func Choose(v View) Duty {
	var near []peer.Member
	for _, m := range v.Members {
		if m.FailureDomain == v.FailureDomain && (m.Self || m.Alive && !m.Leaving) {
			near = append(near, m)
		}
	}
	if peer.ContainsSelf(peer.Rendezvous("inventory/"+v.FailureDomain, near, readersPerDomain)) {
		return Reader
	}
	if v.FallbackActive || v.Silence >= silence {
		return FallbackReader
	}
	return NotReader
}
