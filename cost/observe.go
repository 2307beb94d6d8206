package cost

import "time"

// Observe records an answer that has ended with the given number of tokens. complete is false if the
// answer was cut: it would have been at least as long.
func (e *Estimator) Observe(q Request, length float64, complete bool, now time.Time) {
	if q.Maximum <= 0 || !(length >= 1) || length > MaxLength {
		return
	}
	length = min(length, float64(q.Maximum))
	e.mu.Lock()
	defer e.mu.Unlock()
	if complete {
		e.score(&q, length, now)
	}
	for _, k := range append(q.keys(), priorityKey(q.Service, q.Priority)) {
		if n := e.node(k, now); n != nil {
			n.observe(&q, length, complete, now)
		}
	}
}

// node returns the node of a key and makes one if there is room. Nodes that have faded make room.
func (e *Estimator) node(k uint64, now time.Time) *node {
	if n := e.nodes[k]; n != nil {
		return n
	}
	if len(e.nodes) >= maxNodes {
		e.sweep(now)
	}
	if len(e.nodes) >= maxNodes {
		return nil
	}
	n := &node{}
	e.nodes[k] = n
	return n
}

// sweep removes faded nodes. Without any, it removes nothing: names made up by a client must not push
// out what is known of others. To keep its cost low it looks at most once a second.
func (e *Estimator) sweep(now time.Time) {
	if now.Sub(e.stats.sweptAt) < time.Second {
		return
	}
	e.stats.sweptAt = now
	for k, n := range e.nodes {
		if now.Sub(n.histograms[byLength].at) > nodeTTL {
			delete(e.nodes, k)
		}
	}
}

func (n *node) observe(q *Request, length float64, complete bool, now time.Time) {
	if n.maximum == 0 {
		n.maximum = float64(q.Maximum)
	}
	n.maximum += (float64(q.Maximum) - n.maximum) / shrink
	if complete {
		reached := 0.0
		if length >= float64(q.Maximum) {
			reached = 1
		}
		n.reached += (reached - n.reached) / memory
	}
	for p := range n.histograms {
		ref, stated := q.reference(p)
		if !stated {
			continue
		}
		pos := position(length)
		if p != byLength {
			pos += ratioOffset - position(ref)
		}
		n.histograms[p].add(pos, complete, now)
	}
}
