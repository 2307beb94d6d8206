package hosted

import (
	"context"
	"net/url"
	"strings"
	"sync"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/infra"
)

// noteStore is the part of the store that notes about versions use.
type noteStore interface {
	Create(ctx context.Context, key string, data []byte) (bool, error)
	Remove(ctx context.Context, key string) error
}

const (
	// noteSettle is how long a note must have been missing, or needless, before it is written or
	// removed. After a start the node knows most of the others by then; streams begin at a new version
	// later.
	noteSettle = time.Second
	// noteStep is how much longer each node waits than the node before it in rank order. Only the first
	// noteRanks nodes write.
	noteStep  = 700 * time.Millisecond
	noteRanks = 6
	// noteTimeout bounds one write, and noteRetry is the pause after a write.
	noteTimeout = time.Second
	noteRetry   = 1500 * time.Millisecond
)

// versionNotes keeps notes in the store that name the versions that a service has, or recently had. From
// them a router that starts knows of versions whose replicas have gone. A note is written once for
// each version: a note that is written only when a second version appears would be missing if all routers
// ended just then.
type versionNotes struct {
	store noteStore
	log   *event.Log

	mu      sync.Mutex
	present map[string]bool // keys of the notes in the store
	due     map[string]*dueNote
}

// dueNote is a note that is to be written or removed.
type dueNote struct{ since, next time.Duration }

// seen records that the store has a note, or has it no more.
func (n *versionNotes) seen(key string, stored bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if stored {
		n.present[key] = true
		return
	}
	delete(n.present, key)
}

func noteKey(service, version string) string {
	return notePrefix + service + "/" + url.PathEscape(version)
}

// knownVersions is what a node knows of the versions of a service.
type knownVersions struct {
	listed []string // the recent versions that this node has seen listed
	all    bool     // this node has seen all recent versions
}

// update writes the notes of a service that are missing, and removes those that are no longer needed, as far
// as that is the task of the node with the given rank.
func (n *versionNotes) update(service string, k knownVersions, rank func() int, now time.Duration) {
	wanted := map[string]bool{}
	for _, v := range k.listed {
		wanted[noteKey(service, v)] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for key := range wanted {
		n.schedule(key, !n.present[key], false, rank, now)
	}
	for key := range n.present {
		if s, _, ok := splitNote(key); ok && s == service && k.all {
			n.schedule(key, !wanted[key], true, rank, now)
		}
	}
}

// schedule starts the write or removal of a note once it has been due long enough. The caller holds
// n.mu.
func (n *versionNotes) schedule(key string, due, remove bool, rank func() int, now time.Duration) {
	if !due {
		delete(n.due, key)
		return
	}
	d := n.due[key]
	if d == nil {
		d = &dueNote{since: now, next: now + noteSettle}
		n.due[key] = d
	}
	if now < d.next {
		return
	}
	r := rank()
	if r >= noteRanks || now-d.since < noteSettle+time.Duration(r)*noteStep {
		d.next = now + noteStep
		return
	}
	d.next = now + noteRetry
	go n.write(key, remove)
}

func (n *versionNotes) write(key string, remove bool) {
	ctx, stop := context.WithTimeout(context.Background(), noteTimeout)
	defer stop()
	var err error
	if remove {
		err = n.store.Remove(ctx, key)
	} else {
		_, err = n.store.Create(ctx, key, []byte{1})
	}
	if err != nil {
		n.log.Emit(event.VersionNotStored, "key", key, "remove", remove, "err", err)
	}
}

// splitNote returns the service and the version that the key of a note names.
func splitNote(key string) (service, version string, ok bool) {
	rest, ok := strings.CutPrefix(key, notePrefix)
	if !ok {
		return "", "", false
	}
	service, escaped, ok := strings.Cut(rest, "/")
	if !ok {
		return "", "", false
	}
	version, err := url.PathUnescape(escaped)
	return service, version, err == nil
}

// notePrefix starts the keys of the notes about versions; service and version follow.
const notePrefix = ownPrefix + "versions/"

// put reports whether an item of the store is about the versions of a service, and takes it in if it is.
func (s *software) put(item infra.Value) bool {
	switch {
	case s != nil && item.Key == routesKey:
		s.routes.put(item)
		return true
	case s != nil && strings.HasPrefix(item.Key, statementPrefix):
		s.statements.put(item)
		return true
	}
	return s.takeNote(item.Key, true)
}

// removed takes in that an item was removed from the store.
func (s *software) removed(key string) {
	switch {
	case s != nil && key == routesKey:
		s.routes.set(routesStatement{}, 0)
		return
	case s != nil && strings.HasPrefix(key, statementPrefix):
		s.statements.removed(key)
		return
	}
	s.takeNote(key, false)
}

// storeReturned is called when the store has come back from a copy.
func (s *software) storeReturned() {
	s.tracker.StoreReturned()
	s.routes.storeReturned()
	s.records.began()
}

func (s *software) takeNote(key string, stored bool) bool {
	if s == nil || !strings.HasPrefix(key, notePrefix) {
		return false
	}
	if service, version, ok := splitNote(key); ok {
		s.notes.seen(key, stored)
		s.tracker.SetStored(service, version, stored, clock.SinceBoot())
	}
	return true
}
