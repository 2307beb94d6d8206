package binding

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Found is the version at which a stream began, with how that is known.
type Found struct {
	Version string
	Source  Source
	Age     time.Duration // of the record, or of the list
	Named   []string      // the versions that the store named when it was asked, if the version follows from that
}

// Recorded reports whether there is a record of the stream. It says at which service the stream began, too.
func (f Found) Recorded() bool {
	return f.Source == FromRecord || f.Source == FromRouter || f.Source == FromStore
}

// Source states how the version of a stream is known.
type Source string

// The sources of the version of a stream.
const (
	FromRecord Source = "record"      // this router has a record of the stream
	FromRouter Source = "router"      // another router has one
	FromList   Source = "one-version" // this router has seen one version for as long as a stream lasts, and the store names no other now
	FromStore  Source = "store"       // the store has a record
	FromSole   Source = "sole"        // the store states that there was one version
)

// Stored is what the store has of a stream.
type Stored struct {
	Recorded bool // it has a record of the stream
	Sole     bool // it has none, and states the one version at which all streams without a record began
	Version  string
}

// ErrNotStored means that the store has no record of the stream, and states no sole version of the service.
var ErrNotStored = errors.New("the store has no record of the stream")

// ErrUnnamed means that the client doesn't name its stream, and streams of the service may have begun at several versions.
var ErrUnnamed = errors.New("the client does not name the stream, and the service has, or recently had, several versions")

// ErrUnknownVersion means that the router of the stream could not find out at which version it began.
var ErrUnknownVersion = errors.New("the version at which the stream began was not known")

// Find finds out at which version a stream began.
func (t *Tracker) Find(ctx context.Context, key Key, service string, now time.Duration) (Found, error) {
	f, err := t.find(ctx, key, service, now)
	if err == nil && f.Version == UnknownVersion {
		return Found{}, Error.Wrap(ErrUnknownVersion)
	}
	return f, err
}

// HasRecord reports whether this router, one that keeps such records, or the store has a record of a stream of a service. The error is
// that of the store.
func (t *Tracker) HasRecord(ctx context.Context, key Key, service string, now time.Duration) (bool, error) {
	if _, ok := t.findRecord(key, now); ok {
		return true, nil
	}
	if _, err := t.ask(ctx, key, service, now); err == nil {
		return true, nil
	}
	s, err := t.cfg.Lookup(ctx, service, key)
	return s.Recorded, err
}

// FindUnnamed finds out at which version a stream began whose client doesn't name it. No record can be attributed to such a stream, so
// that its version is known only if all streams of the service that may still be taken up began at one version.
func (t *Tracker) FindUnnamed(ctx context.Context, service string, now time.Duration) (Found, error) {
	if only := t.infer(ctx, service, now); only.proved && t.recordsOnly(service, only.Version, now) {
		return only.Found, nil
	}
	st, err := t.cfg.Statement(ctx, service)
	if err != nil {
		return Found{}, err
	}
	version, sole := st.SoleVersion(st.Era)
	if !sole || !t.beginsOnly(service, version, now) || !t.recordsOnly(service, version, now) {
		return Found{}, Error.Wrap(ErrUnnamed)
	}
	return Found{Version: version, Source: FromSole, Named: st.Versions}, nil
}

// recordsOnly reports whether this router has no record of a stream of a service at another version, or at an unknown one. The proofs
// that need no record hold for streams without one, and a stream that isn't named may have one.
func (t *Tracker) recordsOnly(service, version string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records.byKey {
		if r.Service == service && r.Version != version && now < r.expires {
			return false
		}
	}
	return true
}

// beginsOnly reports whether this router has seen no other version of a service for long enough that streams begin there.
func (t *Tracker) beginsOnly(service, version string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.beginsOnlyLocked(service, version, now)
}

func (t *Tracker) beginsOnlyLocked(service, version string, now time.Duration) bool {
	h := t.services[service]
	return h != nil && !slices.ContainsFunc(h.beginnable(now, t.cfg.Lifetime(service)), func(v string) bool { return v != version })
}

func (t *Tracker) find(ctx context.Context, key Key, service string, now time.Duration) (Found, error) {
	if f, ok := t.findRecord(key, now); ok {
		return f, nil
	}
	inferring, stop := context.WithCancel(ctx)
	defer stop()
	inferred := make(chan inference, 1)
	go func() { inferred <- t.infer(inferring, service, now) }()
	f, err := t.ask(ctx, key, service, now)
	if err == nil {
		stop()
	}
	only := <-inferred
	switch {
	case err == nil:
		return f, nil
	case only.proved && errors.Is(err, ErrNoRecord):
		return only.Found, nil
	case only.err != nil:
		return Found{}, Error.New("%w; %w", err, only.err) // the store answers no other router either
	}
	f, unstored := t.lookUp(ctx, key, service, now)
	switch {
	case unstored == nil:
		return f, nil
	case only.proved && errors.Is(unstored, ErrNotStored):
		return only.Found, nil
	}
	return Found{}, Error.New("%w; %w", err, unstored)
}

// lookUp finds the version of a stream in the store. A sole version counts only if this router has not seen another one for longer
// than it takes until streams begin there: routers of earlier builds don't wait for its name.
func (t *Tracker) lookUp(ctx context.Context, key Key, service string, now time.Duration) (Found, error) {
	s, err := t.cfg.Lookup(ctx, service, key)
	if err != nil {
		return Found{}, err
	}
	keep := t.cfg.Lifetime(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case s.Recorded:
		t.records.put(Record{Key: key, Service: service, Version: s.Version, KeepMS: keep.Milliseconds()}, false, now)
		t.records.setStored(key)
		return Found{Version: s.Version, Source: FromStore}, nil
	case s.Sole && t.beginsOnlyLocked(service, s.Version, now):
		return Found{Version: s.Version, Source: FromSole}, nil
	}
	return Found{}, ErrNotStored
}

func (t *Tracker) findRecord(key Key, now time.Duration) (Found, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records.get(key, now)
	return Found{Version: r.Version, Source: FromRecord, Age: now - r.at}, ok
}

// inference is the version of a stream without a record, if it is proved.
type inference struct {
	Found
	proved bool
	err    error // the store gave no answer
}

// infer returns the version of a stream that has no record: the only one that this router has seen, if the store names no
// other now. Streams that began before the store had a statement are covered by what this router has seen, and those that
// began since by the statement, also if this router's list is old.
func (t *Tracker) infer(ctx context.Context, service string, now time.Duration) inference {
	version, ok := t.onlySeen(service, now)
	if !ok {
		return inference{}
	}
	stated, err := t.cfg.Statement(ctx, service)
	return inference{
		Found:  Found{Version: version, Source: FromList, Age: t.cfg.CopyAge(), Named: stated.Versions},
		proved: err == nil && stated.namesOnly(version),
		err:    err,
	}
}

// onlySeen returns the only version at which streams without a record may have begun by what this router has seen, and false
// if there may be several or it has not followed the list for as long as a stream lasts.
func (t *Tracker) onlySeen(service string, now time.Duration) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.services[service]
	if h == nil || now-t.lastTick > maxTickGap {
		return "", false
	}
	keep := t.cfg.Lifetime(service)
	version, one := h.onlyUnrecorded(now, keep)
	return version, one && (now-h.coveredSince >= keep || h.sinceFirstStart)
}

func (t *Tracker) connectedFor(now time.Duration) time.Duration {
	if t.connectedSince == notConnected {
		return 0
	}
	return now - t.connectedSince
}

// askTimeout bounds the wait for the replies of other routers.
const askTimeout = 250 * time.Millisecond

// ask asks the routers that may have a record of the stream, all at once. It returns the first
// record.
func (t *Tracker) ask(ctx context.Context, key Key, service string, now time.Duration) (Found, error) {
	live := t.cfg.Routers()
	asked := keepers(key, live, copiesIn(len(live))+extraAsked)
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	replies := make(chan *Reply, len(asked))
	for _, router := range asked {
		go func() {
			r, err := t.cfg.Ask(ctx, router.ID, Query{Key: key})
			if err != nil {
				replies <- nil // the router has ended, is cut off, or is of an older build
				return
			}
			replies <- &r
		}()
	}
	err := Error.Wrap(ErrNoReply)
	var found *Reply
	for range asked {
		r := <-replies
		switch {
		case r == nil:
		case !r.Found:
			err = Error.Wrap(ErrNoRecord)
		case found == nil:
			found = r
			stop() // the other calls end
		}
	}
	if found != nil {
		t.Keep([]Record{{Key: key, Service: service, Version: found.Version, KeepMS: found.KeepMS}}, now)
		return Found{Version: found.Version, Source: FromRouter, Age: time.Duration(found.AgeMS) * time.Millisecond}, nil
	}
	return Found{}, err
}
