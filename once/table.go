package once

import (
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// entry is the data of one log entry.
type entry struct {
	Ops []Op `cbor:"1,keyasint,omitempty"`
	// AtUnix is the writer's wall clock in seconds.
	AtUnix int64 `cbor:"2,keyasint"`
	// ExpireBeforeUnix drops the claims made earlier, in seconds; 0 drops none.
	// Expiry stands in the log so that every reader drops the same claims at the
	// same position. If each dropped by its own clock, two could disagree on who
	// holds a key.
	ExpireBeforeUnix int64 `cbor:"3,keyasint,omitempty"`
}

// claim is what is known of one key; kept small, since there is one per key of
// the window.
type claim struct {
	attempt string
	body    [16]byte
	at      uint32 // seconds since the epoch
	holder  uint16 // index into table.nodes
	state   State
}

// table is the state of one shard after a position of its log.
type table struct {
	claims map[KeyID]claim
	nodes  []string
	index  map[string]uint16
	latest uint32 // highest AtUnix so far
}

func newTable() *table {
	return &table{claims: make(map[KeyID]claim), index: make(map[string]uint16)}
}

// apply takes the entries in log order.
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
	held, ok := t.claims[op.Key]
	switch op.Kind {
	case OpClaim:
		if !ok || held.state == Voided && held.attempt != op.Attempt {
			t.put(op, Claimed)
		}
	case OpVoid:
		// A void may precede its claim in the log, when the claim was forwarded and
		// delayed. It is kept, so that the late claim doesn't hold the key.
		if !ok || held.attempt == op.Attempt {
			t.put(op, Voided)
		}
	}
}

func (t *table) put(op Op, s State) {
	t.claims[op.Key] = claim{
		attempt: op.Attempt,
		body:    op.Body,
		at:      t.latest,
		holder:  t.node(op.Node),
		state:   s,
	}
}

// node returns the index of a name; beyond the index's range, names are lost
// and read as "".
func (t *table) node(name string) uint16 {
	if i, ok := t.index[name]; ok {
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
	t.index[name] = i
	return i
}

func (t *table) expire(before uint32) {
	for k, c := range t.claims {
		if c.at < before {
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

// savedTable is the stored form of a table.
type savedTable struct {
	Claims []savedClaim `cbor:"1,keyasint"`
	Nodes  []string     `cbor:"2,keyasint"`
	Latest uint32       `cbor:"3,keyasint"`
}

type savedClaim struct {
	_       struct{} `cbor:",toarray"`
	Key     KeyID
	Attempt string
	Body    [16]byte
	At      uint32
	Holder  uint16
	State   State
}

// save copies what the table holds, so that it can be encoded while the table
// goes on.
func (t *table) save() *savedTable {
	s := &savedTable{Nodes: slices.Clone(t.nodes), Latest: t.latest, Claims: make([]savedClaim, 0, len(t.claims))}
	for k, c := range t.claims {
		s.Claims = append(s.Claims, savedClaim{Key: k, Attempt: c.attempt, Body: c.body, At: c.at, Holder: c.holder, State: c.state})
	}
	return s
}

func (s *savedTable) encode() ([]byte, error) { return snapshotEncoding.Marshal(s) }

func decodeTable(data []byte) (*table, error) {
	var s savedTable
	if err := snapshotDecoding.Unmarshal(data, &s); err != nil {
		return nil, Error.Wrap(err)
	}
	t := newTable()
	t.nodes, t.latest = s.Nodes, s.Latest
	for i, name := range s.Nodes {
		t.index[name] = uint16(i)
	}
	for _, c := range s.Claims {
		if int(c.Holder) >= len(s.Nodes) {
			return nil, Error.New("snapshot names node %d of %d", c.Holder, len(s.Nodes))
		}
		t.claims[c.Key] = claim{attempt: c.Attempt, body: c.Body, at: c.At, holder: c.Holder, state: c.State}
	}
	return t, nil
}

// maxSavedClaims bounds a snapshot's array; the library's own bound is lower.
const maxSavedClaims = 1 << 27

var (
	snapshotEncoding, snapshotDecoding = mustModes()
)

func mustModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	dec, err := cbor.DecOptions{MaxArrayElements: maxSavedClaims}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("cbor options: %v", err))
	}
	return enc, dec
}
