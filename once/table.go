package once

import (
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// entry is the data of one log entry: either a batch of operations or the removal of
// expired claims.
type entry struct {
	Ops []Op `cbor:"1,keyasint,omitempty"`
	// AtUnix is the wall clock of the writer, in seconds since the epoch.
	AtUnix int64 `cbor:"2,keyasint"`
	// ExpireBeforeUnix removes the claims made before it, in seconds since the
	// epoch; 0 removes none. Expiry is an operation in the log so that every reader
	// removes the same claims at the same position. If each reader used its own
	// clock, two readers could disagree on which attempt holds a key.
	ExpireBeforeUnix int64 `cbor:"3,keyasint,omitempty"`
}

// claim is the state of one key. It is small because the table has one for each
// key used within the window.
type claim struct {
	attempt   string
	body      [16]byte
	claimedAt uint32 // latest AtUnix in the log up to the claim
	holder    uint16 // index into table.nodes
	state     State
}

// table is the state of one shard at a position of its log.
type table struct {
	claims      map[KeyID]claim
	nodes       []string
	nodeIndexes map[string]uint16
	latest      uint32 // highest AtUnix so far
}

func newTable() *table {
	return &table{claims: make(map[KeyID]claim), nodeIndexes: make(map[string]uint16)}
}

// apply applies one entry of the log. Entries must be applied in log order, because the
// first claim of a key holds the key.
func (t *table) apply(e entry) {
	t.latest = max(t.latest, clampSeconds(e.AtUnix))
	for _, op := range e.Ops {
		t.applyOp(op)
	}
	if e.ExpireBeforeUnix > 0 {
		t.expire(clampSeconds(e.ExpireBeforeUnix))
	}
}

func clampSeconds(s int64) uint32 { return uint32(min(max(s, 0), math.MaxUint32)) }

func (t *table) applyOp(op Op) {
	existing, ok := t.claims[op.Key]
	switch op.Kind {
	case OpClaim:
		if !ok || existing.state == Voided && existing.attempt != op.Attempt {
			t.put(op, Claimed)
		}
	case OpVoid:
		// A void may precede its claim in the log if the claim was forwarded and
		// delayed. The void is kept, so that the delayed claim does not get the key.
		if !ok || existing.attempt == op.Attempt {
			t.put(op, Voided)
		}
	}
}

func (t *table) put(op Op, s State) {
	t.claims[op.Key] = claim{
		attempt:   op.Attempt,
		body:      op.Body,
		claimedAt: t.latest,
		holder:    t.nodeIndex(op.Node),
		state:     s,
	}
}

// nodeIndex returns the index of a node name and adds the name if it is not in the
// table yet. Once all indexes are used, a new name is not stored: it gets index 0,
// which stands for the name "".
func (t *table) nodeIndex(name string) uint16 {
	if i, ok := t.nodeIndexes[name]; ok {
		return i
	}
	if len(t.nodes) == 0 {
		t.nodes = append(t.nodes, "")
	}
	if len(t.nodes) > math.MaxUint16 {
		return 0
	}
	i := uint16(len(t.nodes))
	t.nodes = append(t.nodes, name)
	t.nodeIndexes[name] = i
	return i
}

func (t *table) expire(before uint32) {
	for k, c := range t.claims {
		if c.claimedAt < before {
			delete(t.claims, k)
		}
	}
}

func (t *table) result(k KeyID) (Result, bool) {
	c, ok := t.claims[k]
	if !ok {
		return Result{Code: CodeDone}, false
	}
	return Result{Code: CodeDone, Holder: t.nodes[c.holder], Attempt: c.attempt, State: c.state, Body: c.body}, true
}

// tableSnapshot is the stored form of a table.
type tableSnapshot struct {
	Claims []claimSnapshot `cbor:"1,keyasint"`
	Nodes  []string        `cbor:"2,keyasint"`
	Latest uint32          `cbor:"3,keyasint"`
}

type claimSnapshot struct {
	_       struct{} `cbor:",toarray"`
	Key     KeyID
	Attempt string
	Body    [16]byte
	At      uint32
	Holder  uint16
	State   State
}

// save returns a copy of the table that can be encoded while the table changes.
func (t *table) save() *tableSnapshot {
	s := &tableSnapshot{Nodes: slices.Clone(t.nodes), Latest: t.latest, Claims: make([]claimSnapshot, 0, len(t.claims))}
	for k, c := range t.claims {
		s.Claims = append(s.Claims, claimSnapshot{Key: k, Attempt: c.attempt, Body: c.body, At: c.claimedAt, Holder: c.holder, State: c.state})
	}
	return s
}

func (s *tableSnapshot) encode() ([]byte, error) { return snapshotEncoding.Marshal(s) }

func decodeTable(data []byte) (*table, error) {
	var s tableSnapshot
	if err := snapshotDecoding.Unmarshal(data, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	t := newTable()
	t.nodes, t.latest = s.Nodes, s.Latest
	for i, name := range s.Nodes {
		t.nodeIndexes[name] = uint16(i)
	}
	for _, c := range s.Claims {
		if int(c.Holder) >= len(s.Nodes) {
			return nil, Error.New("snapshot refers to node index %d, but contains %d nodes", c.Holder, len(s.Nodes))
		}
		t.claims[c.Key] = claim{attempt: c.Attempt, body: c.Body, claimedAt: c.At, holder: c.Holder, state: c.State}
	}
	return t, nil
}

// maxSnapshotClaims bounds the number of claims in a snapshot. The default limit
// of the CBOR library is too low.
const maxSnapshotClaims = 1 << 27

var (
	snapshotEncoding, snapshotDecoding = mustCBORModes()
)

func mustCBORModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	dec, err := cbor.DecOptions{MaxArrayElements: maxSnapshotClaims}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	return enc, dec
}
