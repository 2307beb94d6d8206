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
}

// tellAlways sends what this router has under way whenever it changes, and takes in what
// the others sent. after follows each time.
func (p *peers) tellAlways(ctx context.Context, send func(loadsMessage), after func(now time.Time)) {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	soon := time.NewTimer(time.Hour)
	defer soon.Stop()
	var last directory.PeerLoads
	var all time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.soon:
			soon.Reset(tellSoonAfter)
			continue
		case <-soon.C:
		case <-tick.C:
		}
		now := time.Now()
		own := p.dir.OwnLoads()
		if now.Sub(all) >= tellAll {
			all, last = now, own
			send(loadsMessage{own})
		} else if changed := changes(last, own); len(changed) > 0 {
			last = own
			send(loadsMessage{changed})
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

func (p *peers) takeLoads(from string, m loadsMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.loads[from]
	if t.loads == nil {
		t.loads = directory.PeerLoads{}
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
