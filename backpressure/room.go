package backpressure

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/routing"
)

const (
	// usedRoom is the share of a backend server's slots that all routers together use: a
	// connection that opens may hold a slot for a moment, and its waiting room may shrink.
	usedRoom = 0.85
	// unknownSlots is assumed for a backend server whose service states no slots.
	unknownSlots = 4
	// After a refusal the room counts as roomAfterRefusal of what it was, and nothing is sent for
	// refusalPause. The room grows again by roomGrowth of the slots a second.
	roomAfterRefusal = 0.5
	refusalPause     = 500 * time.Millisecond
	roomGrowth       = 0.1
	// roomKept is how long a room is remembered that isn't used. It has grown to its whole size by then.
	roomKept = time.Minute
	// coldTime is how long after its start a router waits for the first answer of a service before it
	// sends more than one request to each of its backend servers.
	coldTime = 3 * time.Second
)

// room is the room of one backend server of a brittle service, and this router's part of it.
type room struct {
	share       float64 // of its slots that count as room
	changedAt   time.Time
	closedUntil time.Time
	ranked      time.Time // when rank and nodes were determined
	rank, nodes int
}

func (br *brittle) room(id string, now time.Time) *room {
	r := br.rooms[id]
	if r == nil {
		r = &room{share: 1, changedAt: now}
		br.rooms[id] = r
	}
	return r
}

// grow lets the room grow for the time since it changed last.
func (br *brittle) grow(r *room, now time.Time) {
	r.share = min(r.share+roomGrowth*now.Sub(r.changedAt).Seconds(), 1)
	r.changedAt = now
}

// size returns how many requests all routers together may have at a backend server.
func (br *brittle) size(r *room) int {
	slots := br.slots
	if slots == 0 {
		slots = unknownSlots
	}
	return max(int(math.Round(usedRoom*r.share*float64(slots))), 1)
}

// partOf returns how many requests the router with the given rank may have, of the size of a room.
func partOf(size, rank, nodes int) int {
	holders := min(max(nodes, 1), size)
	if rank >= holders {
		return 0
	}
	part := size / holders
	if rank < size%holders {
		part++
	}
	return part
}

// roomAccepts reports whether this router may have the given number of requests at a backend server
// of a service, if the service is brittle. A router that has just started sends one request to each
// backend server until the service has answered. The caller holds t.mu.
func (t *Tracker) roomAccepts(service, id string, requests float64, now time.Time) bool {
	br := t.brittle[service]
	if br == nil {
		return requests <= 1 || !t.isCold(service, now)
	}
	r := br.room(id, now)
	if now.Before(r.closedUntil) {
		return false
	}
	br.grow(r, now)
	nodes := t.allNodes(now)
	if r.ranked != t.nodesRead || r.nodes == 0 {
		r.rank, r.nodes, r.ranked = t.rankOf(id, nodes), max(len(nodes), 1), t.nodesRead
	}
	return requests <= float64(partOf(br.size(r), r.rank, r.nodes))
}

// isCold reports whether no backend server of a service has answered this router since its start, a
// short time ago: it can't know yet whether the service is brittle. The caller holds t.mu.
func (t *Tracker) isCold(service string, now time.Time) bool {
	t.endColdStart(now)
	return t.cold.Load() && !t.answered[service]
}

// endColdStart ends the time after the start in which a service may be cold. The caller holds t.mu.
func (t *Tracker) endColdStart(now time.Time) {
	if !t.cold.Load() {
		return
	}
	if t.started.IsZero() {
		t.started = now
	}
	if now.Sub(t.started) > coldTime {
		t.cold.Store(false)
		t.answered = nil
	}
}

// hasRoom reports whether one more request of this router has room at a backend server. The caller
// holds t.mu.
func (t *Tracker) hasRoom(id string, now time.Time) bool {
	if len(t.brittle) == 0 && !t.cold.Load() {
		return true
	}
	return t.roomAccepts(t.cfg.Service(id), id, t.cfg.Requests(id)+1, now)
}

// permitsRoom returns the reason why a request must not be sent to b for want of room, or nil. Work
// counts among this router's requests at b already. Optional requests would take room from the work.
// The caller holds t.mu.
func (t *Tracker) permitsRoom(b fleet.Backend, why backend.Purpose, now time.Time) error {
	if why == backend.RunQuery || t.cfg.Requests == nil {
		return nil
	}
	if why == backend.Optional && t.brittle[b.Service] != nil || !t.roomAccepts(b.Service, b.ID, t.cfg.Requests(b.ID), now) {
		return ErrNoRoom
	}
	return nil
}

// rankOf returns the rank of this router among the nodes for a backend server. A router that is not
// among them ranks last: it has just started, and does not know how many other routers there are.
func (t *Tracker) rankOf(id string, nodes []string) int {
	key := xxhash.Sum64String(id)
	local, rank, listed := routing.Rendezvous(key, t.cfg.Node), 0, false
	for _, node := range nodes {
		if routing.Rendezvous(key, node) > local {
			rank++
		}
		listed = listed || node == t.cfg.Node
	}
	if !listed {
		return len(nodes) + 1
	}
	return rank
}
