package hosted

import "wigeondale/backpressure"

// servingNodes returns the ids of the registered nodes, without those that this node knows to be
// dead, leaving or cut off from replicas. All nodes read the same registry, so that nodes that have just started or are
// cut off from each other still know of each other.
func (p *peers) servingNodes() []string {
	gone := map[string]bool{}
	if mesh := p.currentMesh(); mesh != nil {
		for _, m := range mesh.Members() {
			gone[m.ID] = !m.Self && (!m.Alive || m.Leaving || p.cutOff.AnyCutOff(m.ID))
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id := range p.addrs {
		if !gone[id] {
			out = append(out, id)
		}
	}
	return out
}

// broadcastPressure broadcasts what a replica asks of all nodes.
func (p *peers) broadcastPressure(u backpressure.Update) {
	if mesh := p.currentMesh(); mesh != nil {
		// A lost message is repeated while the limit holds, and a node that misses the end of a
		// limit finds out with its next trial.
		_ = mesh.Flood(backpressure.FloodUpdate, u)
	}
}
