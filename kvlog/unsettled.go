package kvlog

import "sync"

// expiredPosition marks an id whose position was truncated while the outcome of its
// create was unknown. Positions count from 1, so 0 is never a real position.
const expiredPosition = 0

// unsettledIDs maps the ids whose create may still take effect to their positions. It has
// its own lock, so that a call whose context ended while it waited for Log.appendLock can
// still read whether an earlier call left its id with an unknown outcome.
type unsettledIDs struct {
	mu  sync.Mutex
	pos map[string]uint64
	// appended maps the ids whose outcome was unknown and that were then found in the log
	// to their positions. An id stays in the map until Append is called again with it: by
	// then the id may be outside the window, and without the map the caller would get the
	// result that its entry is not in the log.
	appended map[string]uint64
}

func newUnsettledIDs() *unsettledIDs {
	return &unsettledIDs{pos: make(map[string]uint64), appended: make(map[string]uint64)}
}

func (u *unsettledIDs) get(id string) (uint64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, ok := u.pos[id]
	return n, ok
}

func (u *unsettledIDs) set(id string, n uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pos[id] = n
}

// resolve removes the ids whose create at n has a known outcome, because the entry with id
// winner was found at n.
func (u *unsettledIDs) resolve(n uint64, winner string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.pos {
		if at != n {
			continue
		}
		delete(u.pos, id)
		if id == winner {
			u.appended[id] = n
		}
	}
}

// takeAppended returns the position at which id was found, and removes the id from
// appended.
func (u *unsettledIDs) takeAppended(id string) (uint64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, ok := u.appended[id]
	delete(u.appended, id)
	return n, ok
}

// expire marks the ids whose positions are below floor as expired: it can't be determined
// any more whether their create took effect while the position was still valid.
func (u *unsettledIDs) expire(floor uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.pos {
		if at < floor {
			u.pos[id] = expiredPosition
		}
	}
}
