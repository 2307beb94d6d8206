package inventory

import (
	"time"

	"wigeondale/peer"
)

const (
	// readersPerDomain is how many nodes of each failure domain read the list: one may
	// be down or cut off without its peers noticing.
	readersPerDomain = 2
	// silence is how long a node waits for an update about any reader's reading. It is
	// several times the time that such an update takes to reach the whole fleet by
	// digests.
	silence = time.Minute
)

// Duty is the part that a node has in reading the VM list.
type Duty int

// The duties of a node.
const (
	NotReader      Duty = iota // others read
	Reader                     // it is one of the chosen readers of its failure domain
	FallbackReader             // fallback: it isn't chosen, but gets no updates from a chosen reader
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

// Choose determines a node's duty. A reader that is leaving reads until it stops, when
// the others have already chosen another one. Nodes that see different members choose
// differently, which costs some extra readings. A node that gets no updates reads as a
// fallback, since the chosen readers may be up and unable to read. It goes on until a
// chosen reader reports: if it stopped at its own update, or at that of another
// fallback reader, no node would read twice, and only two readings of one node show a
// change.
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
