package waitorder

import "time"

// Bounds of a message. A message that violates one of them is dropped.
const (
	maxEntries      = 20
	maxServiceBytes = 128
	maxWaitedMS     = 600_000
	maxStated       = 1 << 48
)

// Kinds of entries.
const (
	entryWaits   = iota // a request of this priority waits
	entryStopped        // no request of this priority waits any more
	entryTurn           // a request of this priority was granted a slot although more urgent ones wait
	entryKinds
)

// Entry is one statement of a router. Age is the time since the origin made the statement; the
// routers that pass it on add the time for which they held it, and only the origin makes a new one.
type Entry struct {
	Service  string `cbor:"1,keyasint"`
	Priority uint8  `cbor:"2,keyasint"`
	WaitedMS uint32 `cbor:"3,keyasint,omitempty"` // for which the first request had waited when the statement was made
	AgeMS    uint32 `cbor:"4,keyasint,omitempty"`
	// Origin is a random number of the process that made the statement, and Stated grows with each of
	// its statements. A router accepts each statement once, so that routers that pass a
	// statement to each other don't keep it alive.
	Origin uint32 `cbor:"5,keyasint"`
	Stated uint64 `cbor:"6,keyasint"`
	Kind   uint8  `cbor:"7,keyasint,omitempty"`
}

// Message is what a router sends over its links.
type Message struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Validate returns an error if a number or length in the message is out of bounds.
func (m *Message) Validate() error {
	if len(m.Entries) > maxEntries {
		return Error.New("%d entries", len(m.Entries))
	}
	for i := range m.Entries {
		e := &m.Entries[i]
		switch {
		case e.Service == "" || len(e.Service) > maxServiceBytes:
			return Error.New("a service name of %d bytes", len(e.Service))
		case e.Priority > MaxPriority:
			return Error.New("priority %d", e.Priority)
		case e.WaitedMS > maxWaitedMS || e.AgeMS > uint32(Lifetime.Milliseconds()):
			return Error.New("a wait of %d ms, %d ms ago", e.WaitedMS, e.AgeMS)
		case e.Stated == 0 || e.Stated > maxStated:
			return Error.New("statement number %d", e.Stated)
		case e.Kind >= entryKinds:
			return Error.New("kind %d", e.Kind)
		}
	}
	return nil
}

// size returns the approximate size of the entry in a message, in bytes.
func (e *Entry) size() int { return 22 + len(e.Service) }

func msOf(d time.Duration, limit uint32) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(limit)))
}
