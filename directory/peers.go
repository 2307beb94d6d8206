package directory

import (
	"sync"
	"sync/atomic"
)

// This file records the load that other routers have at each backend server, as these
// routers broadcast it.
//
// Without these broadcasts, each router knows its own requests, and knows the requests
// of other routers only from engines' reports that arrive a second late. Several
// routers then send their next long prompt to the same idle engine at the same moment.
// That engine reads the prompts one after the other while other engines are idle, so
// that generations take half as long again as necessary.

// PeerLoads is the load that routers have in progress, by backend server.
type PeerLoads map[string]Load

// loadCounter is a Load that can be changed with every request without a lock. Each
// counter holds the field of Load of the same name in thousandths.
type loadCounter struct {
	requests, reading, running, memory, spread, extra atomic.Int64
}

func (c *loadCounter) add(l Load) {
	c.requests.Add(int64(l.Requests * milli))
	c.reading.Add(int64(l.Reading * milli))
	c.running.Add(int64(l.Running * milli))
	c.memory.Add(int64(l.Memory * milli))
	c.spread.Add(int64(l.Spread * milli))
	c.extra.Add(int64(l.Extra * milli))
}

func (c *loadCounter) store(l Load) {
	c.requests.Store(int64(l.Requests * milli))
	c.reading.Store(int64(l.Reading * milli))
	c.running.Store(int64(l.Running * milli))
	c.memory.Store(int64(l.Memory * milli))
	c.spread.Store(int64(l.Spread * milli))
	c.extra.Store(int64(l.Extra * milli))
}

func (c *loadCounter) load() Load {
	return Load{
		Requests: float64(c.requests.Load()) / milli,
		Reading:  float64(c.reading.Load()) / milli,
		Running:  float64(c.running.Load()) / milli,
		Memory:   float64(c.memory.Load()) / milli,
		Spread:   float64(c.spread.Load()) / milli,
		Extra:    float64(c.extra.Load()) / milli,
	}
}

// loadTracker is the state behind LocalLoads and SetPeerLoads. Both methods are called
// many times a second, so they visit only backend servers that have any load.
type loadTracker struct {
	peersSendLoads atomic.Bool // set if other routers send their loads

	mu        sync.Mutex
	busy      map[*record]struct{} // backend servers with requests of this router, now or recently
	peerLoads PeerLoads            // the sum that SetPeerLoads set last, plus the changes added since
}

// markBusy records that a request of this router is in progress at r, so that LocalLoads
// visits r.
func (p *loadTracker) markBusy(r *record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[r] = struct{}{}
}

// LocalLoads returns the load of this router's requests, by backend server. Backend
// servers without such load are left out.
func (d *Directory) LocalLoads() PeerLoads {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	out := PeerLoads{}
	for r := range d.loads.busy {
		l := r.local.load()
		if l == (Load{}) {
			delete(d.loads.busy, r)
			continue
		}
		// The fields are read one after the other, while requests begin and end.
		l.Extra = max(l.Extra, leastExtra*l.Requests)
		out[r.id] = l
	}
	return out
}

// AddPeerLoads adds a change to the load of other routers. The next SetPeerLoads
// replaces the resulting sum. While the other routers don't send their loads,
// AddPeerLoads does nothing.
func (d *Directory) AddPeerLoads(change PeerLoads) {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	if d.loads.peerLoads == nil {
		return
	}
	for id, l := range change {
		if r := d.index.get(id); r != nil {
			r.peers.add(l)
			d.loads.peerLoads[id] = d.loads.peerLoads[id].Plus(l)
		}
	}
}

// SetPeerLoads replaces the load of other routers by sum, which is summed over these
// routers. A nil sum means that the other routers don't send their loads; the engines'
// reports are then used again.
func (d *Directory) SetPeerLoads(sum PeerLoads) {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	for id := range d.loads.peerLoads {
		if r := d.index.get(id); r != nil && sum[id] == (Load{}) {
			r.peers.store(Load{})
		}
	}
	for id, load := range sum {
		if r := d.index.get(id); r != nil {
			r.peers.store(load)
		}
	}
	d.loads.peerLoads = sum
	d.loads.peersSendLoads.Store(sum != nil)
}
