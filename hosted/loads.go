package hosted

import (
	"context"
	"time"

	"wigeondale/directory"
	"wigeondale/settings"
)

// Routers that are all linked to each other broadcast their open requests at each replica;
// package directory adds the loads of the other routers to the router's own. Where there are
// too many routers for a full mesh, the routers broadcast no loads, and query engines instead
// (load_query.go).
//
// If routers sent their loads only to some of the other routers, each router would know a part
// of the loads, take this part for the total, and ignore what engines report; overloads would
// go unnoticed. Forwarding all loads to all routers costs each router messages that grow with
// the square of the number of routers, and these messages saturate its network link.
const (
	// loadsInterval bounds the delay until other routers know which requests this router sent
	// to which replica. It is short compared with the time to read a prompt, about a second.
	loadsInterval = 40 * time.Millisecond
	// loadsSoonDelay is the delay until other routers know that a prompt was sent or read. When
	// engines are full, each router that does not know about such a change yet sends one more
	// request to the engine that has just become free.
	loadsSoonDelay = 2 * time.Millisecond
	// loadsFullInterval is how often all loads are repeated, since messages may be lost.
	loadsFullInterval = 2 * time.Second
	// loadsTTL is how long the loads of a router count after its last message.
	loadsTTL = 3 * loadsFullInterval
	msgLoads = "hosted.loads"
)

// peerLoads is the latest loads received from one router.
type peerLoads struct {
	receivedAt time.Time
	loads      directory.PeerLoads
}

// loadsMessage holds all loads of a router, or the loads that changed.
type loadsMessage struct {
	Loads directory.PeerLoads `cbor:"1,keyasint"`
	// All reports that Loads is complete: the router has no open requests at replicas that
	// Loads doesn't list.
	All bool `cbor:"2,keyasint,omitempty"`
}

// broadcastLoop broadcasts this router's loads whenever they change, as long as this router is
// linked to all other routers, and applies the loads that the other routers sent. At the end
// of each round it calls after, which the caller uses for its other regular work.
func (p *peers) broadcastLoop(ctx context.Context, send func(loadsMessage), after func(now time.Time)) {
	tick := time.NewTicker(loadsInterval)
	defer tick.Stop()
	var soon <-chan time.Time // set while a change is to be broadcast at once
	var last directory.PeerLoads
	var lastFull time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.soon:
			if soon == nil { // a later change must not delay an earlier one
				soon = time.After(loadsSoonDelay)
			}
			continue
		case <-soon:
		case <-tick.C:
		}
		soon = nil
		now := time.Now()
		if p.fullyLinked() {
			last, lastFull = p.broadcastLoads(now, last, lastFull, send)
		}
		p.applyPeerLoads(now)
		after(now)
	}
}

// broadcastLoads sends all loads of this router if loadsFullInterval has passed since
// lastFull, and otherwise the loads that differ from last. It returns the current loads and
// the time when all loads were sent last.
func (p *peers) broadcastLoads(now time.Time, last directory.PeerLoads, lastFull time.Time, send func(loadsMessage)) (directory.PeerLoads, time.Time) {
	local := p.dir.LocalLoads()
	if now.Sub(lastFull) >= loadsFullInterval {
		send(loadsMessage{Loads: local, All: true})
		return local, now
	}
	if changed := changes(last, local); len(changed) > 0 {
		send(loadsMessage{Loads: changed})
	}
	return local, lastFull
}

// broadcastSoon makes this router broadcast its loads after loadsSoonDelay instead of at the
// next tick.
func (p *peers) broadcastSoon() {
	select {
	case p.soon <- struct{}{}:
	default:
	}
}

// changes returns the entries of now that differ from before, and a zero load for each entry
// of before that now lacks.
func changes(before, now directory.PeerLoads) directory.PeerLoads {
	out := directory.PeerLoads{}
	for id, v := range now {
		if before[id] != v {
			out[id] = v
		}
	}
	for id := range before {
		if _, ok := now[id]; !ok {
			out[id] = directory.Load{}
		}
	}
	return out
}

// handleLoads applies a message from another router. A message with all loads also ends the
// requests that the message does not list: they may have ended since the previous message, or
// the message about their end may have been lost. Otherwise such requests would count at their
// engines until the other router used the same engine again; where that is rare, more and more
// idle engines would seem busy.
//
// A message with a load that can't be is dropped as a whole: its sender counts wrongly.
func (p *peers) handleLoads(from string, m loadsMessage) {
	loads, ok := p.acceptable(m.Loads)
	if !ok {
		return
	}
	m.Loads = loads
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.received[from]
	if t.loads == nil {
		t.loads = directory.PeerLoads{}
	}
	if m.All {
		m.Loads = changes(t.loads, m.Loads)
	}
	change := directory.PeerLoads{}
	for id, v := range m.Loads {
		change[id] = v.Minus(t.loads[id])
		if v == (directory.Load{}) {
			delete(t.loads, id)
			continue
		}
		t.loads[id] = v
	}
	p.dir.AddPeerLoads(change)
	t.receivedAt = time.Now()
	p.received[from] = t
}

// acceptable returns the loads of a message, and false unless all are plausible. Where requests count with
// their maxima, it leaves out what only estimates need, so that routers that estimate change no decision of
// this one. It doesn't change the message.
func (p *peers) acceptable(loads directory.PeerLoads) (directory.PeerLoads, bool) {
	learned := p.set.Hosted.Decisions.Sizing == settings.SizingLearned
	out := make(directory.PeerLoads, len(loads))
	for id, v := range loads {
		if !v.Bounded() {
			return nil, false
		}
		if !learned {
			v.Extra, v.Spread = 0, 0
		}
		out[id] = v
	}
	return out, true
}

// applyPeerLoads passes the sum of the other routers' loads to the directory, if this router
// is linked to all other routers.
//
// The loads of only some routers must not be used: after a start of all nodes a node knows few
// other nodes for about a second and would take these for all other nodes. Their loads would
// count for seconds, and engines would not be queried.
func (p *peers) applyPeerLoads(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.fullyLinked() {
		clear(p.received)
	}
	var sum directory.PeerLoads
	for from, t := range p.received {
		if now.Sub(t.receivedAt) > loadsTTL {
			delete(p.received, from)
			continue
		}
		if sum == nil {
			sum = directory.PeerLoads{}
		}
		for id, v := range t.loads {
			sum[id] = sum[id].Plus(v)
		}
	}
	p.dir.SetPeerLoads(sum)
}
