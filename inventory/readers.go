package inventory

import (
	"time"

	"wigeondale/peer"
)

const (
	// readersPerDomain is how many nodes of each failure domain read the list:
	// one may be down or cut off without anybody noticing.
	readersPerDomain = 2
	// silence is how long a node waits for news of any reader's reading. It is
	// several times what that news takes over the whole fleet by digests.
	silence = time.Minute
)

// Duty says whether a node reads the VM list itself.
type Duty int

// The duties of a node.
const (
	NotReader      Duty = iota // others read
	Reader                     // it is one of the readers of its failure domain
	FallbackReader             // it should not have to, but hears of no reader
)

// String names the duty in dumps.
func (d Duty) String() string { return [...]string{"rests", "reads", "alone"}[d] }

// View is what a node knows when it chooses its duty.
type View struct {
	Members       []peer.Member // all that are visible, this node among them
	FailureDomain string
	// Silence is how long ago the last news of a reading came, by this node's
	// own clock; readers' clocks need not agree with it.
	Silence time.Duration
	// FallbackActive tells that this node has read alone, and that no chosen reader
	// was heard since.
	FallbackActive bool
}

// Choose gives a node its duty. A reader that is leaving reads to its end, when
// the others have chosen another one already. Nodes that see different members
// choose differently, which costs some extra readings; a node that hears of no
// reader reads by itself, since the chosen ones may be up and unable to read. It
// goes on until one of them is heard: if it stopped at its own news, or at that
// of another node that reads alone, no node would read twice, and only two
// readings of one node show a change.
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
