package backpressure

import (
	"time"

	"wigeondale/fleet"
)

// FloodUpdate is the kind of the messages that contain an Update.
const FloodUpdate = "backpressure.update"

// Update reports to other routers what a backend server asks of all of them.
type Update struct {
	Backend string `cbor:"1,keyasint"`
	// Limit is the limit in requests a second, or 0 if the backend server states none any more.
	Limit float64 `cbor:"2,keyasint,omitempty"`
	// AgeMS is the time since the answer that stated it, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
	// Service is set in updates about a brittle service, which say nothing of a limit. NoRoom reports
	// that its backend server Backend refused a request for want of room; else Brittle reports what
	// the service's answers state.
	NoRoom  bool          `cbor:"4,keyasint,omitempty"`
	Service string        `cbor:"5,keyasint,omitempty"`
	Brittle *BrittleState `cbor:"6,keyasint,omitempty"`
}

// HandleUpdate applies another router's update.
func (t *Tracker) HandleUpdate(from string, u Update, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Service != "" {
		t.handleBrittle(from, u, now)
		return
	}
	if u.Limit < 0 || u.AgeMS < 0 || u.Limit != u.Limit {
		return
	}
	if st := t.stateFor(fleet.Backend{ID: u.Backend}, u.Limit > 0); st != nil {
		t.applyUpdate(st, from, u, now)
		t.index(st)
	}
}

// Tick does the regular work, at most every refreshInterval.
func (t *Tracker) Tick(now time.Time) {
	if t.idle() {
		return
	}
	t.mu.Lock()
	if now.Sub(t.ticked) < refreshInterval {
		t.mu.Unlock()
		return
	}
	t.ticked = now
	updates := t.tickBrittle(now)
	for id, st := range t.byID {
		if now.Sub(st.limit.confirmedAt) > forgetAfter && now.Sub(st.leftAt) > rememberLeaving && now.Sub(st.rest.until) > forgetAfter {
			delete(t.byID, id)
			delete(t.limited, id)
			continue
		}
		if u := t.repeatLimit(st, now); u != nil {
			updates = append(updates, *u)
		}
	}
	t.count.Store(int64(len(t.byID)))
	t.mu.Unlock()
	for _, u := range updates {
		t.cfg.Broadcast(u)
	}
}
