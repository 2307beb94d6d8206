package hosted

import (
	"encoding/json"
	"strings"
	"time"

	"wigeondale/quarantine"
)

// recordKind is what a record of a quarantine states.
type recordKind uint8

const (
	requestHold recordKind = iota // a request is quarantined
	partHold                      // a part of prompts is quarantined
	lift                          // a quarantine was lifted
)

// Prefixes of the keys of the records in the store, which end with the digest of the request or part.
const (
	holdPrefix     = "wigeondale/quarantine/"
	partHoldPrefix = "wigeondale/quarantine-parts/"
	liftPrefix     = "wigeondale/quarantine-lifts/"
)

var recordPrefixes = [...]string{requestHold: holdPrefix, partHold: partHoldPrefix, lift: liftPrefix}

// recordKey names a record.
type recordKey struct {
	kind   recordKind
	digest quarantine.Digest
}

// String returns the key of the record in the store.
func (k recordKey) String() string { return recordPrefixes[k.kind] + k.digest.String() }

func parseRecordKey(key string) (k recordKey, ok bool) {
	for kind, prefix := range recordPrefixes {
		name, found := strings.CutPrefix(key, prefix)
		if !found {
			continue
		}
		d, err := quarantine.ParseDigest(name)
		return recordKey{recordKind(kind), d}, err == nil
	}
	return k, false
}

// record is the contents of a record in the store.
type record interface {
	// until returns when the record ends.
	until() time.Time
	// apply passes what the record states to the guard of this node.
	apply(g *quarantine.Guard, d quarantine.Digest)
}

// holdRecord is the record of the hold of a request.
type holdRecord struct {
	Account     string `json:"account"`
	UntilUnixMS int64  `json:"until_unix_ms"`
}

func newHoldRecord(h quarantine.HoldUpdate) holdRecord {
	return holdRecord{h.Account, untilMS(h.RemainingMS)}
}

func (r holdRecord) until() time.Time { return time.UnixMilli(r.UntilUnixMS) }

func (r holdRecord) apply(g *quarantine.Guard, d quarantine.Digest) {
	g.Hold(quarantine.HoldUpdate{Digest: d, Account: r.Account, RemainingMS: remainingMS(r.UntilUnixMS)}, "store")
}

// partRecord is the record of the hold of a part of prompts.
type partRecord struct {
	Accounts    []string `json:"accounts"`
	Models      []string `json:"models"`
	Tied        []string `json:"tied,omitempty"`
	Provisional bool     `json:"provisional,omitempty"`
	UntilUnixMS int64    `json:"until_unix_ms"`
}

func newPartRecord(h quarantine.PartHold) partRecord {
	r := partRecord{Accounts: h.Accounts, Models: h.Models, Provisional: h.Provisional, UntilUnixMS: untilMS(h.RemainingMS)}
	for _, d := range h.Tied {
		r.Tied = append(r.Tied, d.String())
	}
	return r
}

func (r partRecord) until() time.Time { return time.UnixMilli(r.UntilUnixMS) }

func (r partRecord) apply(g *quarantine.Guard, d quarantine.Digest) {
	h := quarantine.PartHold{Digest: d, Accounts: r.Accounts, Models: r.Models, Provisional: r.Provisional, RemainingMS: remainingMS(r.UntilUnixMS)}
	for _, name := range r.Tied {
		other, err := quarantine.ParseDigest(name)
		if err != nil {
			continue // decodeRecord has checked the digests
		}
		h.Tied = append(h.Tied, other)
	}
	g.HoldPart(h, "store")
}

// liftRecord is the record of a lift. It ends when the lifted hold would have ended at the latest.
type liftRecord struct {
	By           string `json:"by,omitempty"` // the operator; empty if a node found the hold to be wrong
	LiftedUnixMS int64  `json:"lifted_unix_ms"`
}

func newLift(by string, at time.Time) liftRecord { return liftRecord{by, at.UnixMilli()} }

func (r liftRecord) until() time.Time {
	return time.UnixMilli(r.LiftedUnixMS).Add(quarantine.HoldTime)
}

func (r liftRecord) apply(g *quarantine.Guard, d quarantine.Digest) {
	g.LiftedEarlier(d, time.Since(time.UnixMilli(r.LiftedUnixMS)), "store "+r.By)
}

func decodeRecord(k recordKey, data []byte) (record, error) {
	switch k.kind {
	case requestHold:
		var r holdRecord
		err := json.Unmarshal(data, &r)
		return r, Error.Wrap(err)
	case partHold:
		var r partRecord
		if err := json.Unmarshal(data, &r); err != nil {
			return nil, Error.Wrap(err)
		}
		for _, name := range r.Tied {
			if _, err := quarantine.ParseDigest(name); err != nil {
				return nil, Error.Wrap(err)
			}
		}
		return r, nil
	}
	var r liftRecord
	err := json.Unmarshal(data, &r)
	return r, Error.Wrap(err)
}

func encodeRecord(r record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, Error.Wrap(err)
}

func untilMS(remainingMS int64) int64 {
	return time.Now().Add(time.Duration(remainingMS) * time.Millisecond).UnixMilli()
}

func remainingMS(untilUnixMS int64) int64 {
	return time.Until(time.UnixMilli(untilUnixMS)).Milliseconds()
}
