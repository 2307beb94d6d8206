package backpressure

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/routing"
)

// A brittle backend server falls over if it has to refuse more than a few requests within a second for
// want of room, whoever sent them. So its room is divided: the routers that may use it are chosen by
// rendezvous hashing as for a limit, and each has at most its part of the room in use at a time. If
// the routers raced for the room, each of them would find out by a refusal of its own that there
// is none.
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
	// brittleTTL is how long a service counts as brittle after the last answer that said so, if no
	// other answer comes.
	brittleTTL = 10 * time.Second
	// coldTime is how long after its start a router waits for the first answer of a service before it
	// sends more than one request to each of its backend servers.
	coldTime = 3 * time.Second
	// maxBrittle bounds the services that other routers may state brittle.
	maxBrittle = 1000
	// brittleRepeat, and a random part of it, is the time after the last update that states a service
	// brittle until a router that still gets such answers repeats it. Routers that send few requests
	// would else find out with their first one.
	brittleRepeat = 2 * time.Second
	// brittleWait is how long a request waits until it is tried again while no backend server of a
	// brittle service has room for this router.
	brittleWait = 50 * time.Millisecond
)

// brittle is what the answers of a brittle service's backend servers state.
type brittle struct {
	refusals    float64 // that a backend server stands within a second
	slots       int     // of a backend server, as stated last; 0 if none states them
	learnedAt   time.Time
	confirmedAt time.Time        // when an answer or an update stated it last
	answeredAt  time.Time        // when an answer to this router stated it last
	repeatAt    time.Time        // when this router repeats it, unless another one does before
	rooms       map[string]*room // by backend server
}

// BrittleState is what the answers of a brittle service state, in an update.
type BrittleState struct {
	Refusals float64 `cbor:"1,keyasint"`
	Slots    int     `cbor:"2,keyasint,omitempty"`
}

// room is the room of one backend server of a brittle service, and this router's part of it.
type room struct {
	share       float64 // of its slots that count as room
	changedAt   time.Time
	closedUntil time.Time
	ranked      time.Time // when rank and nodes were determined
	rank, nodes int
}

// observeBrittle applies what an answer of b says of its service, and returns the update for the
// other routers, if any. The caller holds t.mu.
func (t *Tracker) observeBrittle(b fleet.Backend, sentAt, now time.Time, s backend.Statement) *Update {
	if t.cold.Load() {
		t.answered[b.Service] = true
	}
	br := t.brittle[b.Service]
	if br == nil && !s.HasBrittle {
		return nil
	}
	if !s.HasBrittle {
		if sentAt.After(br.learnedAt) && !s.LimitUnclear {
			t.endBrittle(b.Service, "an answer does not state it", now)
		}
		return nil
	}
	var update *Update
	if br == nil {
		br = t.beginBrittle(b.Service, "", BrittleState{s.Brittle, s.Slots}, now)
		update = br.update(b.Service, now, now)
	}
	br.refusals, br.confirmedAt, br.answeredAt = s.Brittle, now, now
	if s.Slots > 0 {
		br.slots = s.Slots
	}
	if s.NoRoom {
		t.refusedForRoom(br, b.ID, "", now)
		update = &Update{Backend: b.ID, Service: b.Service, NoRoom: true, Brittle: &BrittleState{br.refusals, br.slots}}
	}
	return update
}

func (t *Tracker) beginBrittle(service, from string, s BrittleState, now time.Time) *brittle {
	br := &brittle{refusals: s.Refusals, slots: s.Slots, learnedAt: now, confirmedAt: now, rooms: map[string]*room{}}
	br.postpone(now)
	t.brittle[service] = br
	t.brittleCount.Store(int64(len(t.brittle)))
	t.cfg.Log.Emit(event.BrittleBegun, "service", service, "from", from, "refusals", s.Refusals, "slots", s.Slots)
	return br
}

// postpone sets when this router repeats that the service is brittle.
func (br *brittle) postpone(now time.Time) {
	br.repeatAt = now.Add(brittleRepeat + rand.N(brittleRepeat))
}

// update returns the update that states the service brittle, as of the given time.
func (br *brittle) update(service string, asOf, now time.Time) *Update {
	br.postpone(now)
	return &Update{Service: service, Brittle: &BrittleState{br.refusals, br.slots}, AgeMS: now.Sub(asOf).Milliseconds()}
}

// handleBrittle applies another router's update about a brittle service, unless an answer has ended
// that state since. The caller holds t.mu.
func (t *Tracker) handleBrittle(from string, u Update, now time.Time) {
	asOf := now.Add(-time.Duration(u.AgeMS) * time.Millisecond)
	if t.cfg.Requests == nil || u.Brittle == nil || !asOf.After(t.brittleEnded[u.Service]) {
		return
	}
	br := t.brittle[u.Service]
	if br == nil {
		if len(t.brittle) >= maxBrittle {
			return
		}
		br = t.beginBrittle(u.Service, from, *u.Brittle, now)
	}
	br.postpone(now)
	if asOf.After(br.confirmedAt) {
		br.confirmedAt = asOf
	}
	if u.NoRoom {
		t.refusedForRoom(br, u.Backend, from, now)
	}
}

// refusedForRoom makes the room of a backend server count as smaller after a refusal, which the
// router from reported, or this router received if from is empty. Refusals within a pause are one
// event. The caller holds t.mu.
func (t *Tracker) refusedForRoom(br *brittle, id, from string, now time.Time) {
	r := br.room(id, now)
	if now.Before(r.closedUntil) {
		return
	}
	br.grow(r, now)
	r.share *= roomAfterRefusal
	r.closedUntil = now.Add(refusalPause)
	t.cfg.Log.Emit(event.BrittleRefused, "backend", id, "from", from, "share", r.share)
}

func (t *Tracker) endBrittle(service, reason string, now time.Time) {
	br := t.brittle[service]
	delete(t.brittle, service)
	t.brittleEnded[service] = now
	t.brittleCount.Store(int64(len(t.brittle)))
	t.cfg.Log.Emit(event.BrittleEnded, "service", service, "reason", reason, "age_ms", now.Sub(br.learnedAt).Milliseconds())
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

// tickBrittle ends services of which no answer has come for some time, and returns the updates that
// are due. The caller holds t.mu.
func (t *Tracker) tickBrittle(now time.Time) (updates []Update) {
	t.endColdStart(now)
	for service, br := range t.brittle {
		maps.DeleteFunc(br.rooms, func(_ string, r *room) bool { return now.Sub(r.changedAt) > roomKept })
		switch {
		case now.Sub(br.confirmedAt) > brittleTTL:
			t.endBrittle(service, "no answer", now)
		case now.After(br.repeatAt) && now.Sub(br.answeredAt) < brittleRepeat:
			updates = append(updates, *br.update(service, br.answeredAt, now))
		}
	}
	for service, at := range t.brittleEnded {
		if now.Sub(at) > brittleTTL {
			delete(t.brittleEnded, service)
		}
	}
	return updates
}

// BrittleReport is what is known of a brittle service, for the state dump.
type BrittleReport struct {
	Service  string  `json:"service"`
	Refusals float64 `json:"refusals"` // that a backend server stands within a second
	Slots    int     `json:"slots"`    // of a backend server
	AgeMS    int64   `json:"age_ms"`
	Rooms    int     `json:"rooms"` // backend servers whose room was used within a minute
	// Closed is the number of backend servers to which nothing is sent after a refusal.
	Closed int `json:"closed"`
}

// BrittleReports returns the brittle services.
func (t *Tracker) BrittleReports(now time.Time) []BrittleReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []BrittleReport{}
	for service, br := range t.brittle {
		r := BrittleReport{Service: service, Refusals: br.refusals, Slots: br.slots, AgeMS: now.Sub(br.learnedAt).Milliseconds(), Rooms: len(br.rooms)}
		for _, room := range br.rooms {
			if now.Before(room.closedUntil) {
				r.Closed++
			}
		}
		out = append(out, r)
	}
	return out
}
