package backpressure

import (
	"maps"
	"math/rand/v2"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
	"wigeondale/fleet"
)

// A brittle backend server fails if it has to refuse more than a few requests within a second for
// want of room, from all routers together. So its room is divided: the routers that may use it are chosen by
// rendezvous hashing as for a limit, and each has at most its part of the room in use at a time. If
// each router sent requests until one is refused, every router would add a refusal.
const (
	// brittleTTL is how long a service counts as brittle after the last answer that said so, if no
	// other answer comes.
	brittleTTL = 10 * time.Second
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
	refusals    float64 // that a backend server tolerates within a second
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
	Refusals float64 `json:"refusals"` // that a backend server tolerates within a second
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
