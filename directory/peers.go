package directory

import (
	"sync"
	"sync/atomic"
)

// What other routers have under way at each backend server, as they tell it.
//
// What goes wrong without it: each router sees its own requests, and those of
// the others only by reports that come a second late. Several send their next
// long prompt to the same idle engine at the same moment, which reads them one
// after the other, while others idle. It shows as drafts that take half as long
// again as they need.

// PeerLoads is what one router has under way, by backend server.
type PeerLoads map[string]Load

// loadCounter is a Load that changes with every request, in thousandths.
type loadCounter struct {
	requests, reading, running, memory atomic.Int64
}

func (c *loadCounter) add(l Load) {
	c.requests.Add(int64(l.Requests * milli))
	c.reading.Add(int64(l.Reading * milli))
	c.running.Add(int64(l.Running * milli))
	c.memory.Add(int64(l.Memory * milli))
}

func (c *loadCounter) store(l Load) {
	c.requests.Store(int64(l.Requests * milli))
	c.reading.Store(int64(l.Reading * milli))
	c.running.Store(int64(l.Running * milli))
	c.memory.Store(int64(l.Memory * milli))
}

func (c *loadCounter) load() Load {
	return Load{
		Requests: float64(c.requests.Load()) / milli,
		Reading:  float64(c.reading.Load()) / milli,
		Running:  float64(c.running.Load()) / milli,
		Memory:   float64(c.memory.Load()) / milli,
	}
}

// loadBook is the state behind OwnLoads and SetPeerLoads. Both are called many
// times a second, so they look only at backend servers with anything under way.
type loadBook struct {
	tells atomic.Bool // other routers tell what they have under way

	mu   sync.Mutex
	busy map[*record]struct{} // with own requests, or until lately
	told PeerLoads            // as last set
}

// note remembers that a request of this router is under way at r.
func (p *loadBook) note(r *record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[r] = struct{}{}
}

// LocalLoads returns what this router has under way.
func (d *Directory) LocalLoads() PeerLoads {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	out := PeerLoads{}
	for r := range d.loads.busy {
		l := r.own.load()
		if l == (Load{}) {
			delete(d.loads.busy, r)
			continue
		}
		out[r.id] = l
	}
	return out
}

// AddPeerLoads changes what other routers have under way, until SetPeerLoads sums it up.
func (d *Directory) AddPeerLoads(change PeerLoads) {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	if d.loads.told == nil {
		return
	}
	byID := d.table.Load().byID
	for id, l := range change {
		if r := byID[id]; r != nil {
			r.peers.add(l)
			d.loads.told[id] = d.loads.told[id].Plus(l)
		}
	}
}

// SetPeerLoads replaces what other routers have under way, summed over them. Nil
// means that they don't tell: then reports count again.
func (d *Directory) SetPeerLoads(sum PeerLoads) {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	byID := d.table.Load().byID
	for id := range d.loads.told {
		if r := byID[id]; r != nil && sum[id] == (Load{}) {
			r.peers.store(Load{})
		}
	}
	for id, load := range sum {
		if r := byID[id]; r != nil {
			r.peers.store(load)
		}
	}
	d.loads.told = sum
	d.loads.tells.Store(sum != nil)
}
