// Package binding knows at which software version of a service each stream began.
//
// Backend servers of several software versions may serve side by side. What two versions write
// doesn't fit together, so a stream goes on only at the version that brought its first chunk, also
// when the client takes the stream up at another router.
//
// The router that passes the first chunk of a stream to its client records the version, and sends
// the record to a few routers in different failure domains, chosen by a hash of the stream's id, and to the store. A
// router that doesn't have the record of a stream asks these routers, then the store. Nothing is sent while a
// service has one version only, provided that the store states so (Statement) and answers: the version of a stream follows from that
// statement, alone or together with what the router itself has seen for as long as a stream lasts (type history). If
// the version can't be found out, the stream is refused and not placed at a version that is likely: a record or a
// statement that is missing proves nothing.
//
// A router may have been paused or cut off without knowing it yet, so neither its list nor its links say what holds now. No stream
// begins at a version that the statement doesn't name, and a statement is evidence only if the store was asked after the
// client's request arrived.
//
// A record is sent once the version is certain, and doesn't change then, so records need no order. A lost
// record leads to a refusal.
package binding

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"wigeondale/event"
)

// Error is the class of this package's errors.
var Error = errs.Class("binding")

var (
	// ErrNoRecord means that the service has several versions, and that no router that was asked
	// has a record of the stream.
	ErrNoRecord = errors.New("no router has a record of the stream")
	// ErrNoReply means the same where none of the other routers replied.
	ErrNoReply = errors.New("no router replied whether it has a record of the stream")
)

// Key identifies a stream. Two client accounts may use the same id.
type Key [16]byte

// NewKey returns the key of the stream that began as the attempt id of a client account.
func NewKey(service, account, id string) Key {
	h := sha256.New()
	var n [4]byte
	for _, s := range []string{service, account, id} {
		binary.BigEndian.PutUint32(n[:], uint32(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// Config configures a Tracker. All times are those of a clock that counts suspensions.
type Config struct {
	// Lifetime returns the longest time from the first chunk of a stream of a service until a
	// client takes it up for the last time.
	Lifetime func(service string) time.Duration
	// CopyAge returns the age of this router's list of backend servers.
	CopyAge func() time.Duration
	// Routers returns the other routers that are considered working.
	Routers func() []Router
	// Connected reports whether this router is linked, directly or through others, to most of the
	// registered routers.
	Connected func() bool
	// Send sends records to a router without waiting, and calls Received or Failed later.
	Send func(to Router, records []Record)
	// Ask asks a router for the record of a stream.
	Ask func(ctx context.Context, router string, q Query) (Reply, error)
	// Whole reports whether this router is linked, directly or through others, to each router that is registered or was
	// seen lately and didn't leave by itself.
	Whole func() bool
	// Statement reads the statement about a service from the store, as it is after the call began. It returns the zero value if
	// there is none in the present era.
	Statement func(ctx context.Context, service string) (Statement, error)
	// Lookup reads from the store what it has of a stream.
	Lookup func(ctx context.Context, service string, key Key) (Stored, error)
	// StoreEra returns the era of this router's copy of the store. It may wait for a call of SetStatement.
	StoreEra func() int64
	// Moved reports whether routes of streams have led to other services lately. Then the record of each stream is sent, since it says
	// at which service the stream began. It may be nil.
	Moved func() bool
	// Unsure reports whether they may have without this router knowing it. Then other routers get the record of each stream. It may be nil.
	Unsure func() bool
	// FirstStart means that this router was started with the deployment's first start: no stream began before.
	FirstStart bool
	Log        *event.Log
}

// Router is a router that may keep records. It loses them when it starts again.
type Router struct {
	ID, FailureDomain string
	Incarnation       uint64
}

// Tracker is one router's knowledge of the versions of all services and of the streams that it
// began or has records of. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*history
	records  records
	// connectedSince is when this router began to reach most of the registered routers, or
	// notConnected.
	connectedSince time.Duration
	lastTick       time.Duration
	completedAt    time.Duration // when it was last checked that the own records are where they belong
	membership     uint64        // digest of the routers at that time
	wokeAt         time.Duration // end of the latest time in which this process did not run
	wholeSince     time.Duration // as connectedSince, for Config.Whole
	unconfirmed    bool          // the list was not current at the latest tick, so that the store may be away, or Config.Unsure said so
	moved          bool          // as Config.Moved said at the latest tick
	firstStart     bool          // this router has not been paused since the deployment's first start
}

const (
	notConnected = time.Duration(-1)
	never        = -time.Hour // before all times of the clock
	// maxTickGap is the time between two ticks above which this process counts as having been
	// paused.
	maxTickGap = time.Second
	// maxCopyAge is the age up to which a list of backend servers counts as current.
	maxCopyAge = 1700 * time.Millisecond
	// settleTime is how long after this router has first seen a version streams may begin there.
	// It is longer than maxCopyAge: each router whose list is current knows the version then.
	settleTime = 2 * time.Second
	// announceTime is how long a version is listed beside another one before the store's statement names it.
	announceTime = settleTime - 500*time.Millisecond
)

// New returns a Tracker that knows no service yet.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, services: map[string]*history{}, records: newRecords(), connectedSince: notConnected, wholeSince: notConnected,
		lastTick: never, wokeAt: never, firstStart: cfg.FirstStart}
}

// Tick updates what depends on the time, and takes in the versions of the listed backend servers
// of each service. The list was current at asOf.
func (t *Tracker) Tick(now, asOf time.Duration, listed map[string][]string) {
	connected, whole, era := t.cfg.Connected(), t.cfg.Whole(), t.cfg.StoreEra()
	moved, unsure := t.cfg.Moved != nil && t.cfg.Moved(), t.cfg.Unsure != nil && t.cfg.Unsure()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastTick != never && now-t.lastTick > maxTickGap {
		t.wokeAt, t.firstStart = now, false
		connected, whole = false, false
	}
	t.lastTick = now
	t.connectedSince = since(t.connectedSince, connected, now)
	t.wholeSince = since(t.wholeSince, whole, now)
	for service, versions := range listed {
		t.observe(service, versions, asOf, era, now)
	}
	if unconfirmed := now-asOf > maxCopyAge || unsure; unconfirmed != t.unconfirmed || moved != t.moved {
		t.unconfirmed, t.moved = unconfirmed, moved
		t.completedAt, t.membership = never, 0
	}
	t.records.expire(now)
	if now-t.completedAt >= completeInterval {
		t.completedAt = now
		t.complete(now)
	}
}

// since returns since when a condition holds that held since before, or notConnected.
func since(before time.Duration, holds bool, now time.Duration) time.Duration {
	switch {
	case !holds:
		return notConnected
	case before == notConnected:
		return now
	}
	return before
}

// observe takes in the versions of the listed backend servers of a service. When a second version
// appears, the records of the streams that this router began are sent.
func (t *Tracker) observe(service string, versions []string, asOf time.Duration, era int64, now time.Duration) {
	h := t.history(service, now)
	missed := h.asOf != never && asOf-h.asOf > maxCopyAge && !h.statement.holds(era)
	if t.lastTick == t.wokeAt || len(h.seen) == 0 || missed {
		h.coveredSince, h.currentSince = now, notConnected
		h.sinceFirstStart = t.firstStart
	}
	before := h.several(now, t.cfg.Lifetime(service))
	h.observe(versions, asOf, now)
	h.establish(now, t.cfg.Lifetime(service), t.connectedFor(now))
	if after := h.several(now, t.cfg.Lifetime(service)); after != before {
		t.cfg.Log.Emit(event.SoftwareVersions, "service", service, "versions", h.recent(now, t.cfg.Lifetime(service)))
		if after {
			t.completedAt, t.membership = never, 0 // no record of the service was sent yet
		}
	}
}

func (t *Tracker) history(service string, now time.Duration) *history {
	h := t.services[service]
	if h == nil {
		h = newHistory(now)
		t.services[service] = h
	}
	return h
}

// SetStored states which versions of a service the store names as recently listed.
func (t *Tracker) SetStored(service string, version string, stored bool, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history(service, now).setStored(version, stored)
}

// Knows reports whether the versions of a service were listed.
func (t *Tracker) Knows(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	return h != nil && len(h.seen) > 0
}

// Several reports whether a service has, or recently had, several versions.
func (t *Tracker) Several(service string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	return h != nil && h.several(now, t.cfg.Lifetime(service))
}

// Listed returns the versions of a service that this router has seen listed recently, and whether
// it has seen all that were: it has run for long enough.
func (t *Tracker) Listed(service string, now time.Duration) (versions []string, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	if h == nil {
		return nil, false
	}
	keep := t.cfg.Lifetime(service)
	return h.listed(now, keep), now-h.coveredSince >= keep
}

// MayBegin reports whether streams of a service may begin at a version: all other routers whose
// lists are current know it, or it is the only version, and the store names it if it names any.
func (t *Tracker) MayBegin(service, version string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	switch {
	case h == nil:
		return true // nothing has been read yet
	case len(h.statement.Versions) > 0 && !slices.Contains(h.statement.Versions, version):
		return false
	}
	return len(h.seen) == 0 || h.seen[version].established
}

// LastListed returns how long ago a backend server of a version was listed, and false if that was
// never seen.
func (t *Tracker) LastListed(service, version string, now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	if h == nil {
		return 0, false
	}
	s, ok := h.seen[version]
	return now - s.last, ok
}
