package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// protocolVersion changes whenever two versions could misread each other.
const protocolVersion = 1

// Bounds on what a decoder accepts, whatever the size of the message.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
	maxNesting       = 16
	maxNameBytes     = 256 // node id, address, failure domain, kind
	maxSyncRecords   = 64  // member records in one message
)

// frameType tells the messages of a link apart.
type frameType uint8

const (
	typeHeartbeat frameType = 1 + iota
	typeRecords
	typeSync
	typeRevisions
	typeFlood
	typeCall
	typeReply
	frameTypes
)

var frameNames = [frameTypes]string{
	typeHeartbeat: "heartbeat",
	typeRecords:   "records",
	typeSync:      "sync",
	typeRevisions: "revisions",
	typeFlood:     "flood",
	typeCall:      "call",
	typeReply:     "reply",
}

// frame is the one message form of a link after the handshake.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Type frameType
	Kind string          // flood, call
	ID   uint64          // flood, call, reply
	From string          // origin of a flood or a call
	To   string          // callee of a call that is to be relayed
	Arg  uint64          // flood: hops so far; call: timeout in ms; reply: Code
	Body cbor.RawMessage // by Type and Kind
}

// heartbeat is the body of typeHeartbeat: the parts of a Summary that change
// often. Readiness changes rarely and travels in the Record.
type heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Demand   map[string]float64
}

// recordBatch is the body of typeRecords.
type recordBatch struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
	// More asks the receiver to sync again: the batch was cut at its bound.
	More bool
}

// syncDigest is the body of typeSync.
type syncDigest struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint64
	Reply   bool // set on an answer, which is not answered again
}

// revisionLevel says which members have reached a revision.
type revisionLevel struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Reached  []byte // bit i: the i-th member in the order of ids
}

// revisionDigest is the body of typeRevisions.
type revisionDigest struct {
	_      struct{} `cbor:",toarray"`
	IDs    uint64   // hash of the ordered ids and incarnations that the bits refer to
	Levels []revisionLevel
	Reply  bool
}

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants: no input can lead here
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants: no input can lead here
	}
	return m
}

// encodeFrame renders a frame around a body.
func encodeFrame(f frame, body any) ([]byte, error) {
	raw, err := encMode.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Body = raw
	b, err := encMode.Marshal(f)
	return b, Error.Wrap(err)
}

// decodeFrame reads a frame and checks the bounds of its header.
func decodeFrame(b []byte) (frame, error) {
	var f frame
	if err := decMode.Unmarshal(b, &f); err != nil {
		return frame{}, Error.Wrap(err)
	}
	if f.Type == 0 || f.Type >= frameTypes {
		return frame{}, Error.New("frame type %d", f.Type)
	}
	if len(f.Kind) > maxNameBytes || len(f.From) > maxNameBytes || len(f.To) > maxNameBytes {
		return frame{}, Error.New("frame header too long")
	}
	return f, nil
}

// decodeBody reads the body of a control frame and checks its bounds.
func decodeBody[T any](f frame, check func(*T) error) (T, error) {
	var v T
	if err := decMode.Unmarshal(f.Body, &v); err != nil {
		return v, Error.Wrap(err)
	}
	return v, Error.Wrap(check(&v))
}

func checkHeartbeat(h *heartbeat) error {
	if len(h.Demand) > maxDemandPerBeat {
		return fmt.Errorf("%d demand entries", len(h.Demand))
	}
	for account := range h.Demand {
		if len(account) > maxNameBytes {
			return fmt.Errorf("account of %d bytes", len(account))
		}
	}
	return nil
}

func checkRecords(b *recordBatch) error {
	if len(b.Records) > maxSyncRecords {
		return fmt.Errorf("%d records", len(b.Records))
	}
	for _, r := range b.Records {
		if err := r.check(); err != nil {
			return err
		}
	}
	return nil
}

func checkSync(d *syncDigest) error {
	if len(d.Buckets) != syncBuckets {
		return fmt.Errorf("%d buckets", len(d.Buckets))
	}
	return nil
}

func checkRevisions(d *revisionDigest) error {
	if len(d.Levels) > maxLevels {
		return fmt.Errorf("%d levels", len(d.Levels))
	}
	return nil
}
