package listen

import (
	"net"
	"sync"
	"time"

	"wigeondale/bounded"
	"wigeondale/event"
)

// Reasons for which connections are closed.
const (
	reasonIdle    = "idle"            // the longest idle connection, for a new one
	reasonSlow    = "slow"            // a request that arrives slowly, for a new connection or another request
	reasonFull    = "full"            // a new connection, since all others have complete requests
	reasonMemory  = "no-memory"       // a request whose head finds no memory
	reasonTooLong = "header-too-long" // a head over the limit
	reasonUnread  = "unread"          // an answer that its client doesn't read, for another answer
)

// logInterval is the shortest time between two log lines about closed connections.
const logInterval = 10 * time.Second

// clients holds the open connections of one listener, and bounds their number.
type clients struct {
	cfg   Config
	turns turns

	mu       sync.Mutex
	conns    map[*conn]struct{}
	dropped  map[string]int // by reason, since the last log line
	loggedAt time.Time
}

func newClients(cfg Config) *clients {
	c := &clients{cfg: cfg, turns: newTurns(), conns: map[*conn]struct{}{}, dropped: map[string]int{}}
	cfg.Answers.OnShortage(c.dropUnread)
	if cfg.Metrics != nil {
		cfg.Metrics.NewGauge(`wigeon_connections{listener="`+cfg.Name+`"}`, func() float64 { return float64(c.count()) })
	}
	return c
}

func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// admit returns the connection for raw, or nil if there is no room for it.
func (c *clients) admit(raw net.Conn) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.MaxConns > 0 && len(c.conns) >= c.cfg.MaxConns {
		victim, reason := c.leastActive(now)
		if victim == nil {
			c.countLocked(reasonFull, now)
			_ = raw.Close() // the client sees the end of the connection
			return nil
		}
		delete(c.conns, victim)
		c.countLocked(reason, now)
		go victim.drop()
	}
	n := newConn(raw, c, now)
	c.conns[n] = struct{}{}
	return n
}

// leastActive returns the connection that has been idle for longest, or else the one whose request arrives most slowly, and nil if
// all requests are complete.
func (c *clients) leastActive(now time.Time) (*conn, string) {
	var idlest, slowest *conn
	var since time.Time
	least := 1.0
	for n := range c.conns {
		at, hold, isIdle := n.activity()
		if isIdle {
			if idlest == nil || at.Before(since) {
				idlest, since = n, at
			}
			continue
		}
		if hold == nil || idlest != nil {
			continue
		}
		if v := hold.Progress(now); v < least {
			slowest, least = n, v
		}
	}
	if idlest != nil {
		return idlest, reasonIdle
	}
	return slowest, reasonSlow
}

// dropUnread closes the connection that has taken no bytes of its answer for longest, if that is longer than unreadTime.
func (c *clients) dropUnread() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var longest *conn
	since := now.Add(-unreadTime).UnixNano()
	for n := range c.conns {
		if at := n.writingSince.Load(); at != 0 && at < since {
			longest, since = n, at
		}
	}
	if longest == nil {
		return
	}
	delete(c.conns, longest)
	c.countLocked(reasonUnread, now)
	go longest.drop()
}

func (c *clients) remove(n *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, n)
}

// countDrop counts a connection that is closed for a reason, and logs such counts from time to time.
func (c *clients) countDrop(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countLocked(reason, time.Now())
}

func (c *clients) countLocked(reason string, now time.Time) {
	if c.cfg.Metrics != nil {
		c.cfg.Metrics.GetOrCreateCounter(`wigeon_connections_dropped_total{listener="` + c.cfg.Name + `",reason="` + reason + `"}`).Inc()
	}
	c.dropped[reason]++
	if c.cfg.Log == nil || now.Sub(c.loggedAt) < logInterval {
		return
	}
	c.loggedAt = now
	c.cfg.Log.Emit(event.ClientsDropped, "listener", c.cfg.Name, "open", len(c.conns),
		"idle", c.dropped[reasonIdle], "slow", c.dropped[reasonSlow], "full", c.dropped[reasonFull],
		"no_memory", c.dropped[reasonMemory], "header_too_long", c.dropped[reasonTooLong], "unread", c.dropped[reasonUnread])
	clear(c.dropped)
}

// hold returns the memory of a request that arrives on n.
func (c *clients) hold(n *conn) *bounded.Hold {
	return c.cfg.Requests.HoldInput(bounded.Input{MaxWait: memoryWait, GiveUp: n.giveUp, OnWait: n.turn.end})
}

// acceptor is a net.Listener whose connections are counted by clients.
type acceptor struct {
	net.Listener
	clients *clients
}

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	for {
		raw, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := a.clients.admit(raw); n != nil {
			return n, nil
		}
	}
}
