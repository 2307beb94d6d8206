package hosted

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"wigeondale/binding"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
)

// statementPrefix starts the keys of what the store states of the versions of a service; the service follows.
const statementPrefix = ownPrefix + "software/"

func statementKey(service string) string { return statementPrefix + service }

func parseStatement(data []byte) (st binding.Statement, err error) {
	err = json.Unmarshal(data, &st)
	return st, err
}

const (
	// statementRetry is the pause after the write of a statement, and statementStep how much longer each node waits than
	// the one before it in rank order.
	statementRetry = 600 * time.Millisecond
	statementStep  = 400 * time.Millisecond
)

// statements keeps the store's statements about the versions of services up to date.
type statements struct {
	store   versionStore
	tracker *binding.Tracker
	log     *event.Log

	mu     sync.Mutex
	stated map[string]statedItem
	due    map[string]*dueNote
}

type statedItem struct {
	binding.Statement
	revision fleet.Revision
}

// sole reports whether this router's copy of the store states a sole version of a service.
func (s *statements) sole(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated[service].Sole
}

// put takes in a statement of the store. One that can't be read states nothing, and is replaced.
func (s *statements) put(item infra.Value) {
	service := strings.TrimPrefix(item.Key, statementPrefix)
	st, err := parseStatement(item.Data)
	if err != nil {
		s.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		st = binding.Statement{}
	}
	s.mu.Lock()
	s.stated[service] = statedItem{st, item.ModRev}
	s.mu.Unlock()
	s.tracker.SetStatement(service, st, clock.SinceBoot())
}

func (s *statements) removed(key string) {
	service := strings.TrimPrefix(key, statementPrefix)
	s.mu.Lock()
	delete(s.stated, service)
	s.mu.Unlock()
	s.tracker.SetStatement(service, binding.Statement{}, clock.SinceBoot())
}

// update replaces the statement about a service if it is no longer right and that is the task of the node with the
// given rank.
func (s *statements) update(service string, rank func() int, now time.Duration) {
	next, due := s.tracker.NextStatement(service, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !due {
		delete(s.due, service)
		return
	}
	d := s.due[service]
	if d == nil {
		d = &dueNote{since: now, next: now}
		s.due[service] = d
	}
	if now < d.next {
		return
	}
	if r := rank(); r >= noteRanks || now-d.since < time.Duration(r)*statementStep {
		return
	}
	d.next = now + statementRetry
	go s.write(service, next, s.stated[service].revision)
}

func (s *statements) write(service string, st binding.Statement, over fleet.Revision) {
	ctx, stop := context.WithTimeout(context.Background(), noteTimeout)
	defer stop()
	data, err := json.Marshal(st)
	if err == nil {
		_, err = s.store.Replace(ctx, statementKey(service), data, over)
	}
	if err != nil {
		s.log.Emit(event.VersionNotStored, "key", statementKey(service), "remove", false, "err", err)
	}
}
