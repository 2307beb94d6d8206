package hosted

import (
	"context"
	"time"

	"wigeondale/directory"
)

// Routers tell their neighbours what they have under way at each replica; package
// directory adds it to what a router knows itself.
const (
	// tellEvery bounds how late other routers learn what this one sent where. A
	// prompt is read in about a second.
	tellEvery = 40 * time.Millisecond
	// tellSoonAfter is how late they learn of a prompt that was sent or read. Where
	// engines are full, each router that doesn't know yet sends one more to the engine
	// that has just become free: of 1,765 requests in bursts 162 were late when told with the
	// tick, and 56 when told at once (model of engines, twelve seeds).
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

// tellAlways sends what this router has under way whenever it changes, and takes in what
// the others sent. after follows each time.
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
		own := p.dir.OwnLoads()
		if now.Sub(all) >= tellAll {
			all, last = now, own
			send(loadsMessage{Loads: own, All: true})
		} else if changed := changes(last, own); len(changed) > 0 {
			last = own
			send(loadsMessage{Loads: changed})
		}
		p.sum(now)
		after(now)
	}
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

// sum hands what the others told to the directory.
func (p *peers) sum(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
