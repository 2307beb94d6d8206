package intent

import (
	"github.com/fxamacker/cbor/v2"
)

// EncodeRevision returns the encoding of r that is stored in the log.
func EncodeRevision(r Revision) ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, Error.Wrap(err)
}

// DecodeRevision decodes the output of EncodeRevision.
func DecodeRevision(b []byte) (Revision, error) {
	var r Revision
	err := cbor.Unmarshal(b, &r)
	return r, Error.Wrap(err)
}

// EncodeState returns the encoding of a state that snapshots contain and peers receive.
func EncodeState(s *State) ([]byte, error) {
	b, err := cbor.Marshal(s)
	return b, Error.Wrap(err)
}

// DecodeState decodes the output of EncodeState.
func DecodeState(b []byte) (*State, error) {
	var s State
	if err := cbor.Unmarshal(b, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	return s.filled(), nil
}

// entryRevision decodes a log entry. An entry that can't be decoded counts as a revision
// without changes, so that every node arrives at the same state and no node stops at the
// entry forever. The result is false for such an entry.
func entryRevision(e LogEntry) (Revision, bool) {
	r, err := DecodeRevision(e.Data)
	if err != nil {
		return Revision{N: e.N, PlanID: e.ID}, false
	}
	r.N = e.N
	return r, true
}
