package intent

import (
	"github.com/fxamacker/cbor/v2"
)

// EncodeRevision returns the form of r that is kept in the log.
func EncodeRevision(r Revision) ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, Error.Wrap(err)
}

// DecodeRevision reads what EncodeRevision wrote.
func DecodeRevision(b []byte) (Revision, error) {
	var r Revision
	err := cbor.Unmarshal(b, &r)
	return r, Error.Wrap(err)
}

// EncodeState returns a state as kept in snapshots and sent to peers.
func EncodeState(s *State) ([]byte, error) {
	b, err := cbor.Marshal(s)
	return b, Error.Wrap(err)
}

// DecodeState reads what EncodeState wrote.
func DecodeState(b []byte) (*State, error) {
	var s State
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	return s.filled(), nil
}

// entryRevision reads a log entry. One that can't be read counts as a revision
// without changes: every node must come to the same state, and none may be
// stopped for good by it.
func entryRevision(e LogEntry) (Revision, bool) {
	r, err := DecodeRevision(e.Data)
	if err != nil {
		return Revision{N: e.N, PlanID: e.ID}, false
	}
	r.N = e.N
	return r, true
}
