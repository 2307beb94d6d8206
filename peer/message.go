package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// protocolVersion is incremented whenever nodes of the old and the new version
// could misinterpret each other's messages.
const protocolVersion = 1

// The decoder enforces these limits in addition to the limit on the size of the message.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
	maxNesting       = 16
	maxNameBytes     = 256 // node id, address, failure domain, kind
	maxSyncRecords   = 64  // member records in one message
)

// frameType is the type of a message on a link.
type frameType uint8

const (
	typeHeartbeat frameType = 1 + iota
	typeRecords
	typeSync
	typeRevisions
	typeFlood
	typeCall
	typeReply
	frameTypes // number of types, plus one
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

// frame is the envelope of every message on a link after the handshake.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Type frameType
	Kind string          // flood, call
	ID   uint64          // flood, call, reply
	From string          // node that sent the flood or made the call
	To   string          // callee of a call that the receiver relays
	Arg  uint64          // flood: hops so far; call: timeout in ms; reply: Code
	Body cbor.RawMessage // content, whose type depends on Type and Kind
}

// heartbeat is the body of typeHeartbeat: the parts of a Summary that change
// often. Readiness changes rarely and is part of the Record.
type heartbeat struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Demand   map[string]float64
}

// recordBatch is the body of typeRecords: member records that have changed or that differ
// from the digest that the receiver has sent.
type recordBatch struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
	// More means that the batch was truncated at its limit, so the receiver should send
	// another digest to get the rest.
	More bool
}

// syncDigest is the body of typeSync: the sender's membership digest, one hash for each
// bucket of member records.
type syncDigest struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint64
	Reply   bool // set if the digest answers another one; no digest is sent back
}

// revisionLevel lists the members that have reached a revision.
type revisionLevel struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Reached  []byte // bit i is set if the i-th member, ordered by id, has reached Revision
}

// revisionDigest is the body of typeRevisions: which members have reached the highest
// revisions that the sender knows of.
type revisionDigest struct {
	_      struct{} `cbor:",toarray"`
	IDs    uint64   // hash of the ordered ids and incarnations that the bits of Levels refer to
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
		panic(err) // unreachable: the options are constant and valid
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
		panic(err) // unreachable: the options are constant and valid
	}
	return m
}

// encodeFrame encodes a frame with the given body.
func encodeFrame(f frame, body any) ([]byte, error) {
	raw, err := encMode.Marshal(body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Body = raw
	b, err := encMode.Marshal(f)
	return b, Error.Wrap(err)
}

// decodeFrame decodes a frame and checks the limits of its header.
func decodeFrame(b []byte) (frame, error) {
	var f frame
	if err := decMode.Unmarshal(b, &f); err != nil {
		return frame{}, Error.Wrap(err)
	}
	if f.Type == 0 || f.Type >= frameTypes {
		return frame{}, Error.New("unknown frame type %d", f.Type)
	}
	if len(f.Kind) > maxNameBytes || len(f.From) > maxNameBytes || len(f.To) > maxNameBytes {
		return frame{}, Error.New("frame header too long")
	}
	return f, nil
}

// decodeBody decodes the body of a control frame and checks its limits.
func decodeBody[T any](f frame, check func(*T) error) (T, error) {
	var v T
	if err := decMode.Unmarshal(f.Body, &v); err != nil {
		return v, Error.Wrap(err)
	}
	return v, Error.Wrap(check(&v))
}

func checkHeartbeat(h *heartbeat) error {
	if len(h.Demand) > maxDemandPerHeartbeat {
		return fmt.Errorf("heartbeat with too many demand entries: %d", len(h.Demand))
	}
	for account := range h.Demand {
		if len(account) > maxNameBytes {
			return fmt.Errorf("account name too long: %d bytes", len(account))
		}
	}
	return nil
}

func checkRecords(b *recordBatch) error {
	if len(b.Records) > maxSyncRecords {
		return fmt.Errorf("too many member records: %d", len(b.Records))
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
		return fmt.Errorf("membership digest with a wrong number of buckets: %d", len(d.Buckets))
	}
	return nil
}

func checkRevisions(d *revisionDigest) error {
	if len(d.Levels) > maxLevels {
		return fmt.Errorf("revision digest with too many levels: %d", len(d.Levels))
	}
	return nil
}
