package hosted

import (
	"context"
	"time"

	"wigeondale/directory"
)

// Routers that are all linked to each other tell what they have under way at each replica;
// package directory adds it to what a router knows itself. Where they are too many for
// that they tell nothing, and ask engines (survey.go).
//
// What goes wrong if routers tell some of the others: each knows a part of the loads, takes
// it for all, and ignores what engines say. Nobody sees an overload. Telling all through
// others costs each router messages that grow with the square of their number, which fill
// its line.
const (
	// tellEvery bounds how late other routers learn what this one sent where. A
	// prompt is read in about a second.
	tellEvery = 40 * time.Millisecond
	// tellSoonAfter is how late they learn of a prompt that was sent or read. Where
	// engines are full, each router that doesn't know yet sends one more to the engine
	// that has just become free.
	tellSoonAfter = 2 * time.Millisecond
	// tellAll repeats everything, since messages may be lost.
	tellAll = 2 * time.Second
	// loadsLife is how long a router's word counts when it falls silent.
	loadsLife = 3 * tellAll
	tellLoads = "hosted.loads"
)

// toldLoads is the last word of one router.
type toldLoads struct {
	at    time.Time
	loads directory.PeerLoads
}

// loadsMessage is what a router tells the others.
type loadsMessage struct {
	Loads directory.PeerLoads `cbor:"1,keyasint"`
	// All tells that nothing else is under way at the router.
	All bool `cbor:"2,keyasint,omitempty"`
}

// tellAlways sends what this router has under way whenever it changes, while all others
// hear it, and takes in what they sent. after follows each time.
func (p *peers) tellAlways(ctx context.Context, send func(loadsMessage), after func(now time.Time)) {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	var soon <-chan time.Time // set while a change is to be told at once
	var last directory.PeerLoads
	var all time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.soon:
			if soon == nil { // a change that follows must not put off the one before it
				soon = time.After(tellSoonAfter)
			}
			continue
		case <-soon:
		case <-tick.C:
		}
		soon = nil
		now := time.Now()
		if p.full() {
			last, all = p.tellNow(now, last, all, send)
		}
		p.sum(now)
		after(now)
	}
}

// tellNow tells all that is under way, or what has changed since it was told last, and
// returns what was told and when it was all.
func (p *peers) tellNow(now time.Time, last directory.PeerLoads, all time.Time, send func(loadsMessage)) (directory.PeerLoads, time.Time) {
	own := p.dir.LocalLoads()
	if now.Sub(all) >= tellAll {
		send(loadsMessage{Loads: own, All: true})
		return own, now
	}
	if changed := changes(last, own); len(changed) > 0 {
		send(loadsMessage{Loads: changed})
	}
	return own, all
}

// tellSoon has the neighbours told at once, not with the next tick.
func (p *peers) tellSoon() {
	select {
	case p.soon <- struct{}{}:
	default:
	}
}

// changes returns the entries of now that differ, with 0 for those that ended.
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

// takeLoads takes in a router's word. One that names all ends what it leaves out: it may
// have ended since the word before, or the word that it ended may have been lost.
//
// What goes wrong otherwise: such requests count at their engines until the router uses
// the same engine again. Where that is seldom, more and more engines seem busy that idle.
func (p *peers) takeLoads(from string, m loadsMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.loads[from]
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
	t.at = time.Now()
	p.loads[from] = t
}

// sum hands what the others told to the directory, if all of them tell.
//
// What goes wrong if some do: after a start of all, a node knows few others for a second,
// and takes them for all. What these told counts for seconds, and engines aren't asked.
func (p *peers) sum(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.full() {
		clear(p.loads)
	}
	var sum directory.PeerLoads
	for from, t := range p.loads {
		if now.Sub(t.at) > loadsLife {
			delete(p.loads, from)
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
