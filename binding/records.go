package binding

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// UnknownVersion is the version in the record of a stream that began at a version that its router could not find out. No
// backend server runs it, so a router that doesn't know this value refuses the stream too.
const UnknownVersion = "?"

// Record states at which version a stream began.
type Record struct {
	Key     Key    `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	KeepMS  int64  `cbor:"4,keyasint"` // how long the client may still take the stream up
}

// Message carries the records that a router is to keep.
type Message struct {
	Records []Record `cbor:"1,keyasint"`
}

// Query asks whether a router has a record of a stream.
type Query struct {
	Key Key `cbor:"1,keyasint"`
}

// Reply answers a Query.
type Reply struct {
	Found   bool   `cbor:"1,keyasint,omitempty"`
	Version string `cbor:"2,keyasint,omitempty"`
	AgeMS   int64  `cbor:"3,keyasint,omitempty"` // since the router has the record
	KeepMS  int64  `cbor:"4,keyasint,omitempty"` // as in Record
}

const (
	// maxRecords bounds the memory for records, of about 150 bytes each. A record that finds no
	// place leads to a refusal of its stream elsewhere.
	maxRecords = 20000
	// maxKeep bounds how long a record is kept, whatever a message states.
	maxKeep = 15 * time.Minute
	// expireInterval is how often expired records are dropped.
	expireInterval = time.Second
)

// records is a bounded set of records that expire.
type records struct {
	byKey      map[Key]storedRecord
	expiredAt  time.Duration
	ownUnknown bool // there may be an own record of UnknownVersion
}

type storedRecord struct {
	Record
	own         bool // this router has passed chunks of the stream to its client
	stored      bool // the store has it
	at, expires time.Duration
	sent        []delivery // of an own record
}

// delivery is the sending of a record to one router.
type delivery struct {
	to       Router
	at       time.Duration
	received bool
}

// resendAfter is how long after its sending a record is sent again that was not received.
const resendAfter = 1500 * time.Millisecond

func newRecords() records { return records{byKey: map[Key]storedRecord{}} }

// put adds a record, and reports whether it is new, or new as a record of this router's own
// streams. The version of the first record of a stream stays, unless it is UnknownVersion.
func (s *records) put(r Record, own bool, now time.Duration) bool {
	keep := time.Duration(r.KeepMS) * time.Millisecond
	if keep <= 0 || r.Version == "" {
		return false
	}
	s.ownUnknown = s.ownUnknown || own && r.Version == UnknownVersion
	old, ok := s.byKey[r.Key]
	known := ok && now < old.expires && (old.Version != UnknownVersion || r.Version == UnknownVersion)
	if known {
		added := own && !old.own
		old.own = old.own || own
		old.expires = max(old.expires, now+min(keep, maxKeep))
		s.byKey[r.Key] = old
		return added
	}
	if !ok && len(s.byKey) >= maxRecords {
		return false
	}
	s.byKey[r.Key] = storedRecord{Record: r, own: own || ok && old.own, at: now, expires: now + min(keep, maxKeep)}
	return true
}

func (s *records) get(key Key, now time.Duration) (storedRecord, bool) {
	r, ok := s.byKey[key]
	return r, ok && now < r.expires
}

// unsent returns the keys of the published own records that were not received by all routers to which
// they were sent, or of all published own records.
func (s *records) unsent(published func(*storedRecord) bool, all bool, now time.Duration) []Key {
	var out []Key
	for key, r := range s.byKey {
		if !r.own || now >= r.expires || !published(&r) {
			continue
		}
		if all || slices.ContainsFunc(r.sent, func(d delivery) bool { return !d.received }) {
			out = append(out, key)
		}
	}
	return out
}

// send returns a record as it is to be sent to a router, and false if the router has it or it is on the way.
func (s *records) send(key Key, to Router, now time.Duration) (Record, bool) {
	r, ok := s.byKey[key]
	if !ok {
		return Record{}, false
	}
	r.KeepMS = (r.expires - now).Milliseconds()
	for i := range r.sent {
		d := &r.sent[i]
		if d.to != to {
			continue
		}
		if d.received || now-d.at < resendAfter {
			return Record{}, false
		}
		d.at = now
		return r.Record, true
	}
	r.sent = append(r.sent, delivery{to: to, at: now})
	s.byKey[key] = r
	return r.Record, true
}

// unstored returns up to n own records of a service, but those of one version, that the store may lack, those first that
// began first.
func (s *records) unstored(service, except string, n int, now time.Duration) []Record {
	var out []storedRecord
	for _, r := range s.byKey {
		if r.own && !r.stored && r.Service == service && r.Version != except && now < r.expires {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b storedRecord) int { return cmp.Or(cmp.Compare(a.at, b.at), bytes.Compare(a.Key[:], b.Key[:])) })
	records := make([]Record, 0, min(n, len(out)))
	for _, r := range out[:min(n, len(out))] {
		r.KeepMS = (r.expires - now).Milliseconds()
		records = append(records, r.Record)
	}
	return records
}

func (s *records) setStored(key Key) {
	if r, ok := s.byKey[key]; ok {
		r.stored = true
		s.byKey[key] = r
	}
}

// unstore records that the store may lack all records.
func (s *records) unstore() {
	for key, r := range s.byKey {
		r.stored = false
		s.byKey[key] = r
	}
}

func (s *records) failed(key Key, to Router) {
	r := s.byKey[key]
	for i := range r.sent {
		if r.sent[i].to == to {
			r.sent[i].at = never
		}
	}
}

func (s *records) received(key Key, by Router) {
	r := s.byKey[key]
	for i := range r.sent {
		if r.sent[i].to == by {
			r.sent[i].received = true
		}
	}
}

func (s *records) expire(now time.Duration) {
	if now-s.expiredAt < expireInterval {
		return
	}
	s.expiredAt, s.ownUnknown = now, false
	for k, r := range s.byKey {
		if now >= r.expires {
			delete(s.byKey, k)
			continue
		}
		s.ownUnknown = s.ownUnknown || r.own && r.Version == UnknownVersion
	}
}
