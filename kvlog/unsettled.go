package kvlog

import "sync"

// expiredPosition marks an id whose position was truncated while its create
// was unsettled. Positions count from 1, so 0 is free for it.
const expiredPosition = 0

// unsettledIDs holds the ids whose create may still land, and where. It has
// its own lock, so that a caller whose context ended while it waited for its
// turn still learns whether an earlier call left its id unsettled.
type unsettledIDs struct {
	mu  sync.Mutex
	pos map[string]uint64
	// landed holds the unsettled ids that were then seen in the log, until their
	// append is called again. By then the id may be past the window, and the
	// caller would be told that its entry is not there.
	landed map[string]uint64
}

func newUnsettledIDs() *unsettledIDs {
	return &unsettledIDs{pos: make(map[string]uint64), landed: make(map[string]uint64)}
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

// settle forgets the ids at n, now that n is seen taken by winner.
func (u *unsettledIDs) settle(n uint64, winner string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.pos {
		if at != n {
			continue
		}
		delete(u.pos, id)
		if id == winner {
			u.landed[id] = n
		}
	}
}

// takeLanded returns where id landed, once.
func (u *unsettledIDs) takeLanded(id string) (uint64, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, ok := u.landed[id]
	delete(u.landed, id)
	return n, ok
}

// expire marks the ids below floor: whether their create landed while the
// position still counted can't be read any more.
func (u *unsettledIDs) expire(floor uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, at := range u.pos {
		if at < floor {
			u.pos[id] = expiredPosition
		}
	}
}
