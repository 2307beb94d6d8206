package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/infra"
	"wigeondale/platform"
	"wigeondale/route"
)

// confirmRetry is the pause after a question to all routers.
const confirmRetry = 2 * time.Second

// routesKey is the key of what the store states of the routes of streams.
const routesKey = ownPrefix + "stream-routes"

// routesStatement states that all streams that may still be taken up began by routes that lead as those of a version of the
// configuration do. It holds in one era of the store: one that has come back from a copy states what held when the copy was made.
type routesStatement struct {
	Version  int64          `json:"version"`
	Revision fleet.Revision `json:"revision"` // of that version in the store
	Era      int64          `json:"era"`
}

// routesStatements keeps the store's statement about the routes of streams up to date. By it, a router that has started knows that
// there were no moves before that concern streams. It is safe for concurrent use.
type routesStatements struct {
	store versionStore
	table *route.Current
	log   *event.Log
	era   func() int64
	learn func(ctx context.Context) // makes table know the moves that the store has in its history
	// confirm makes it know that there were none, by the other routers.
	confirm func(ctx context.Context) error
	// follows reports whether this router itself follows the store.
	follows func() bool

	mu       sync.Mutex
	stated   routesStatement // guarded by mu, as what follows
	revision fleet.Revision  // of the item; 0 if there is none
	due      *dueNote
}

// put takes in the statement of the store. One that can't be read, or is of an earlier era, states nothing, and is replaced.
func (s *routesStatements) put(item infra.Value) {
	var st routesStatement
	if err := json.Unmarshal(item.Data, &st); err != nil {
		s.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		st = routesStatement{}
	}
	if st.Era != item.ModRev.Era() {
		st = routesStatement{}
	}
	s.set(st, item.ModRev)
}

func (s *routesStatements) set(st routesStatement, revision fleet.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stated, s.revision = st, revision
	s.table.SetStated(st.Version, fleet.RevisionOf(st.Revision.Era(), max(st.Revision.Number()-1, 0)))
}

// storeReturned takes in that the store has come back from a copy.
func (s *routesStatements) storeReturned() {
	era := s.era()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stated.Era != era {
		s.stated = routesStatement{}
		s.table.SetStated(0, 0)
	}
}

// update replaces the statement if it is no longer right and that is the task of the node with the given rank. connected means that this
// node has reached each other one for as long as a stream lasts.
func (s *routesStatements) update(rank func() int, connected bool, now time.Duration) {
	t, due := s.table.NextStated(connected)
	_, unread := s.table.UnknownSince()
	_, _, unconfirmed := s.table.Unconfirmed()
	unknown := unread || unconfirmed
	era := s.era() // takes the lock of the copy of the store, under which put is called
	s.mu.Lock()
	defer s.mu.Unlock()
	if !due && !unknown {
		s.due = nil
		return
	}
	if s.due == nil {
		s.due = &dueNote{since: now, next: now}
	}
	if now < s.due.next {
		return
	}
	r := rank()
	if r >= noteRanks && !unknown && s.follows() {
		r = noteRanks - 1 // it knows what routers of a lower rank may have missed
	}
	if r >= noteRanks || now-s.due.since < time.Duration(r)*statementStep {
		return
	}
	s.due.next = now + statementRetry
	switch {
	case unconfirmed:
		s.due.next = now + confirmRetry
		go s.confirmMoves()
		return
	case unread:
		go s.learn(context.Background())
		return
	}
	go s.write(routesStatement{Version: t.Version, Revision: t.Revision, Era: era}, s.revision)
}

func (s *routesStatements) confirmMoves() {
	if err := s.confirm(context.Background()); err != nil {
		s.log.Emit(event.MovesUnknown, "err", err)
	}
}

// readMoves makes this router know the moves since the latest configuration up to which it knows all, if the store still has them in its
// history.
func (s *routesStatements) readMoves(ctx context.Context, _ string) (struct{}, error) {
	err := s.learnMoves(ctx)
	if err != nil {
		s.log.Emit(event.MovesUnknown, "err", err)
	}
	return struct{}{}, err
}

func (s *routesStatements) learnMoves(ctx context.Context) error {
	since, unknown := s.table.UnknownSince()
	if !unknown {
		return nil
	}
	changes, _, err := s.store.Changes(ctx, platform.ConfigKey, since, 0)
	if errors.Is(err, infra.ErrCompacted) {
		s.table.HistoryLost(since)
	}
	if err != nil {
		return err
	}
	var later []*route.Table
	for _, c := range changes {
		cfg, err := platform.DecodeConfig(c.Value.Data)
		if err != nil {
			return err
		}
		cfg.Revision = c.Value.ModRev
		later = append(later, route.NewTable(cfg))
	}
	if !s.table.LearnMoves(later) {
		return errOtherConfigs
	}
	return nil
}

var errOtherConfigs = Error.New("the store's history does not hold all configurations up to the one in force")

func (s *routesStatements) write(st routesStatement, over fleet.Revision) {
	ctx, stop := context.WithTimeout(context.Background(), noteTimeout)
	defer stop()
	data, err := json.Marshal(st)
	if err == nil {
		_, err = s.store.Replace(ctx, routesKey, data, over)
	}
	if err != nil {
		s.log.Emit(event.VersionNotStored, "key", routesKey, "remove", false, "err", err)
	}
}
