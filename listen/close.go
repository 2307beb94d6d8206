package listen

import "time"

// giveUp ends the reading of a request that arrives too slowly. The handler can still answer.
func (n *conn) giveUp() {
	if n.giveUpBlock() {
		return
	}
	n.clients.countDrop(reasonSlow)
	n.stop()
}

// claim marks a connection that is idle, or whose request arrives slowly, as closed for another one. It reports false if a complete
// request has arrived since it was chosen.
func (n *conn) claim(reason string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isIdle := n.phase == idle && n.hold == nil || n.phase == handshake && n.received == 0
	switch {
	case n.claimed, reason == reasonIdle && !isIdle:
		return false
	case reason == reasonSlow && n.multi == nil && !n.hold.GiveUp():
		return false
	case reason == reasonSlow && n.multi != nil && !n.multi.giveUp():
		return false
	}
	n.claimed = true
	return true
}

func (n *conn) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
	_ = n.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only once the connection is closed
}

// drop closes the connection for another one.
func (n *conn) drop() {
	n.stop()
	_ = n.raw.Close() // the client sees the end of the connection
	_ = n.Close()
}

// Close implements net.Conn.
func (n *conn) Close() error {
	n.closeOnce.Do(func() {
		n.turn.end()
		n.closeErr = n.Conn.Close()
		n.clients.remove(n)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.endBlock()
	})
	return n.closeErr
}
