package directory

// What other routers have under way at each backend server, as they tell it.
//
// What goes wrong without it: each router sees its own requests, and those of
// the others only by reports that come a second late. Several send their next
// long prompt to the same idle engine at the same moment, which reads them one
// after the other, while others idle. It shows as drafts that take half as long
// again as they need.

// PeerLoads is what one router has under way, by backend server, in units of an
// ordinary request.
type PeerLoads map[string]float64

// OwnLoads returns what this router has under way.
func (d *Directory) OwnLoads() PeerLoads {
	out := PeerLoads{}
	for id, r := range d.table.Load().byID {
		if n := r.inFlight.Load(); n != 0 {
			out[id] = float64(n) / milli
		}
	}
	return out
}

// SetPeerLoads replaces what other routers have under way, summed over them. Nil
// means that they don't tell: then reports count again.
func (d *Directory) SetPeerLoads(sum PeerLoads) {
	for id, r := range d.table.Load().byID {
		r.peers.Store(int64(sum[id] * milli))
		r.told.Store(sum != nil)
	}
}
